#include "libs/node/shared_ledger.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio.hpp>

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

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

}  // namespace turmericwinch
