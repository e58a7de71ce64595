#include "apps/measure_routing/policy.h"

#include <array>
#include <boost/json/parse.hpp>
#include <random>
#include <string>

#include "apps/measure_routing/model_constants.h"
#include "libs/base/digest.h"

namespace turmericwinch {

namespace {

constexpr std::array<std::string_view, kPolicyKinds> kNames = {
    "random",        "round_robin",   "least_in_flight", "two_choices",
    "table_answers", "table_reports", "table_polled"};

// In flight by the last report and by what this host sent after it.
struct Counts {
  FleetReport report;
  std::vector<std::vector<double>> sent;

  double Of(std::size_t target) {
    std::vector<double>& times = sent[target];
    std::erase_if(times, [&](double it) { return it < report.taken; });
    const std::size_t reported =
        report.in_flight.empty() ? 0 : report.in_flight[target];
    return static_cast<double>(reported + times.size());
  }
};

Policy MakePlain(PolicyKind kind, std::size_t host, std::size_t targets) {
  auto counts = std::make_shared<Counts>();
  counts->sent.resize(targets);
  auto random = std::make_shared<std::mt19937_64>(host + 1);
  Policy policy;
  policy.report = [counts](const FleetReport& report, double) {
    counts->report = report;
  };
  auto turn = std::make_shared<std::size_t>((*random)() % targets);
  policy.choose = [=](Job&, double now) {
    std::size_t best = (*random)() % targets;
    if (kind == PolicyKind::kRoundRobin)
      best = (*turn)++ % targets;
    if (kind == PolicyKind::kTwoChoices) {
      const std::size_t other = (*random)() % targets;
      best = counts->Of(other) < counts->Of(best) ? other : best;
    }
    if (kind == PolicyKind::kLeastInFlight) {
      const std::size_t start = best;
      for (std::size_t n = 1; n < targets; ++n) {
        const std::size_t it = (start + n) % targets;
        best = counts->Of(it) < counts->Of(best) ? it : best;
      }
    }
    counts->sent[best].push_back(now);
    return best;
  };
  return policy;
}

Policy MakeOwn(PolicyKind kind,
               std::size_t host,
               const std::vector<double>& speeds) {
  std::shared_ptr<TargetTable> table = MakeModelTable(host, speeds.size(), 1);
  Policy policy;
  policy.choose = [table](Job& job, double now) {
    Reason reason;
    job.choice = table->BeginAttempt(WishOf(job), {}, ModelTime(now), &reason)
                     .value_or(TargetChoice{.name = "0"});
    return std::stoul(job.choice.name);
  };
  policy.first = [table](Job& job, double now) {
    table->RecordFirstToken(job.choice,
                            std::chrono::duration<double>(now - job.arrival),
                            ModelTime(now));
  };
  policy.done = [table](Job& job, double now) {
    const double each =
        job.output > 1 ? (job.last - job.first) / (job.output - 1) : 0;
    table->EndAttempt(job.choice, AttemptOutcome::kGood,
                      std::chrono::duration<double>(each), ModelTime(now));
  };
  if (kind == PolicyKind::kTableAnswersOnly)
    return policy;
  const bool polled = kind == PolicyKind::kTablePolled;
  auto owed = std::make_shared<double>(0);
  auto turn = std::make_shared<std::size_t>(host);
  policy.report = [=](const FleetReport& report, double) {
    const std::size_t targets = report.in_flight.size();
    *owed += polled ? kPolledBytes * kReportInterval / kPollBytes
                    : static_cast<double>(targets);
    for (; *owed >= 1; *owed -= 1) {
      const std::size_t n = (*turn)++ % targets;
      table->RecordLoadReport(
          std::to_string(n),
          {static_cast<std::int64_t>(report.in_flight[n]),
           static_cast<std::int64_t>(report.waiting_prompt[n]),
           ModelTime(report.taken)});
    }
  };
  return policy;
}

}  // namespace

TargetTable::TimePoint ModelTime(double seconds) {
  return TargetTable::TimePoint(
      std::chrono::duration_cast<TargetTable::TimePoint::duration>(
          std::chrono::duration<double>(seconds)));
}

std::unique_ptr<TargetTable> MakeModelTable(std::size_t host,
                                            std::size_t targets,
                                            std::size_t hosts) {
  ConfigSet set;
  set.Add({ConfigKind::kFailureDomain, "a", {}, ""});
  set.Add({ConfigKind::kTargetClass, "any",
           boost::json::parse(R"({"service":"llm","tokens_per_second":100,
             "most_in_flight":64})")
               .as_object(),
           ""});
  const ConfigSnapshot config(1, "digest", set);
  HostList list;
  for (std::size_t n = 0; n < hosts; ++n)
    list.hosts.push_back({"host-" + std::to_string(n), "a"});
  for (std::size_t n = 0; n < targets; ++n) {
    list.targets.push_back(
        {std::to_string(n), "a", "127.0.0.1:1", "1", "any", false});
  }
  auto table =
      std::make_unique<TargetTable>("a", "host-" + std::to_string(host));
  table->Update(list, config, ModelTime(0));
  return table;
}

RoutingRequest WishOf(const Job& job) {
  RoutingRequest wish{"llm", static_cast<std::int64_t>(job.prompt)};
  if (job.lookup) {
    wish.prefix = Hash64("manifest", job.manifest + 1);
    wish.prefix_tokens = static_cast<std::int64_t>(job.shared);
  }
  return wish;
}

std::string_view NameOf(PolicyKind kind) {
  return kNames.at(static_cast<std::size_t>(kind));
}

Policy MakePolicy(PolicyKind kind,
                  std::size_t host,
                  const std::vector<double>& speeds) {
  if (kind >= PolicyKind::kTableAnswersOnly)
    return MakeOwn(kind, host, speeds);
  return MakePlain(kind, host, speeds.size());
}

}  // namespace turmericwinch
