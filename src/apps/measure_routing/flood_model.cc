#include "apps/measure_routing/flood_model.h"

#include <deque>
#include <map>
#include <memory>

#include "apps/measure_routing/engine_fleet.h"
#include "apps/measure_routing/fleet_model.h"
#include "apps/measure_routing/model_constants.h"
#include "libs/routing/target_queue.h"

namespace turmericwinch {

namespace {

// One entry host: its table and its queue, as in the daemon.
struct ModelHost {
  ModelHost(std::size_t number, const FloodRun& run)
      : table(MakeModelTable(number, run.targets, run.hosts)), queue(*table) {}

  std::unique_ptr<TargetTable> table;
  TargetQueue queue;
  std::map<QueueTicket, Job*> waiting;
};

class FloodModel {
 public:
  explicit FloodModel(const FloodRun& run);
  FloodSamples Run();

 private:
  // Adds arrivals of `workload` at `rate`; those of the flood are one team's.
  void Arrive(Workload& workload, double rate, bool flood, double now);
  void Ask(Job& job, double now);
  void Send(Job& job, const TargetChoice& choice, double now);
  void OnFirst(Job& job, double now);
  void OnDone(Job& job, double now);
  void Refuse(Job& job);

  FloodRun run_;
  std::deque<ModelHost> hosts_;
  std::deque<Job> jobs_;
  Workload calm_;
  Workload flood_;
  EngineFleet fleet_;
  FloodSamples samples_;
};

FloodModel::FloodModel(const FloodRun& run)
    : run_(run),
      calm_(run.seed, run.hosts),
      flood_(run.seed + 1, run.hosts),
      fleet_(
          ModelSpeeds(run.targets),
          [this](Job& job, double now) { OnFirst(job, now); },
          [this](Job& job, double now) { OnDone(job, now); }) {
  for (std::size_t n = 0; n < run.hosts; ++n)
    hosts_.emplace_back(n, run);
}

FloodSamples FloodModel::Run() {
  Arrive(calm_, run_.calm_rate, false, 0);
  if (run_.flood_rate > 0)
    Arrive(flood_, run_.flood_rate, true, kFloodStart);
  fleet_.events().RunUntil(kWarmUpSeconds + kMeasuredSeconds);
  return std::move(samples_);
}

void FloodModel::Arrive(Workload& workload,
                        double rate,
                        bool flood,
                        double now) {
  jobs_.push_back(workload.Next(now, rate));
  Job& job = jobs_.back();
  job.team = flood ? 0 : 1 + jobs_.size() % kCalmTeams;
  fleet_.events().Add(job.arrival,
                      [this, &workload, &job, rate, flood](double time) {
                        Ask(job, time);
                        Arrive(workload, rate, flood, time);
                      });
}

void FloodModel::Ask(Job& job, double now) {
  ModelHost& host = hosts_[job.host];
  RoutingRequest wish = WishOf(job);
  wish.team = std::to_string(job.team);
  wish.limited = run_.limited;
  std::optional<QueueTicket> ticket;
  Reason reason;
  std::optional<TargetChoice> choice = host.queue.BeginOrEnqueue(
      wish, ModelTime(now + kFloodPatience), ModelTime(now), &ticket, &reason);
  if (choice) {
    Send(job, *choice, now);
    return;
  }
  if (!ticket) {
    Refuse(job);
    return;
  }
  host.waiting[*ticket] = &job;
  fleet_.events().Add(now + kFloodPatience, [this, ticket, &job](double) {
    ModelHost& from = hosts_[job.host];
    if (from.waiting.erase(*ticket) == 0)
      return;
    from.queue.Remove(*ticket);
    Refuse(job);
  });
}

void FloodModel::Send(Job& job, const TargetChoice& choice, double now) {
  job.choice = choice;
  job.sent = now;
  job.target = std::stoul(choice.name);
  fleet_.Send(job, now);
}

void FloodModel::OnFirst(Job& job, double now) {
  hosts_[job.host].table->RecordFirstToken(
      job.choice, std::chrono::duration<double>(now - job.sent),
      ModelTime(now));
}

void FloodModel::OnDone(Job& job, double now) {
  ModelHost& host = hosts_[job.host];
  const double each =
      job.output > 1 ? (job.last - job.first) / (job.output - 1) : 0;
  host.table->EndAttempt(job.choice, AttemptOutcome::kGood,
                         std::chrono::duration<double>(each), ModelTime(now));
  if (job.arrival >= kWarmUpSeconds) {
    auto& first = job.team == 0 ? samples_.flood_first : samples_.calm_first;
    first.push_back(job.first - job.arrival);
    ++(job.team == 0 ? samples_.flood_done : samples_.calm_done);
  }
  for (const DequeuedRequest& it : host.queue.DequeueReady(ModelTime(now))) {
    Job* started = host.waiting.at(it.ticket);
    host.waiting.erase(it.ticket);
    Send(*started, *it.choice, now);
  }
}

void FloodModel::Refuse(Job& job) {
  if (job.arrival >= kWarmUpSeconds)
    ++(job.team == 0 ? samples_.flood_refused : samples_.calm_refused);
}

}  // namespace

FloodSamples RunFlood(const FloodRun& run) {
  return FloodModel(run).Run();
}

}  // namespace turmericwinch
