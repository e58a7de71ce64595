#include "libs/node/shared_ledger.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio.hpp>

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

// Starts a request for `tokens` of the budget "team".
void SpawnReserve(asio::io_context& context,
                  SharedLedger& ledger,
                  std::int64_t tokens,
                  std::optional<std::uint64_t>& reservation,
                  HttpCancel* cancel = nullptr) {
  asio::co_spawn(
      context,
      [&ledger, &reservation, tokens, cancel]() -> asio::awaitable<void> {
        Reason reason;
        reservation = co_await ledger.Reserve(
            "team", tokens, std::chrono::hours(1), &reason, cancel);
      },
      asio::detached);
  context.restart();
  context.poll();
}

void RunReady(asio::io_context& context) {
  context.restart();
  context.poll();
}

}  // namespace

TEST_GROUP(SharedLedger){};

TEST(SharedLedger, ARequestOfACallerThatLeavesStopsWaitingForTokens) {
  asio::io_context context{1};
  SharedLedger ledger("host");
  HttpCancel cancel;
  Reason reason;
  bool ended = false;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        const auto reservation = co_await ledger.Reserve(
            "team", 10, std::chrono::hours(1), &reason, &cancel);
        CHECK(!reservation);
        ended = true;
      },
      asio::detached);
  context.poll();
  CHECK_FALSE(ended);
  cancel.Cancel();
  context.restart();
  context.poll();
  CHECK(ended);
  LONGS_EQUAL(static_cast<int>(ResultCode::kCallerGone),
              static_cast<int>(reason.code));
  // Tokens that arrive later are left for other requests.
  ledger.Grant("team", 10);
  std::int64_t available = 0;
  ledger.With([&](HostLedger& it) { available = it.Available("team"); });
  LONGS_EQUAL(10, available);
}

// Guards against a use after free: the timer of a wait that has ended must not
// outlive the traffic thread of its request.
TEST(SharedLedger, ARequestThatStopsWaitingIsForgotten) {
  SharedLedger ledger("host");
  {
    asio::io_context context{1};
    HttpCancel cancel;
    std::optional<std::uint64_t> reservation;
    SpawnReserve(context, ledger, 10, reservation, &cancel);
    cancel.Cancel();
    RunReady(context);
    CHECK(!reservation);
  }
  ledger.Grant("team", 10);
}

// Guards against a lost wake-up: tokens that come free while a request waits
// are not drawn again, so that the request got them only at its time limit.
TEST(SharedLedger, ReleasedTokensWakeWaitingRequests) {
  asio::io_context context{1};
  SharedLedger ledger("host");
  ledger.Grant("team", 20);
  std::optional<std::uint64_t> running;
  SpawnReserve(context, ledger, 20, running);
  CHECK(running.has_value());
  std::optional<std::uint64_t> first;
  std::optional<std::uint64_t> second;
  std::optional<std::uint64_t> third;
  SpawnReserve(context, ledger, 10, first);
  SpawnReserve(context, ledger, 10, second);
  SpawnReserve(context, ledger, 10, third);
  CHECK(!first);
  ledger.Release(*running);
  RunReady(context);
  CHECK(first.has_value());
  CHECK(second.has_value());
  CHECK(!third);
  Bill bill;
  bill.tokens = 10;
  ledger.Settle(*first, bill);
  RunReady(context);
  CHECK(!third);
  bill.tokens = 0;
  ledger.Settle(*second, bill);
  RunReady(context);
  CHECK(third.has_value());
}

TEST(SharedLedger, TokensThatBorrowersReturnWakeWaitingRequests) {
  asio::io_context context{1};
  SharedLedger ledger("host");
  ledger.Grant("team", 10);
  ledger.With([](HostLedger& it) {
    CHECK(it.Lend("team", 10, std::chrono::steady_clock::now()));
  });
  std::optional<std::uint64_t> waiting;
  SpawnReserve(context, ledger, 10, waiting);
  CHECK(!waiting);
  ledger.With([](HostLedger& it) { it.ReduceLent("team", 0, 10); });
  RunReady(context);
  CHECK(waiting.has_value());
}

// Loans of several lenders are not added up, as a reservation uses one source.
TEST(SharedLedger, TokensOfALoanWakeRequestsThatOneSourceCanServe) {
  asio::io_context context{1};
  SharedLedger ledger("host");
  std::optional<std::uint64_t> large;
  std::optional<std::uint64_t> small;
  SpawnReserve(context, ledger, 15, large);
  SpawnReserve(context, ledger, 10, small);
  ledger.With([](HostLedger& it) {
    CHECK(it.ApplyLoan("lender-1", "team", 10));
    CHECK(it.ApplyLoan("lender-2", "team", 10));
  });
  RunReady(context);
  CHECK(!large);
  CHECK(small.has_value());
}

}  // namespace turmericwinch
