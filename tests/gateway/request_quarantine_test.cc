// Runs second hosts that notify each other of lost requests over loopback
// connections.

#include "libs/gateway/request_quarantine.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "libs/http/http_client.h"
#include "loopback_peers.h"
#include "support/run_until.h"

namespace turmericwinch {

namespace {

using Clock = std::chrono::steady_clock;

constexpr PromptPartId kTeam = 2;
constexpr PromptPartId kDeadly = 3;

// A host with its peer connections and its quarantine.
struct Host {
  explicit Host(boost::asio::io_context& context)
      : peers(context), quarantine(context, peers.peers) {}

  LoopbackPeers peers;
  RequestQuarantine quarantine;
};

}  // namespace

TEST_GROUP(RequestQuarantine) {
  boost::asio::io_context context;
  std::unique_ptr<Host> first;
  std::unique_ptr<Host> second;
  HostList no_targets;
  int crashes_ = 0;

  void setup() override {
    first = std::make_unique<Host>(context);
    second = std::make_unique<Host>(context);
    first->peers.Know({&second->peers});
    second->peers.Know({&first->peers});
  }

  // Lets the host lose the same request to `count` new targets.
  void CrashWithRequest(Host & host, int count) {
    for (int n = 0; n < count; ++n) {
      host.quarantine.OnLost({"digest", "t" + std::to_string(++crashes_), "1"});
      host.quarantine.OnTargetList(no_targets);
    }
  }

  // Lets the host lose requests with the deadly part to `count` new targets.
  void CrashWithPart(Host & host, int count) {
    CrashWithPart(host, count, [] { return Clock::time_point(); });
  }

  // `sent` returns when the next request is sent.
  void CrashWithPart(Host & host, int count,
                     const std::function<Clock::time_point()>& sent) {
    for (int n = 0; n < count; ++n) {
      const std::string own = std::to_string(++crashes_);
      host.quarantine.OnLost(
          {"d" + own, "t" + own, "1", "", {kTeam, kDeadly}, sent()});
      host.quarantine.OnTargetList(no_targets);
    }
  }
};

// A request crashes each target that runs it, and its caller retries it at
// another host.
TEST(RequestQuarantine, ARequestThatCrashedTargetsOfTwoHostsIsRefusedByBoth) {
  first->quarantine.OnLost({"digest", "t1", "1"});
  first->quarantine.OnTargetList(no_targets);
  CHECK(first->quarantine.HasSuspects());
  CHECK(!first->quarantine.IsQuarantined("digest"));
  RunUntil(context, [this] { return second->quarantine.HasSuspects(); });
  second->quarantine.OnLost({"digest", "t2", "1"});
  second->quarantine.OnTargetList(no_targets);
  CHECK(second->quarantine.IsQuarantined("digest"));
  RunUntil(context,
           [this] { return first->quarantine.IsQuarantined("digest"); });
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
  RunUntil(context, [this] { return second->quarantine.HasSuspects(); });
  CHECK(first->quarantine.HasSuspects());
}

TEST(RequestQuarantine, ALiveTargetThatClosedAConnectionIsNotSuspected) {
  boost::asio::ip::tcp::acceptor target(
      context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  first->quarantine.OnLost(
      {"digest", "t1", "1", ToText(target.local_endpoint()), {}});
  bool accepted = false;
  target.async_accept([&](auto, auto) { accepted = true; });
  RunUntil(context, [&] { return accepted; });
  context.poll();
  CHECK(!first->quarantine.HasSuspects());
}

TEST(RequestQuarantine, APartThatCrashedTargetsOfTwoHostsIsRefusedByBoth) {
  CrashWithPart(*first, 3);
  RunUntil(context, [this] {
    return second->quarantine.FindQuarantinedPart({kDeadly}).has_value();
  });
  CHECK(first->quarantine.FindQuarantinedPart({kTeam, kDeadly}).has_value());
  CHECK(!first->quarantine.FindQuarantinedPart({kTeam}).has_value());
}

// The second host alone has seen an answer to a request with the part.
TEST(RequestQuarantine, AHostThatKnowsAPartToBeSoundWithdrawsItsQuarantine) {
  std::size_t stored = 0;
  std::size_t removed = 0;
  first->quarantine.SetStore([&](const QuarantineVerdicts& verdicts) {
    ++(verdicts.parts[0].hold.count() > 0 ? stored : removed);
  });
  second->quarantine.SetStore([&](const QuarantineVerdicts& verdicts) {
    ++(verdicts.parts[0].hold.count() > 0 ? stored : removed);
  });
  second->quarantine.OnPartsAnswered({kDeadly});
  CrashWithPart(*first, 3);
  RunUntil(context, [&] { return removed > 0; });
  RunUntil(context, [this] {
    return !first->quarantine.FindQuarantinedPart({kDeadly}).has_value();
  });
  CHECK(!second->quarantine.FindQuarantinedPart({kDeadly}).has_value());
  LONGS_EQUAL(1, stored);
}

// A part that was answered begins to crash targets. The requests are sent one
// after the other.
TEST(RequestQuarantine, APartThatWasAnsweredBeforeIsRefusedByBothHosts) {
  first->quarantine.OnPartsAnswered({kTeam, kDeadly});
  second->quarantine.OnPartsAnswered({kTeam, kDeadly});
  CrashWithPart(*first, 3, Clock::now);
  RunUntil(context, [this] {
    return first->quarantine.FindQuarantinedPart({kDeadly}).has_value() &&
           second->quarantine.FindQuarantinedPart({kDeadly}).has_value();
  });
  CHECK(!first->quarantine.FindQuarantinedPart({kTeam}).has_value());
  CHECK(!second->quarantine.FindQuarantinedPart({kTeam}).has_value());
}

TEST(RequestQuarantine, AHostThatStartsLaterLearnsTheQuarantinedParts) {
  boost::asio::co_spawn(context, first->quarantine.Run(),
                        boost::asio::detached);
  CrashWithPart(*first, 3);
  RunUntil(context,
           [this] { return first->quarantine.quarantined_parts() > 0; });
  Host third(context);
  first->peers.Know({&third.peers});
  RunUntil(context, [&] {
    return third.quarantine.FindQuarantinedPart({kDeadly}).has_value();
  });
}

TEST(RequestQuarantine, ACrashIsReportedToEveryHostOfALargeFleet) {
  constexpr int kHosts = 79;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<const LoopbackPeers*> others;
  for (int n = 1; n < kHosts; ++n) {
    hosts.push_back(std::make_unique<Host>(context));
    others.push_back(&hosts.back()->peers);
  }
  first->peers.Know(others);
  first->quarantine.OnLost({"digest", "t1", "1"});
  first->quarantine.OnTargetList(no_targets);
  RunUntil(context, [&] {
    return std::all_of(hosts.begin(), hosts.end(), [](const auto& it) {
      return it->quarantine.HasSuspects();
    });
  });
}

TEST(RequestQuarantine, AHostThatStartsLaterLearnsTheQuarantinedRequests) {
  boost::asio::co_spawn(context, first->quarantine.Run(),
                        boost::asio::detached);
  CrashWithRequest(*first, 2);
  Host third(context);
  first->peers.Know({&third.peers});
  RunUntil(context, [&] { return third.quarantine.IsQuarantined("digest"); });
}

TEST(RequestQuarantine, AHostThatSawAnAnswerWithdrawsAVerdictOfAnEarlierTime) {
  CrashWithRequest(*first, 1);
  RunUntil(context, [this] { return second->quarantine.HasSuspects(); });
  second->quarantine.OnAnswered("digest");
  RunUntil(context, [this] { return !first->quarantine.HasSuspects(); });
  Host third(context);
  CrashWithRequest(third, 2);
  third.peers.Know({&second->peers});
  second->peers.Know({&third.peers});
  boost::asio::co_spawn(context, third.quarantine.Run(), boost::asio::detached);
  RunUntil(context, [&] { return !third.quarantine.IsQuarantined("digest"); });
  CHECK(!second->quarantine.IsQuarantined("digest"));
}

TEST(RequestQuarantine, AnAnswerClearsTheSuspectAtAllHosts) {
  first->quarantine.OnLost({"digest", "t1", "1"});
  first->quarantine.OnTargetList(no_targets);
  RunUntil(context, [this] { return second->quarantine.HasSuspects(); });
  second->quarantine.OnAnswered("digest");
  RunUntil(context, [this] { return !first->quarantine.HasSuspects(); });
  CHECK(!second->quarantine.HasSuspects());
}

}  // namespace turmericwinch
