#include "apps/measure_routing/engine_fleet.h"

#include <optional>
#include <utility>

namespace turmericwinch {

void EventQueue::Add(double time, Action action) {
  queue_.push({time, next_++, std::move(action)});
}

void EventQueue::RunUntil(double end) {
  while (!queue_.empty() && queue_.top().time < end) {
    const Event event = queue_.top();
    queue_.pop();
    event.action(event.time);
  }
}

EngineFleet::EngineFleet(const std::vector<double>& speeds,
                         JobHook on_first,
                         JobHook on_done)
    : on_first_(std::move(on_first)), on_done_(std::move(on_done)) {
  for (double it : speeds)
    engines_.emplace_back(it);
}

void EngineFleet::Send(Job& job, double now) {
  engines_[job.target].Add(&job);
  Step(job.target, now);
}

FleetReport EngineFleet::Report(double now) const {
  FleetReport report;
  report.taken = now;
  for (const EngineModel& it : engines_) {
    report.in_flight.push_back(it.InFlight());
    report.waiting_prompt.push_back(it.WaitingPrompt());
  }
  return report;
}

void EngineFleet::Step(std::size_t target, double now) {
  std::optional<double> end = engines_[target].StartStep(now);
  if (!end)
    return;
  events_.Add(*end, [this, target](double time) {
    const EngineModel::StepResult result = engines_[target].FinishStep(time);
    for (Job* it : result.first)
      on_first_(*it, time);
    for (Job* it : result.done)
      on_done_(*it, time);
    Step(target, time);
  });
}

}  // namespace turmericwinch
