#include "libs/routing/target_memory.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <boost/json/parse.hpp>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "libs/routing/routing_constants.h"
#include "libs/routing/target_queue.h"
#include "libs/routing/target_table.h"

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;

const TargetMemory::TimePoint kStart{std::chrono::seconds(100)};

ConfigSnapshot Config(std::int64_t memory_tokens) {
  ConfigSet set;
  set.Add({ConfigKind::kFailureDomain, "a", {}, ""});
  boost::json::object fields = {{"service", "llm"},
                                {"tokens_per_second", 100},
                                {"most_in_flight", 64},
                                {"memory_tokens", memory_tokens}};
  set.Add({ConfigKind::kTargetClass, "any", fields, ""});
  return {1, "digest", set};
}

HostList Targets(int count) {
  HostList list;
  for (int n = 0; n < count; ++n) {
    list.targets.push_back(
        {std::to_string(n), "a", "127.0.0.1:1", "1", "any", false});
  }
  return list;
}

// Several hosts send requests with long prompts, of which a few are very long,
// to the same targets. A request holds its prompt and the output it has
// produced.
class Play {
 public:
  static constexpr int kTargets = 6;
  static constexpr std::int64_t kMemory = 100'000;
  static constexpr std::int64_t kMaxOutput = 1'000;
  static constexpr double kMinPrompt = 1'500;
  static constexpr double kMaxPrompt = 40'000;
  static constexpr double kTailExponent = 1.1;
  static constexpr double kArrivalsPerSecond = 10.8;
  static constexpr double kPromptTokensPerSecond = 8'000;
  static constexpr double kSecondsPerToken = 0.01;
  static constexpr milliseconds kStep{20};
  static constexpr milliseconds kReportDelay{20};
  static constexpr std::chrono::seconds kLength{60};

  Play(int hosts, std::int64_t memory_tokens) {
    const ConfigSnapshot config = Config(memory_tokens);
    const HostList list = Targets(kTargets);
    for (int n = 0; n < hosts; ++n) {
      hosts_.push_back(std::make_unique<Host>(n));
      hosts_.back()->table.Update(list, config, kStart);
    }
  }

  void Run() {
    std::bernoulli_distribution arrives(
        kArrivalsPerSecond / static_cast<double>(hosts_.size()) *
        std::chrono::duration<double>(kStep).count());
    for (; time_ < kLength; time_ += kStep) {
      Advance();
      for (auto& host : hosts_) {
        for (DequeuedRequest& it : host->queue.DequeueReady(kStart + time_))
          Start(*host, std::move(it.choice), host->waiting.extract(it.ticket));
        if (arrives(random_))
          Arrive(*host);
      }
      Check();
    }
  }

  int rejected = 0;
  // Times at which a target began to hold more than its memory.
  int overflows = 0;
  // Sum over all steps of the oldest requests of hosts that waited while a
  // target had room for twice their tokens.
  int needless_waits = 0;

 private:
  struct Request {
    std::int64_t prompt = 0;
    std::int64_t output = 0;
  };
  struct Host {
    explicit Host(int n) : table("a", "host" + std::to_string(n)) {}
    TargetTable table;
    TargetQueue queue{table};
    std::map<QueueTicket, Request> waiting;
  };
  struct Running {
    Host* host;
    TargetChoice choice;
    Request request;
    milliseconds start;
    bool has_first = false;

    double FirstSeconds() const {
      return static_cast<double>(request.prompt) / kPromptTokensPerSecond;
    }
    double Output(milliseconds time) const {
      const double age = std::chrono::duration<double>(time - start).count();
      return std::max((age - FirstSeconds()) / kSecondsPerToken, 0.0);
    }
  };

  void Arrive(Host& host) {
    std::uniform_real_distribution<double> uniform(0, 1);
    std::uniform_int_distribution<std::int64_t> output(1, kMaxOutput);
    const double prompt =
        kMinPrompt * std::pow(1 - uniform(random_), -1 / kTailExponent);
    const Request request{
        static_cast<std::int64_t>(std::min(prompt, kMaxPrompt)),
        output(random_)};
    RoutingRequest routed{"llm", request.prompt};
    routed.max_output_tokens = kMaxOutput;
    std::optional<QueueTicket> ticket;
    Reason reason;
    const auto now = kStart + time_;
    auto choice = host.queue.BeginOrEnqueue(routed, now + kMaxTargetWait, now,
                                            &ticket, &reason);
    if (choice)
      Start(host, std::move(choice), request);
    else if (ticket)
      host.waiting.emplace(*ticket, request);
    else
      ++rejected;
  }

  void Start(Host& host,
             std::optional<TargetChoice> choice,
             std::map<QueueTicket, Request>::node_type waited) {
    Start(host, std::move(choice), waited.mapped());
  }
  void Start(Host& host,
             std::optional<TargetChoice> choice,
             const Request& request) {
    if (!choice) {
      ++rejected;
      return;
    }
    running_.push_back({&host, std::move(*choice), request, time_});
  }

  // Ends requests, and delivers first tokens with a report.
  void Advance() {
    std::vector<std::int64_t> counts(kTargets, 0);
    for (const Running& it : running_) {
      if (it.start + kReportDelay <= time_)
        ++counts[std::stoul(it.choice.name)];
    }
    const auto now = kStart + time_;
    std::erase_if(running_, [&](Running& it) {
      if (!it.has_first && it.Output(time_) > 0) {
        it.has_first = true;
        it.host->table.RecordReportedLoad(
            it.choice, {counts[std::stoul(it.choice.name)], 0, 64, {}}, now);
        it.host->table.RecordFirstToken(
            it.choice, std::chrono::duration<double>(it.FirstSeconds()), now);
      }
      if (it.Output(time_) < static_cast<double>(it.request.output))
        return false;
      it.host->table.EndAttempt(it.choice, AttemptOutcome::kGood,
                                std::chrono::duration<double>(kSecondsPerToken),
                                now);
      return true;
    });
  }

  void Check() {
    std::vector<double> held(kTargets, 0);
    for (const Running& it : running_) {
      held[std::stoul(it.choice.name)] +=
          static_cast<double>(it.request.prompt) + it.Output(time_);
    }
    for (int n = 0; n < kTargets; ++n) {
      const bool is_over = held[n] > kMemory;
      overflows += is_over && !was_over_[n] ? 1 : 0;
      was_over_[n] = is_over;
    }
    const double most_room =
        kMemory - *std::min_element(held.begin(), held.end());
    // Only the oldest request: the others wait behind it.
    for (const auto& host : hosts_) {
      if (host->waiting.empty())
        continue;
      const Request& oldest = host->waiting.begin()->second;
      const auto tokens = static_cast<double>(oldest.prompt + kMaxOutput);
      needless_waits += 2 * tokens < most_room ? 1 : 0;
    }
  }

  std::mt19937 random_{11};
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<Running> running_;
  bool was_over_[kTargets] = {};
  milliseconds time_{0};
};

}  // namespace

TEST_GROUP(TargetMemory) {
  TargetMemory memory;
  void setup() override {
    memory.SetCapacity(1'000);
  }
};

TEST(TargetMemory, OwnRequestsHoldTokensUntilTheyEnd) {
  memory.BeginRequest(600);
  CHECK(memory.HasRoom(400, kStart));
  CHECK(!memory.HasRoom(401, kStart));
  memory.EndRequest(600);
  CHECK(memory.HasRoom(1'000, kStart));
  DOUBLES_EQUAL(0, memory.own_tokens(), 0);
}

TEST(TargetMemory, WithoutACapacityThereIsRoom) {
  memory.SetCapacity(0);
  memory.BeginRequest(1e12);
  memory.RecordReport(1'000'000, 1e9, kStart);
  CHECK(memory.HasRoom(1e12, kStart));
  CHECK(!memory.NextCheck(kStart));
}

// Guards against usable memory staying idle after a report: it ages, and
// requests of this host in it are not counted twice.
TEST(TargetMemory, ReportsOfOtherHostsRequestsAge) {
  memory.BeginRequest(100);
  memory.RecordReport(5, 200, kStart);
  DOUBLES_EQUAL(900, memory.UsedTokens(kStart), 1e-6);
  CHECK(!memory.HasRoom(300, kStart));
  CHECK(memory.NextCheck(kStart).has_value());
  const auto later = kStart + kMemoryReportHalfLife;
  DOUBLES_EQUAL(500, memory.UsedTokens(later), 1e-6);
  CHECK(memory.HasRoom(300, later));
  CHECK(!memory.NextCheck(kStart + 20 * kMemoryReportHalfLife));
  memory.RecordReport(1, 200, later);
  DOUBLES_EQUAL(100, memory.UsedTokens(later), 1e-6);
}

// A target that runs can't hold more than its memory.
TEST(TargetMemory, TheEstimateOfOtherHostsIsBoundedByTheMemory) {
  memory.RecordReport(1'000'000, 1e9, kStart);
  DOUBLES_EQUAL(1'000, memory.UsedTokens(kStart), 1e-6);
}

TEST(TargetMemory, ARequestLargerThanTheMemoryGetsATargetWithoutOwnRequests) {
  CHECK(memory.HasRoom(5'000, kStart));
  memory.BeginRequest(1);
  CHECK(!memory.HasRoom(5'000, kStart));
}

TEST(TargetMemory, TheTableChoosesATargetWithRoomOrWaits) {
  TargetTable table("a", "host");
  table.Update(Targets(2), Config(10'000), kStart);
  RoutingRequest request{"llm", 6'000};
  Reason reason;
  const auto first = table.BeginAttempt(request, {}, kStart, &reason);
  const auto second = table.BeginAttempt(request, {}, kStart, &reason);
  CHECK(first && second && first->name != second->name);
  CHECK(!table.BeginAttempt(request, {}, kStart, &reason));
  CHECK(reason.code == ResultCode::kOverloaded);
  request.prompt_tokens = 3'000;
  CHECK(table.BeginAttempt(request, {}, kStart, &reason).has_value());
  table.EndAttempt(*first, AttemptOutcome::kFailed, {}, kStart);
  request.prompt_tokens = 6'000;
  CHECK(table.BeginAttempt(request, {}, kStart, &reason).has_value());
  // Nothing else wakes a request that waits for an estimate to age.
  table.RecordReportedLoad(*second, {9, 0, 64, {}}, kStart);
  CHECK(table.NextRateStart("llm", kStart).has_value());
}

// Guards against an engine that crashes because a host sends it long prompts,
// and against memory that stays idle while requests wait.
TEST(TargetMemory, TargetsOfOneHostStayWithinTheirMemory) {
  Play plain(1, 0);
  plain.Run();
  Play bounded(1, Play::kMemory);
  bounded.Run();
  CHECK(plain.overflows > 0);
  LONGS_EQUAL(0, bounded.overflows);
  LONGS_EQUAL(0, bounded.rejected);
  LONGS_EQUAL(0, bounded.needless_waits);
}

// As above for several hosts, which do not see the sizes of each other's
// requests.
TEST(TargetMemory, TargetsOfManyHostsStayWithinTheirMemory) {
  Play plain(6, 0);
  plain.Run();
  Play bounded(6, Play::kMemory);
  bounded.Run();
  CHECK(bounded.overflows < plain.overflows);
  LONGS_EQUAL(0, bounded.rejected);
  LONGS_EQUAL(0, bounded.overflows);
}

}  // namespace turmericwinch
