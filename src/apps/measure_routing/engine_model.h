// Queueing model of one engine.

#ifndef SRC_APPS_MEASURE_ROUTING_ENGINE_MODEL_H_
#define SRC_APPS_MEASURE_ROUTING_ENGINE_MODEL_H_

#include <deque>
#include <list>
#include <optional>
#include <vector>

#include "apps/measure_routing/workload.h"

namespace turmericwinch {

// Batches continuously: each step reads a piece of the first waiting prompt
// and gives one token to each running request. Keeps the last prefixes used.
// Jobs are not owned.
class EngineModel {
 public:
  // `speed` is 1 for a target at full speed.
  explicit EngineModel(double speed) : speed_(speed) {}

  void Add(Job* job) { waiting_.push_back(job); }
  // Begins a step at `now` if there is work and none runs; returns its end.
  std::optional<double> StartStep(double now);
  // Ends the step. Answers the jobs that got their first token and those that
  // are done.
  struct StepResult {
    std::vector<Job*> first;
    std::vector<Job*> done;
  };
  StepResult FinishStep(double now);

  std::size_t InFlight() const { return waiting_.size() + running_.size(); }
  double WaitingPrompt() const;
  double speed() const { return speed_; }

 private:
  double ReadPrompts();
  bool TouchPrefix(std::size_t manifest);

  double speed_;
  bool busy_ = false;
  std::deque<Job*> waiting_;
  std::vector<Job*> running_;
  std::vector<Job*> read_;
  std::list<std::size_t> prefixes_;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_ROUTING_ENGINE_MODEL_H_
