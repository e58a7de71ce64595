// Hosts over loopback that learn of each other's losses.

#include "libs/gateway/request_quarantine.h"

#include <CppUTest/TestHarness.h>

#include <memory>

#include "libs/http/http_client.h"

namespace turmericwinch {

namespace {

// One host with its part of the quarantine.
struct Host {
  Host(boost::asio::io_context& context, unsigned short port)
      : settings(SettingsOf(port)),
        peers(context, settings),
        quarantine(context, peers) {
    Reason reason;
    CHECK(peers.Listen(&reason).has_value());
  }

  static GatewaySettings SettingsOf(unsigned short port) {
    GatewaySettings settings;
    settings.peer_listen = {boost::asio::ip::make_address("127.0.0.1"), port};
    return settings;
  }

  GatewaySettings settings;
  GatewayPeers peers;
  RequestQuarantine quarantine;
};

// A port that is free now.
unsigned short FreePort(boost::asio::io_context& context) {
  boost::asio::ip::tcp::acceptor acceptor(
      context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return acceptor.local_endpoint().port();
}

}  // namespace

TEST_GROUP(RequestQuarantine) {
  boost::asio::io_context context;
  std::unique_ptr<Host> one;
  std::unique_ptr<Host> two;
  HostList none;

  void setup() override {
    one = std::make_unique<Host>(context, FreePort(context));
    two = std::make_unique<Host>(context, FreePort(context));
    FleetAccount account;
    account.heartbeats["one_1"] = {"boot", BootTime(0), one->peers.address()};
    account.heartbeats["two_1"] = {"boot", BootTime(0), two->peers.address()};
    one->peers.Update(account);
    two->peers.Update(account);
  }

  // Runs until `is_done`; the runner ends a test that never gets there.
  void RunUntil(const std::function<bool()>& is_done) {
    while (!is_done())
      context.run_one();
  }
};

// Load: a request crashes each target that runs it, and its caller sends it
// again to another host.
TEST(RequestQuarantine, ARequestThatTwoHostsLostTargetsWithIsRefusedByBoth) {
  one->quarantine.OnLost({"digest", "t1", "1"});
  one->quarantine.OnTargets(none);
  CHECK(one->quarantine.HasSuspects());
  CHECK(!one->quarantine.IsQuarantined("digest"));
  RunUntil([this] { return two->quarantine.HasSuspects(); });
  two->quarantine.OnLost({"digest", "t2", "1"});
  two->quarantine.OnTargets(none);
  CHECK(two->quarantine.IsQuarantined("digest"));
  RunUntil([this] { return one->quarantine.IsQuarantined("digest"); });
}

TEST(RequestQuarantine, ATargetThatIsCrashedAnewUnderItsNameCountsAgain) {
  one->quarantine.OnLost({"digest", "t1", "1"});
  one->quarantine.OnTargets(none);
  one->quarantine.OnLost({"digest", "t1", "2"});
  one->quarantine.OnTargets(none);
  CHECK(one->quarantine.IsQuarantined("digest"));
}

TEST(RequestQuarantine, AnAnswerClearsTheSuspectEverywhere) {
  one->quarantine.OnLost({"digest", "t1", "1"});
  one->quarantine.OnTargets(none);
  RunUntil([this] { return two->quarantine.HasSuspects(); });
  two->quarantine.OnAnswered("digest");
  RunUntil([this] { return !one->quarantine.HasSuspects(); });
  CHECK(!two->quarantine.HasSuspects());
}

}  // namespace turmericwinch
