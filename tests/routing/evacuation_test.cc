// Targets of evacuated failure domains in the table and in its queue.

#include <CppUTest/TestHarness.h>

#include <boost/json/parse.hpp>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <vector>

#include "libs/routing/routing_constants.h"
#include "libs/routing/target_queue.h"

namespace turmericwinch {

namespace {

using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;
using TimePoint = TargetTable::TimePoint;

const TimePoint kStart{seconds(100)};
const TimePoint kFarDeadline = kStart + seconds(3'600);
constexpr unsigned kSeed = 20261206;
constexpr int kColdSeconds = 30;

ConfigSnapshot Config() {
  ConfigSet set;
  auto add = [&](ConfigKind kind, const char* name, const char* fields) {
    set.Add({kind, name, boost::json::parse(fields).as_object(), ""});
  };
  add(ConfigKind::kFailureDomain, "a", R"({"near":["b","c"]})");
  add(ConfigKind::kTargetClass, "any",
      R"({"service":"llm","tokens_per_second":80,"most_in_flight":4,)"
      R"("cold_ms":30000,"cold_requests_per_second":11})");
  return {1, "digest", set};
}

ListedMember Member(const std::string& name, const std::string& domain) {
  return {name, domain, "127.0.0.1:1", "1", "any", false};
}

}  // namespace

TEST_GROUP(Evacuation) {
  ConfigSnapshot config = Config();
  TargetTable table{"a", "host"};
  TargetQueue queue{table};
  HostList list;
  Reason reason;
  RoutingRequest request{"llm", 100};
  std::optional<QueueTicket> ticket;

  void setup() override {
    table.SetColdBound(1.5, 5);
    table.SetFleet({"host"});
    list.targets = {Member("a-1", "a"), Member("b-1", "b"), Member("c-1", "c")};
    table.Update(list, config, kStart);
  }
  std::optional<TargetChoice> Begin(const std::set<std::string>& excluded = {},
                                    TimePoint now = kStart) {
    return table.BeginAttempt(request, excluded, now, &reason);
  }
  std::optional<TargetChoice> BeginOrEnqueue() {
    ticket.reset();
    return queue.BeginOrEnqueue(request, kFarDeadline, kStart, &ticket,
                                &reason);
  }
  void Evacuate(std::set<std::string> domains, TimePoint now = kStart) {
    table.SetEvacuatedDomains(std::move(domains), now);
  }
  // Adds targets that say they are warm.
  void AddTargets(const std::string& domain, int n) {
    for (int it = 0; it < n; ++it) {
      list.targets.push_back(
          Member(domain + "-x" + std::to_string(it), domain));
      list.targets.back().cold_for = milliseconds(0);
    }
  }
  // Requests that arrive during 60 s at random times, each in progress for a
  // second. Returns how many the targets of each domain got.
  std::map<std::string, int> PlayArrivals(double per_second, unsigned seed) {
    std::mt19937 random(seed);
    std::exponential_distribution<double> pause(per_second);
    std::map<std::string, int> started;
    std::multimap<TimePoint, TargetChoice> running;
    TimePoint now = kStart;
    while (now < kStart + seconds(60)) {
      now += std::chrono::duration_cast<TimePoint::duration>(
          duration<double>(pause(random)));
      while (!running.empty() && running.begin()->first <= now) {
        TargetChoice& it = running.begin()->second;
        table.EndAttempt(it, AttemptOutcome::kGood, milliseconds(12),
                         running.begin()->first);
        running.erase(running.begin());
      }
      if (std::optional<TargetChoice> choice = Begin({}, now)) {
        ++started[choice->name.substr(0, 1)];
        table.RecordFirstToken(*choice, milliseconds(100), now);
        running.emplace(now + seconds(1), *std::move(choice));
      }
    }
    return started;
  }
};

TEST(Evacuation, NoAttemptOrRetryReachesAnEvacuatedDomain) {
  Evacuate({"a", "b"});
  STRCMP_EQUAL("c-1", Begin()->name.c_str());
  CHECK(!Begin({"c-1"}));
  CHECK(reason.code == ResultCode::kDomainEvacuated);
}

// The last resort is a target that is full or ejected, but never an evacuated
// one.
TEST(Evacuation, AnEvacuatedDomainIsNoLastResort) {
  Evacuate({"a", "b"});
  while (std::optional<TargetChoice> it = Begin())
    STRCMP_EQUAL("c-1", it->name.c_str());
  CHECK(reason.code == ResultCode::kOverloaded);
}

// A target that restarts is a new one to the table.
TEST(Evacuation, TargetsListedDuringAnEvacuationGetNoRequests) {
  Evacuate({"a", "b", "c"});
  for (ListedMember& it : list.targets)
    it.incarnation = "2";
  AddTargets("b", 2);
  table.Update(list, config, kStart + seconds(1));
  CHECK(!Begin({}, kStart + seconds(1)));
  CHECK(reason.code == ResultCode::kDomainEvacuated);
}

TEST(Evacuation, RequestsThatRunCountUntilTheyEnd) {
  std::optional<TargetChoice> running = Begin();
  Evacuate({"a", "b", "c"});
  table.EndAttempt(*running, AttemptOutcome::kGood, {}, kStart);
  for (const TargetStats& it : table.Stats(kStart)) {
    LONGS_EQUAL(0, it.in_flight);
    CHECK(it.evacuated);
  }
}

TEST(Evacuation, WithEveryDomainEvacuatedNothingWaits) {
  Evacuate({"a", "b", "c"});
  CHECK(!BeginOrEnqueue());
  CHECK(!ticket);
  CHECK(reason.code == ResultCode::kDomainEvacuated);
}

TEST(Evacuation, QueuedRequestsEndWhenTheLastDomainIsEvacuated) {
  while (BeginOrEnqueue()) {
  }
  CHECK(ticket.has_value());
  Evacuate({"a", "b"});
  CHECK(queue.DequeueReady(kStart).empty());
  Evacuate({"a", "b", "c"});
  const std::vector<DequeuedRequest> ended = queue.DequeueReady(kStart);
  UNSIGNED_LONGS_EQUAL(1, ended.size());
  CHECK(ended[0].ticket.request == ticket->request);
  CHECK(!ended[0].choice);
  CHECK(ended[0].reason.code == ResultCode::kDomainEvacuated);
  UNSIGNED_LONGS_EQUAL(0, queue.Sizes()["llm"]);
}

// A list may lose all targets of a service for a moment, without evacuations.
TEST(Evacuation, QueuedRequestsOutlastAListWithoutTargets) {
  while (BeginOrEnqueue()) {
  }
  table.Update({}, config, kStart);
  CHECK(queue.DequeueReady(kStart).empty());
  UNSIGNED_LONGS_EQUAL(1, queue.Sizes()["llm"]);
}

// Domain b has twice as many targets as c.
TEST(Evacuation, LoadMovesToTheOtherDomainsByTheirRoom) {
  list.targets.clear();
  AddTargets("a", 6);
  AddTargets("b", 6);
  AddTargets("c", 3);
  table.Update(list, config, kStart);
  Evacuate({"a"});
  // Room for 36 at a time.
  std::map<std::string, int> started = PlayArrivals(28, kSeed);
  LONGS_EQUAL(0, started["a"]);
  const double share = static_cast<double>(started["b"]) /
                       static_cast<double>(started["b"] + started["c"]);
  DOUBLES_EQUAL(2.0 / 3.0, share, 0.05);
}

// A host compares a bounded number of targets, which must not be filled with
// closed ones: the rest would be found as a last resort only, the first one of
// the list until it is full.
TEST(Evacuation, AFewRemainingTargetsAmongManyShareTheLoad) {
  list.targets.clear();
  AddTargets("b", 120);
  AddTargets("c", 4);
  table.Update(list, config, kStart);
  Evacuate({"b"});
  std::set<std::string> used;
  for (int n = 0; n < 4; ++n)
    used.insert(Begin()->name);
  UNSIGNED_LONGS_EQUAL(4, used.size());
}

// Half of a service's targets stay in use whatever their answers; evacuated
// ones are not in use.
TEST(Evacuation, ABrokenTargetIsEjectedDuringAnEvacuation) {
  list.targets.clear();
  AddTargets("b", 4);
  AddTargets("c", 4);
  table.Update(list, config, kStart);
  Evacuate({"b"});
  const std::string broken = "c-x0";
  const std::set<std::string> others{"c-x1", "c-x2", "c-x3"};
  for (int n = 0; n < 20; ++n) {
    if (std::optional<TargetChoice> it = Begin(others))
      table.EndAttempt(*it, AttemptOutcome::kFailed, {}, kStart);
  }
  for (const TargetStats& it : table.Stats(kStart)) {
    if (it.name == broken)
      CHECK(it.state == TargetState::kEjected);
  }
}

// Its machines may have been restarted before the evacuation ended. One host of
// a fleet of one may send 21 requests a second to a cold target.
TEST(Evacuation, TheDomainThatReturnsIsPacedAsCold) {
  list.targets = {Member("a-1", "a")};
  table.Update(list, config, kStart);
  CHECK(!table.Stats(kStart)[0].cold);
  Evacuate({"a"});
  const TimePoint end = kStart + seconds(20);
  Evacuate({}, end);
  CHECK(table.Stats(end)[0].cold);
  int started = 0;
  for (milliseconds it{0}; it < seconds(1); it += milliseconds(2)) {
    if (std::optional<TargetChoice> choice = Begin({}, end + it)) {
      ++started;
      table.EndAttempt(*choice, AttemptOutcome::kGood, {}, end + it);
    }
  }
  CHECK(started > 0);
  CHECK(started <= 21);
  CHECK(!table.Stats(end + seconds(kColdSeconds))[0].cold);
}

// An evacuation that is confirmed again must not make warm domains cold.
TEST(Evacuation, DomainsThatWereNotEvacuatedStayWarm) {
  Evacuate({"a"});
  Evacuate({"a", "c"});
  Evacuate({"c"});
  for (const TargetStats& it : table.Stats(kStart))
    CHECK_EQUAL(it.failure_domain == "a", it.cold);
}

}  // namespace turmericwinch
