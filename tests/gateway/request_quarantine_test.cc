// Runs second hosts that notify each other of lost requests over loopback
// connections.

#include "libs/gateway/request_quarantine.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio.hpp>
#include <memory>

#include "libs/http/http_client.h"

namespace turmericwinch {

namespace {

constexpr PromptPartId kTeam = 2;
constexpr PromptPartId kDeadly = 3;

// A host with its peer connections and its quarantine.
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

// Returns a port that no process is using.
unsigned short FreePort(boost::asio::io_context& context) {
  boost::asio::ip::tcp::acceptor acceptor(
      context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return acceptor.local_endpoint().port();
}

}  // namespace

TEST_GROUP(RequestQuarantine) {
  boost::asio::io_context context;
  std::unique_ptr<Host> first;
  std::unique_ptr<Host> second;
  HostList no_targets;
  int crashes_ = 0;

  void setup() override {
    first = std::make_unique<Host>(context, FreePort(context));
    second = std::make_unique<Host>(context, FreePort(context));
    FleetAccount account;
    account.heartbeats["one_1"] = {"boot", BootTime(0), first->peers.address()};
    account.heartbeats["two_1"] = {"boot", BootTime(0),
                                   second->peers.address()};
    first->peers.UpdateAddresses(account);
    second->peers.UpdateAddresses(account);
  }

  // Lets the host lose requests with the deadly part to `count` new targets.
  void CrashWithPart(Host & host, int count) {
    for (int n = 0; n < count; ++n) {
      const std::string own = std::to_string(++crashes_);
      host.quarantine.OnLost({"d" + own, "t" + own, "1", "", {kTeam, kDeadly}});
      host.quarantine.OnTargetList(no_targets);
    }
  }

  // Runs handlers until `is_done` returns true. A test that never gets there is
  // ended by the timeout of the test runner.
  void RunUntil(const std::function<bool()>& is_done) {
    while (!is_done())
      context.run_one();
  }
};

// A request crashes each target that runs it, and its caller retries it at
// another host.
TEST(RequestQuarantine, ARequestThatCrashedTargetsOfTwoHostsIsRefusedByBoth) {
  first->quarantine.OnLost({"digest", "t1", "1"});
  first->quarantine.OnTargetList(no_targets);
  CHECK(first->quarantine.HasSuspects());
  CHECK(!first->quarantine.IsQuarantined("digest"));
  RunUntil([this] { return second->quarantine.HasSuspects(); });
  second->quarantine.OnLost({"digest", "t2", "1"});
  second->quarantine.OnTargetList(no_targets);
  CHECK(second->quarantine.IsQuarantined("digest"));
  RunUntil([this] { return first->quarantine.IsQuarantined("digest"); });
}

TEST(RequestQuarantine, ASecondCrashOfARestartedTargetCountsAgain) {
  first->quarantine.OnLost({"digest", "t1", "1"});
  first->quarantine.OnTargetList(no_targets);
  first->quarantine.OnLost({"digest", "t1", "2"});
  first->quarantine.OnTargetList(no_targets);
  CHECK(first->quarantine.IsQuarantined("digest"));
}

// The list of targets shows a crash only after seconds.
TEST(RequestQuarantine, ATargetThatRefusesConnectionsCountsAsCrashedAtOnce) {
  const std::string closed = "127.0.0.1:" + std::to_string(FreePort(context));
  first->quarantine.OnLost({"digest", "t1", "1", closed, {}});
  RunUntil([this] { return second->quarantine.HasSuspects(); });
  CHECK(first->quarantine.HasSuspects());
}

TEST(RequestQuarantine, ALiveTargetThatClosedAConnectionIsNotSuspected) {
  boost::asio::ip::tcp::acceptor target(
      context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  first->quarantine.OnLost(
      {"digest", "t1", "1", ToText(target.local_endpoint()), {}});
  bool accepted = false;
  target.async_accept([&](auto, auto) { accepted = true; });
  RunUntil([&] { return accepted; });
  context.poll();
  CHECK(!first->quarantine.HasSuspects());
}

TEST(RequestQuarantine, APartThatCrashedTargetsOfTwoHostsIsRefusedByBoth) {
  CrashWithPart(*first, 3);
  RunUntil([this] {
    return second->quarantine.FindQuarantinedPart({kDeadly}).has_value();
  });
  CHECK(first->quarantine.FindQuarantinedPart({kTeam, kDeadly}).has_value());
  CHECK(!first->quarantine.FindQuarantinedPart({kTeam}).has_value());
}

// The second host alone has seen an answer to a request with the part.
TEST(RequestQuarantine, AHostThatKnowsAPartToBeSoundWithdrawsItsQuarantine) {
  std::size_t stored = 0;
  std::size_t removed = 0;
  first->quarantine.SetStore([&](const std::vector<QuarantinedPart>& parts) {
    ++(parts[0].hold.count() > 0 ? stored : removed);
  });
  second->quarantine.SetStore([&](const std::vector<QuarantinedPart>& parts) {
    ++(parts[0].hold.count() > 0 ? stored : removed);
  });
  second->quarantine.OnPartsAnswered({kDeadly});
  CrashWithPart(*first, 3);
  RunUntil([&] { return removed > 0; });
  RunUntil([this] {
    return !first->quarantine.FindQuarantinedPart({kDeadly}).has_value();
  });
  CHECK(!second->quarantine.FindQuarantinedPart({kDeadly}).has_value());
  LONGS_EQUAL(1, stored);
}

TEST(RequestQuarantine, AHostThatStartsLaterLearnsTheQuarantinedParts) {
  boost::asio::co_spawn(context, first->quarantine.Run(),
                        boost::asio::detached);
  CrashWithPart(*first, 3);
  RunUntil([this] { return first->quarantine.quarantined_parts() > 0; });
  Host third(context, FreePort(context));
  FleetAccount account;
  account.heartbeats["three_1"] = {"boot", BootTime(0), third.peers.address()};
  first->peers.UpdateAddresses(account);
  RunUntil([&] {
    return third.quarantine.FindQuarantinedPart({kDeadly}).has_value();
  });
}

TEST(RequestQuarantine, AnAnswerClearsTheSuspectAtAllHosts) {
  first->quarantine.OnLost({"digest", "t1", "1"});
  first->quarantine.OnTargetList(no_targets);
  RunUntil([this] { return second->quarantine.HasSuspects(); });
  second->quarantine.OnAnswered("digest");
  RunUntil([this] { return !first->quarantine.HasSuspects(); });
  CHECK(!second->quarantine.HasSuspects());
}

}  // namespace turmericwinch
