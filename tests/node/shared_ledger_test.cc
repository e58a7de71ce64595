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

}  // namespace turmericwinch
