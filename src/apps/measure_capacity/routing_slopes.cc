#include "apps/measure_capacity/measure.h"
#include "apps/measure_capacity/slopes.h"
#include "libs/routing/target_table.h"

namespace turmericwinch {

namespace {

constexpr std::size_t kTargetCounts[] = {10, 100, 300, 1'900};
constexpr int kChoices = 20'000;

ConfigSet OneService() {
  ConfigSet set;
  set.Add({ConfigKind::kService, "model", {{"protocol", "model"}}, ""});
  set.Add({ConfigKind::kTargetClass, "class", {{"service", "model"}}, ""});
  set.Add({ConfigKind::kFailureDomain, "north", {{"region", "x"}}, ""});
  return set;
}

void MeasureTargets(std::size_t count) {
  HostList list;
  for (std::size_t n = 0; n < count; ++n) {
    list.targets.push_back({"target-" + std::to_string(n), "north",
                            "127.0.0.1:1", "1", "class", false});
  }
  const ConfigSnapshot config(1, "", OneService());
  TargetTable table("north", "host-1");
  const TargetTable::TimePoint now{};
  PrintRow("target table update", count,
           MicrosecondsOf(10, [&] { table.Update(list, config, now); }), "us");
  Reason reason;
  PrintRow(
      "target choice", count,
      MicrosecondsOf(
          kChoices,
          [&] {
            auto choice = table.BeginAttempt({"model", 100}, {}, now, &reason);
            if (choice)
              table.EndAttempt(*choice, AttemptOutcome::kGood, {}, now);
          }),
      "us");
}

}  // namespace

void MeasureRouting() {
  for (std::size_t it : kTargetCounts)
    MeasureTargets(it);
}

}  // namespace turmericwinch
