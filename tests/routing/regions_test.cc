// Requests that may reach only the targets of some failure domains.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <boost/json/parse.hpp>
#include <map>
#include <random>

#include "libs/routing/allowed_domains.h"
#include "libs/routing/target_queue.h"
#include "libs/routing/target_table.h"

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Domains = std::set<std::string>;

const TargetTable::TimePoint kStart{seconds(100)};
const std::map<std::string, std::string> kRegions = {{"a", "east"},
                                                     {"b", "west"},
                                                     {"c", "west"},
                                                     {"d", ""}};
constexpr std::uint64_t kPrefix = 77;
constexpr std::int64_t kPrefixTokens = 50'000;

ConfigSnapshot Config() {
  ConfigSet set;
  auto add = [&](ConfigKind kind, const char* name, const char* fields) {
    set.Add({kind, name, boost::json::parse(fields).as_object(), ""});
  };
  add(ConfigKind::kFailureDomain, "a", R"({"near":["b"],"overflow":["c"]})");
  add(ConfigKind::kTargetClass, "any",
      R"({"service":"llm","tokens_per_second":80,"most_in_flight":2})");
  return {1, "digest", set};
}

std::shared_ptr<const Domains> Only(Domains domains) {
  return std::make_shared<const Domains>(std::move(domains));
}

}  // namespace

TEST_GROUP(AllowedDomains){};

TEST(AllowedDomains, AreInEveryListThatIsNotEmpty) {
  using Names = std::vector<std::string>;
  struct Case {
    Names route;
    Names team;
    Domains expected;
  };
  const Case cases[] = {
      {{"east"}, {}, {"a"}},
      {{}, {"west"}, {"b", "c"}},
      {{"east", "west"}, {"west"}, {"b", "c"}},
      {{"east"}, {"west"}, {}},
      {{"unknown"}, {}, {}},
      {{"unknown", "east"}, {}, {"a"}},
      // The region of "d" is not known, so no list contains it.
      {{""}, {}, {}},
      {{"east", "west", ""}, {}, {"a", "b", "c"}},
  };
  for (const Case& it : cases) {
    const auto domains = AllowedDomains(it.route, it.team, kRegions);
    CHECK(domains != nullptr);
    CHECK(*domains == it.expected);
  }
}

TEST(AllowedDomains, WithoutAListAreAll) {
  CHECK(AllowedDomains({}, {}, kRegions) == nullptr);
  CHECK(AllowedDomains({}, {}, {}) == nullptr);
  CHECK(AllowedDomains({"east"}, {}, {})->empty());
}

TEST_GROUP(Regions) {
  ConfigSnapshot config = Config();
  TargetTable table{"a", "host"};
  TargetQueue queue{table};
  HostList list;
  Reason reason;

  // Adds `n` targets whose names begin with their domain.
  void Add(const std::string& domain, int n) {
    for (int it = 0; it < n; ++it) {
      list.targets.push_back({domain + std::to_string(it), domain,
                              "127.0.0.1:1", "1", "any", false});
    }
    table.Update(list, config, kStart);
  }
  static RoutingRequest Request(std::shared_ptr<const Domains> domains,
                                const char* team = "") {
    RoutingRequest request{"llm", 100};
    request.domains = std::move(domains);
    request.team = team;
    return request;
  }
  std::optional<TargetChoice> Begin(const RoutingRequest& request,
                                    const Domains& excluded = {}) {
    return table.BeginAttempt(request, excluded, kStart, &reason);
  }
  std::optional<TargetChoice> Enqueue(const RoutingRequest& request,
                                      std::optional<QueueTicket>* ticket) {
    return queue.BeginOrEnqueue(request, kStart + seconds(60), kStart, ticket,
                                &reason);
  }
  void End(const TargetChoice& choice,
           AttemptOutcome outcome = AttemptOutcome::kNoVerdict) {
    table.EndAttempt(choice, outcome, {}, kStart);
  }
};

// The domains are in one tier, so only the allowed set keeps "b" and "c" apart.
TEST(Regions, AFullRegionDoesNotOverflowIntoAnother) {
  Add("a", 1);
  Add("b", 1);
  Add("c", 1);
  const auto request = Request(Only({"b"}));
  for (int n = 0; n < 2; ++n)
    STRCMP_EQUAL("b0", Begin(request)->name.c_str());
  CHECK(!Begin(request).has_value());
  CHECK(reason.code == ResultCode::kOverloaded);
}

// Guards against a prefix that other requests left outside the region: the
// targets that have it cached are by far the fastest.
TEST(Regions, PrefixAffinityAndRingStayInside) {
  Add("a", 8);
  Add("b", 8);
  RoutingRequest request = Request(nullptr);
  request.prompt_tokens = request.prefix_tokens = kPrefixTokens;
  request.prefix = kPrefix;
  for (int n = 0; n < 8; ++n) {
    request.domains = Only({"a"});
    const auto cached = Begin(request);
    CHECK(cached->name[0] == 'a');
    End(*cached, AttemptOutcome::kGood);
    request.domains = Only({"b"});
    ++request.prefix;
    const auto choice = Begin(request);
    CHECK(choice->name[0] == 'b');
    End(*choice);
    --request.prefix;
    const auto other = Begin(request);
    CHECK(other->name[0] == 'b');
    End(*other);
  }
}

// The ejected target of the region is used rather than a healthy one outside.
TEST(Regions, TheLastResortIsInside) {
  Add("a", 4);
  Add("b", 2);
  const auto request = Request(Only({"b"}));
  for (int n = 0; n < 20; ++n) {
    const auto choice = Begin(request);
    CHECK(choice.has_value());
    CHECK(choice->name[0] == 'b');
    End(*choice, AttemptOutcome::kFailed);
  }
  for (const TargetStats& it : table.Stats(kStart)) {
    if (it.failure_domain == "b")
      CHECK(it.state == TargetState::kEjected);
  }
}

// Evacuated targets of the region are no reason to leave it, nor to wait.
TEST(Regions, AnEvacuatedRegionIsRejectedAsEvacuated) {
  Add("a", 2);
  Add("b", 2);
  table.SetEvacuatedDomains({"b"}, kStart);
  std::optional<QueueTicket> ticket;
  CHECK(!Enqueue(Request(Only({"b"})), &ticket).has_value());
  CHECK(!ticket.has_value());
  CHECK(reason.code == ResultCode::kDomainEvacuated);
  CHECK(!Begin(Request(Only({"c"}))).has_value());
  CHECK(reason.code == ResultCode::kNoAllowedTarget);
}

// Guards against a hot spot: this host compares 32 of the 400 targets and may
// have none of the region among them. The first target of the last resort then
// got all requests until it was full.
TEST(Regions, RequestsSpreadOverARegionThatTheSubsetMisses) {
  Add("a", 398);
  Add("b", 4);
  std::set<std::string> used;
  for (int n = 0; n < 4; ++n)
    used.insert(Begin(Request(Only({"b"})))->name);
  UNSIGNED_LONGS_EQUAL(4, used.size());
}

TEST(Regions, WithoutAnAllowedTargetTheRequestIsRejectedAtOnce) {
  Add("a", 2);
  for (const Domains& it : {Domains{}, Domains{"b"}, Domains{"unknown"}}) {
    std::optional<QueueTicket> ticket;
    CHECK(!Enqueue(Request(Only(it)), &ticket).has_value());
    CHECK(!ticket.has_value());
    CHECK(reason.code == ResultCode::kNoAllowedTarget);
  }
}

// The only allowed target that already failed is no fault of the configuration.
TEST(Regions, AnExcludedTargetIsNotReportedAsNotAllowed) {
  Add("a", 2);
  Add("b", 1);
  CHECK(!Begin(Request(Only({"b"})), {"b0"}).has_value());
  CHECK(reason.code == ResultCode::kNoTarget);
}

TEST(Regions, AQueuedRequestWaitsForItsRegion) {
  Add("a", 1);
  Add("b", 1);
  const auto request = Request(Only({"b"}));
  const auto first = Begin(request);
  Begin(request);
  std::optional<QueueTicket> ticket;
  CHECK(!Enqueue(request, &ticket).has_value());
  CHECK(ticket.has_value());
  CHECK(queue.DequeueReady(kStart).empty());
  End(*first);
  const auto starts = queue.DequeueReady(kStart);
  UNSIGNED_LONGS_EQUAL(1, starts.size());
  STRCMP_EQUAL("b0", starts[0].choice->name.c_str());
}

// The targets of its region were removed while it waited.
TEST(Regions, AQueuedRequestWhoseRegionIsGoneIsRejected) {
  Add("b", 1);
  const auto request = Request(Only({"b"}));
  Begin(request);
  Begin(request);
  std::optional<QueueTicket> ticket;
  CHECK(!Enqueue(request, &ticket).has_value());
  list.targets.clear();
  Add("a", 1);
  const auto starts = queue.DequeueReady(kStart);
  UNSIGNED_LONGS_EQUAL(1, starts.size());
  CHECK(starts[0].reason.code == ResultCode::kNoAllowedTarget);
}

// Guards against a full region that holds up requests to idle targets: those of
// other teams, and those of the same team on other routes.
TEST(Regions, RequestsThatWaitForARegionDoNotHoldUpOthers) {
  Add("a", 1);
  Add("b", 1);
  const auto inside = Request(Only({"b"}), "team");
  Begin(inside);
  Begin(inside);
  std::vector<TargetChoice> others;
  for (const char* team : {"team", "other"}) {
    std::optional<QueueTicket> ticket;
    CHECK(!Enqueue(inside, &ticket).has_value());
    CHECK(ticket.has_value());
    ticket.reset();
    const auto choice = Enqueue(Request(nullptr, team), &ticket);
    CHECK(choice.has_value());
    others.push_back(*choice);
  }
  std::optional<QueueTicket> ticket;
  CHECK(!Enqueue(Request(nullptr, "other"), &ticket).has_value());
  CHECK(ticket.has_value());
  End(others.front());
  const auto starts = queue.DequeueReady(kStart);
  UNSIGNED_LONGS_EQUAL(1, starts.size());
  STRCMP_EQUAL("a0", starts[0].choice->name.c_str());
}

// Guards against a queued retry that goes back to the target that refused it,
// and against one that holds up requests to that target.
TEST(Regions, AQueuedRetryKeepsItsExcludedTargets) {
  Add("a", 2);
  const auto request = Request(nullptr, "team");
  std::vector<TargetChoice> running;
  for (int n = 0; n < 4; ++n)
    running.push_back(*Begin(request));
  std::optional<QueueTicket> retry;
  CHECK(!queue
             .BeginOrEnqueue(request, kStart + seconds(60), kStart, &retry,
                             &reason, {"a0"})
             .has_value());
  CHECK(retry.has_value());
  std::optional<QueueTicket> first;
  CHECK(!Enqueue(request, &first).has_value());
  auto end_one_at = [&](const char* name) {
    auto it = std::find_if(
        running.begin(), running.end(),
        [&](const TargetChoice& choice) { return choice.name == name; });
    End(*it);
    running.erase(it);
    return queue.DequeueReady(kStart);
  };
  const auto at_excluded = end_one_at("a0");
  UNSIGNED_LONGS_EQUAL(1, at_excluded.size());
  UNSIGNED_LONGS_EQUAL(first->request, at_excluded[0].ticket.request);
  const auto at_other = end_one_at("a1");
  UNSIGNED_LONGS_EQUAL(1, at_other.size());
  UNSIGNED_LONGS_EQUAL(retry->request, at_other[0].ticket.request);
  STRCMP_EQUAL("a1", at_other[0].choice->name.c_str());
}

// Requests of random sets begin, wait, are retried without a target and end
// with random outcomes, while random targets are listed anew.
TEST(Regions, NoRequestLeavesItsRegionsInARandomRun) {
  std::mt19937 random{20'261'206};
  const std::shared_ptr<const Domains> sets[] = {
      nullptr, Only({"a"}), Only({"b"}), Only({"c"}), Only({"a", "c"})};
  const AttemptOutcome outcomes[] = {
      AttemptOutcome::kGood, AttemptOutcome::kFailed, AttemptOutcome::kRefused,
      AttemptOutcome::kSilent, AttemptOutcome::kNoVerdict};
  const char* teams[] = {"", "one", "two"};
  for (const char* it : {"a", "b", "c"})
    Add(it, 7);
  std::vector<std::pair<TargetChoice, RoutingRequest>> running;
  std::map<QueueTicket, RoutingRequest> waiting;
  auto now = kStart;
  int checked = 0;
  auto check = [&](const TargetChoice& choice, const RoutingRequest& request) {
    const std::string domain = choice.name.substr(0, 1);
    CHECK(!request.domains || request.domains->contains(domain));
    checked += request.domains ? 1 : 0;
    running.emplace_back(choice, request);
  };
  for (int n = 0; n < 20'000; ++n) {
    now += milliseconds(random() % 20);
    RoutingRequest request = Request(sets[random() % std::size(sets)],
                                     teams[random() % std::size(teams)]);
    request.limited = random() % 2 == 0;
    if (random() % 2 == 0) {
      request.prefix = 1 + random() % 5;
      request.prompt_tokens = request.prefix_tokens = 1 + random() % 9'000;
    }
    std::optional<QueueTicket> ticket;
    if (auto choice = queue.BeginOrEnqueue(request, now + seconds(60), now,
                                           &ticket, &reason))
      check(*choice, request);
    else if (ticket)
      waiting.emplace(*ticket, request);
    for (int ends = 0; ends < 2 && !running.empty(); ++ends) {
      const std::size_t index = random() % running.size();
      const auto [choice, ended] = running[index];
      running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
      const auto outcome = outcomes[random() % std::size(outcomes)];
      table.EndAttempt(choice, outcome, {}, now);
      if (outcome == AttemptOutcome::kFailed) {
        if (auto retry = table.BeginAttempt(ended, {choice.name}, now, &reason))
          check(*retry, ended);
      }
    }
    if (random() % 100 == 0) {
      list.targets[random() % list.targets.size()].incarnation =
          std::to_string(n);
      table.Update(list, config, now);
    }
    for (DequeuedRequest& it : queue.DequeueReady(now)) {
      if (it.choice)
        check(*it.choice, waiting.at(it.ticket));
      waiting.erase(it.ticket);
    }
  }
  CHECK(checked > 1'000);
}

}  // namespace turmericwinch
