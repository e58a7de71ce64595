// Runs hosts that divide the rate limits of targets over loopback connections.

#include "libs/gateway/rate_limit_sharing.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio.hpp>

#include "loopback_peers.h"
#include "support/routing_config.h"
#include "support/run_until.h"

namespace turmericwinch {

namespace {

constexpr double kLimit = 6;

struct Host {
  Host(boost::asio::io_context& context, const std::string& name)
      : peers(context),
        targets("a", name),
        sharing(context, peers.peers, targets, demand) {
    targets.Update({{}, {{"t", "a", "127.0.0.1:1", "1", "any", false}}},
                   SingleClassConfig("llm", 50, 64));
  }

  // Sends a request to the target, which names `limit` in its response.
  void Request(std::optional<double> limit) {
    Reason reason;
    const auto choice = targets.BeginAttempt({"llm", 100}, {}, &reason);
    CHECK(choice.has_value());
    targets.RecordRateLimit(*choice, limit);
    targets.EndAttempt(*choice, AttemptOutcome::kGood);
  }

  double Limit() const { return targets.Stats()[0].rate_limit; }

  LoopbackPeers peers;
  SharedTargets targets;
  ServiceDemand demand;
  RateLimitSharing sharing;
};

}  // namespace

TEST_GROUP(RateLimitSharing) {
  boost::asio::io_context context;
  Host first{context, "first"};
  Host second{context, "second"};

  void setup() override {
    first.peers.Know({&second.peers});
    second.peers.Know({&first.peers});
  }
};

TEST(RateLimitSharing, AHostLearnsALimitAndItsEndFromAnother) {
  first.Request(kLimit);
  first.sharing.Update();
  RunUntil(context, [this] { return second.Limit() == kLimit; });
  // A response to a request that was sent after the limit was named.
  while (first.Limit() > 0)
    first.targets.RecordRateLimit(
        {"t", "", "", 1, 0, 0, false, std::chrono::steady_clock::now()},
        std::nullopt);
  first.sharing.Update();
  RunUntil(context, [this] { return second.Limit() == 0; });
}

TEST(RateLimitSharing, HostsWithoutALimitedTargetSendNothing) {
  first.Request(std::nullopt);
  first.sharing.Update();
  context.poll();
  DOUBLES_EQUAL(0, second.Limit(), 0);
}

}  // namespace turmericwinch
