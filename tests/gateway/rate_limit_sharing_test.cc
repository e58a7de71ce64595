// Runs hosts that divide the rate limits of targets over loopback connections.

#include "libs/gateway/rate_limit_sharing.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio.hpp>
#include <boost/json/parse.hpp>

namespace turmericwinch {

namespace {

constexpr double kLimit = 6;

ConfigSnapshot Config() {
  ConfigSet set;
  set.Add({ConfigKind::kFailureDomain, "a", {}, ""});
  set.Add({ConfigKind::kTargetClass, "any",
           boost::json::parse(R"({"service":"llm","tokens_per_second":50,
             "most_in_flight":64})")
               .as_object(),
           ""});
  return {1, "digest", set};
}

unsigned short FreePort(boost::asio::io_context& context) {
  boost::asio::ip::tcp::acceptor acceptor(
      context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return acceptor.local_endpoint().port();
}

struct Host {
  Host(boost::asio::io_context& context, const std::string& name)
      : settings(SettingsOf(FreePort(context))),
        peers(context, settings),
        targets("a", name),
        sharing(context, peers, targets, demand) {
    Reason reason;
    CHECK(peers.Listen(&reason).has_value());
    targets.Update({{}, {{"t", "a", "127.0.0.1:1", "1", "any", false}}},
                   Config());
  }

  static GatewaySettings SettingsOf(unsigned short port) {
    GatewaySettings settings;
    settings.peer_listen = {boost::asio::ip::make_address("127.0.0.1"), port};
    return settings;
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

  GatewaySettings settings;
  GatewayPeers peers;
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
    FleetAccount account;
    account.heartbeats["one_1"] = {"boot", BootTime(0), first.peers.address()};
    account.heartbeats["two_1"] = {"boot", BootTime(0), second.peers.address()};
    first.peers.UpdateAddresses(account);
    second.peers.UpdateAddresses(account);
  }

  // Runs handlers until `is_done` returns true. A test that never gets there is
  // ended by the timeout of the test runner.
  void RunUntil(const std::function<bool()>& is_done) {
    while (!is_done())
      context.run_one();
  }
};

TEST(RateLimitSharing, AHostLearnsALimitAndItsEndFromAnother) {
  first.Request(kLimit);
  first.sharing.Update();
  RunUntil([this] { return second.Limit() == kLimit; });
  // A response to a request that was sent after the limit was named.
  while (first.Limit() > 0)
    first.targets.RecordRateLimit(
        {"t", "", "", 1, 0, 0, false, std::chrono::steady_clock::now()},
        std::nullopt);
  first.sharing.Update();
  RunUntil([this] { return second.Limit() == 0; });
}

TEST(RateLimitSharing, HostsWithoutALimitedTargetSendNothing) {
  first.Request(std::nullopt);
  first.sharing.Update();
  context.poll();
  DOUBLES_EQUAL(0, second.Limit(), 0);
}

}  // namespace turmericwinch
