#include "libs/membership/membership.h"

#include "membership/fake_network.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

using Time = Membership::Time;

constexpr std::uint64_t kSeed = 7;
constexpr int kHosts = 16;
constexpr int kDomains = 2;
constexpr Time kSettle{30'000};
constexpr Time kDetect{30'000};
constexpr Time kHeal{90'000};
constexpr int kVictim = 5;

struct FaultCase {
  const char* name;
  double loss;
  std::function<void(FakeNetwork&)> fault;
  MemberState expected;
  std::function<void(FakeNetwork&)> repair;
  std::uint64_t incarnation_after;
};

void Nothing(FakeNetwork&) {}

void CutVictim(FakeNetwork& network) {
  network.is_cut = [](int from, int to) {
    return from == kVictim || to == kVictim;
  };
}

void Reconnect(FakeNetwork& network) {
  network.is_cut = nullptr;
}

const FaultCase kCases[] = {
    {"no fault", 0, Nothing, MemberState::kAlive, Nothing, 1},
    {"20% loss", 0.2, Nothing, MemberState::kAlive, Nothing, 1},
    {"death and restart at the same address", 0,
     [](FakeNetwork& it) { it.Kill(kVictim); }, MemberState::kUnreachable,
     [](FakeNetwork& it) { it.Start(kVictim, 9); }, 9},
    {"restart with a clock that went back", 0,
     [](FakeNetwork& it) { it.Kill(kVictim); }, MemberState::kUnreachable,
     [](FakeNetwork& it) { it.Start(kVictim, 0); }, 2},
    {"long pause", 0, [](FakeNetwork& it) { it.SetPaused(kVictim, true); },
     MemberState::kUnreachable,
     [](FakeNetwork& it) { it.SetPaused(kVictim, false); }, 1},
    {"partition and heal", 0, CutVictim, MemberState::kUnreachable, Reconnect,
     1},
    {"partition and heal under 20% loss", 0.2, CutVictim,
     MemberState::kUnreachable, Reconnect, 1},
    {"cut off from one host only", 0,
     [](FakeNetwork& it) {
       it.is_cut = [](int from, int to) {
         return (from == kVictim && to == 1) || (from == 1 && to == kVictim);
       };
     },
     MemberState::kAlive, Reconnect, 1},
};

void List(FakeNetwork& network, int skipped) {
  std::vector<ListedHost> hosts;
  for (int n = 0; n < kHosts; ++n) {
    if (n != skipped)
      hosts.push_back({FakeNetwork::NameOf(n), "",
                       "10.0.0." + std::to_string(n) + ":1", false});
  }
  for (int n = 0; n < kHosts; ++n) {
    if (n != kVictim)
      network.host(n).SetListedHosts(hosts);
  }
}

}  // namespace

TEST_GROUP(Membership){};

TEST(Membership, FaultTable) {
  for (const FaultCase& it : kCases) {
    FakeNetwork network(kHosts, kDomains, kSeed);
    network.loss = it.loss;
    network.Run(kSettle);
    for (int n = 0; n < kHosts; ++n)
      LONGS_EQUAL_TEXT(kHosts, network.host(n).Members().size(), it.name);
    it.fault(network);
    network.Run(kDetect);
    // Under loss a suspicion may be on its way at any moment; only the state
    // that takes a duty away is compared.
    const int usable = network.CountViews(kVictim, MemberState::kAlive) +
                       network.CountViews(kVictim, MemberState::kSuspected);
    LONGS_EQUAL_TEXT(it.expected == MemberState::kAlive ? kHosts - 1 : 0,
                     usable, it.name);
    LONGS_EQUAL_TEXT(0, network.CountViews(kVictim, MemberState::kDead),
                     it.name);
    it.repair(network);
    network.loss = 0;
    network.Run(kHeal);
    LONGS_EQUAL_TEXT(kHosts - 1,
                     network.CountViews(kVictim, MemberState::kAlive), it.name);
    LONGS_EQUAL_TEXT(it.incarnation_after,
                     network.View(0, kVictim)->incarnation, it.name);
  }
}

TEST(Membership, DomainsCutFromEachOtherKeepTheirOwnAndHeal) {
  FakeNetwork network(kHosts, kDomains, kSeed);
  network.Run(kSettle);
  network.is_cut = [](int from, int to) { return from % 2 != to % 2; };
  network.Run(Time(120'000));
  for (int n = 0; n < kHosts; ++n) {
    for (const Member& it : network.host(n).Members()) {
      const bool own =
          it.failure_domain == network.host(n).self().failure_domain;
      CHECK(it.state ==
            (own ? MemberState::kAlive : MemberState::kUnreachable));
    }
  }
  network.is_cut = nullptr;
  network.Run(kHeal);
  for (int n = 0; n < kHosts; ++n)
    LONGS_EQUAL(kHosts - 1, network.CountViews(n, MemberState::kAlive));
}

TEST(Membership, ListAloneIsNoProofOfDeath) {
  FakeNetwork network(kHosts, kDomains, kSeed);
  network.Run(kSettle);
  List(network, -1);
  List(network, kVictim);
  network.Run(kDetect);
  LONGS_EQUAL(kHosts - 1, network.CountViews(kVictim, MemberState::kAlive));
}

TEST(Membership, UnlistedAndUnreachableIsDeadUntilItComesBack) {
  FakeNetwork network(kHosts, kDomains, kSeed);
  network.Run(kSettle);
  List(network, -1);
  CutVictim(network);
  List(network, kVictim);
  network.Run(kDetect);
  LONGS_EQUAL(kHosts - 1, network.CountViews(kVictim, MemberState::kDead));
  Reconnect(network);
  network.Run(kHeal);
  LONGS_EQUAL(kHosts - 1, network.CountViews(kVictim, MemberState::kAlive));
  LONGS_EQUAL(2, network.View(0, kVictim)->incarnation);
}

TEST(Membership, LeavingIsToldAtOnce) {
  FakeNetwork network(kHosts, kDomains, kSeed);
  network.Run(kSettle);
  for (const OutgoingMessage& it : network.host(kVictim).Leave(kSettle)) {
    for (int n = 0; n < kHosts; ++n) {
      if (network.host(n).self().address == it.address)
        network.host(n).HandleMessage(it.message, kSettle);
    }
  }
  network.Run(Time(15'000));
  LONGS_EQUAL(kHosts - 1, network.CountViews(kVictim, MemberState::kLeft));
}

TEST(Membership, PausedHostSuspectsNobodyWhenItWakes) {
  FakeNetwork network(kHosts, kDomains, kSeed);
  network.Run(kSettle);
  network.SetPaused(kVictim, true);
  network.Run(kDetect);
  network.SetPaused(kVictim, false);
  network.Run(Time(100));
  for (const Member& it : network.host(kVictim).Members())
    CHECK(it.state == MemberState::kAlive);
  LONGS_EQUAL(1, network.host(kVictim).counters().pauses);
}

TEST(Membership, AnotherHostAtTheAddressIsNotTheOneProbed) {
  FakeNetwork network(2, 1, kSeed);
  network.Run(kSettle);
  Member other = network.host(1).self();
  other.name = "host-new";
  MembershipMessage answer;
  answer.kind = MembershipMessageKind::kProbeAnswer;
  answer.sender = other;
  network.Kill(1);
  for (int n = 0; n < 300; ++n) {
    const Time now = kSettle + Time(100 * n);
    for (const OutgoingMessage& it : network.host(0).Tick(now)) {
      answer.sequence = it.message.sequence;
      if (it.message.target == "host-1")
        network.host(0).HandleMessage(answer, now);
    }
  }
  CHECK(network.View(0, 1)->state == MemberState::kUnreachable);
}

TEST(Membership, ATableIsNotToldOnButWhatItCorrectsIs) {
  Membership host({"host-a", "domain", "10.0.0.1:1", 1}, kSeed);
  MembershipMessage table;
  table.kind = MembershipMessageKind::kTable;
  table.sender = {"host-b", "domain", "10.0.0.2:1", 1};
  table.changes = {{"host-c", "domain", "10.0.0.3:1", 1}};
  const auto tells = [&](const std::string& name, Time now) {
    MembershipMessage probe;
    probe.sender = table.sender;
    for (const OutgoingMessage& it : host.HandleMessage(probe, now)) {
      for (const Member& change : it.message.changes) {
        if (change.name == name)
          return true;
      }
    }
    return false;
  };
  host.HandleMessage(table, Time(0));
  CHECK(tells("host-b", Time(0)));
  CHECK_FALSE(tells("host-c", Time(0)));
  const std::uint64_t revision = host.revision();
  host.HandleMessage(table, Time(1));
  LONGS_EQUAL(revision, host.revision());
  table.changes[0].state = MemberState::kUnreachable;
  host.HandleMessage(table, Time(2));
  CHECK(tells("host-c", Time(2)));
  CHECK(host.revision() > revision);
}

}  // namespace turmericwinch
