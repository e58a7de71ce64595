// Engines in simulated time.

#ifndef SRC_APPS_MEASURE_ROUTING_ENGINE_FLEET_H_
#define SRC_APPS_MEASURE_ROUTING_ENGINE_FLEET_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <vector>

#include "apps/measure_routing/engine_model.h"
#include "apps/measure_routing/policy.h"

namespace turmericwinch {

// Actions in the order of simulated time; of equal times, as they were added.
class EventQueue {
 public:
  using Action = std::function<void(double now)>;

  void Add(double time, Action action);
  void RunUntil(double end);

 private:
  struct Event {
    double time;
    std::uint64_t number;
    Action action;
    bool operator<(const Event& other) const {
      return std::tie(other.time, other.number) < std::tie(time, number);
    }
  };

  std::priority_queue<Event> queue_;
  std::uint64_t next_ = 0;
};

// Engines, with hooks for what happens to requests.
class EngineFleet {
 public:
  using JobHook = std::function<void(Job&, double now)>;

  EngineFleet(const std::vector<double>& speeds,
              JobHook on_first,
              JobHook on_done);

  // Sends the job to its target.
  void Send(Job& job, double now);
  FleetReport Report(double now) const;
  EventQueue& events() { return events_; }

 private:
  void Step(std::size_t target, double now);

  JobHook on_first_;
  JobHook on_done_;
  std::vector<EngineModel> engines_;
  EventQueue events_;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_ROUTING_ENGINE_FLEET_H_
