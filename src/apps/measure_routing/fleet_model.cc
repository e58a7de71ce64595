#include "apps/measure_routing/fleet_model.h"

#include <deque>
#include <functional>

#include "apps/measure_routing/engine_fleet.h"
#include "apps/measure_routing/model_constants.h"

namespace turmericwinch {

namespace {

constexpr double kEnd = kWarmUpSeconds + kMeasuredSeconds;

void Sample(const Job& job, FleetSamples& samples) {
  if (job.arrival < kWarmUpSeconds)
    return;
  samples.first.push_back(job.first - job.arrival);
  if (!job.lookup)
    samples.chat_first.push_back(job.first - job.arrival);
  samples.whole.push_back(job.last - job.arrival);
  if (job.output > 1)
    samples.between.push_back((job.last - job.first) / (job.output - 1));
  samples.lookups += job.lookup ? 1 : 0;
  samples.cache_hits += job.cache_hit ? 1 : 0;
}

// Requests that never ended in time count with the time they took so far, so
// that an overloaded policy does not look good.
void SampleUnfinished(std::deque<Job>& jobs, FleetSamples& samples) {
  for (Job& it : jobs) {
    if (it.produced >= it.output)
      continue;
    it.last = kEnd;
    if (it.first == 0)
      it.first = kEnd;
    Sample(it, samples);
  }
}

}  // namespace

std::vector<double> ModelSpeeds(std::size_t targets) {
  std::vector<double> speeds;
  for (std::size_t n = 0; n < targets; ++n)
    speeds.push_back(1.0 / static_cast<double>(1U << (n % 3)));
  return speeds;
}

FleetSamples RunFleet(const FleetRun& run) {
  std::vector<Policy> hosts;
  for (std::size_t n = 0; n < run.hosts; ++n)
    hosts.push_back(MakePolicy(run.kind, n, ModelSpeeds(kModelTargets)));
  FleetSamples samples;
  EngineFleet fleet(
      ModelSpeeds(kModelTargets),
      [&](Job& job, double now) { hosts[job.host].first(job, now); },
      [&](Job& job, double now) {
        hosts[job.host].done(job, now);
        Sample(job, samples);
      });
  Workload workload(run.seed, run.hosts);
  std::deque<Job> jobs;
  std::function<void(double)> arrive = [&](double now) {
    Job& job = jobs.back();
    job.target = hosts[job.host].choose(job, now);
    fleet.Send(job, now);
    jobs.push_back(workload.Next(now, run.rate));
    fleet.events().Add(jobs.back().arrival, arrive);
  };
  std::function<void(double)> report = [&](double now) {
    const FleetReport taken = fleet.Report(now);
    auto show = [&hosts, taken](double time) {
      for (Policy& it : hosts)
        it.report(taken, time);
    };
    if (run.lag == 0)
      show(now);
    else
      fleet.events().Add(now + run.lag, show);
    fleet.events().Add(now + kReportInterval, report);
  };
  jobs.push_back(workload.Next(0, run.rate));
  fleet.events().Add(jobs.back().arrival, arrive);
  fleet.events().Add(0, report);
  fleet.events().RunUntil(kEnd);
  jobs.pop_back();
  SampleUnfinished(jobs, samples);
  return samples;
}

double MeasureCapacity(std::uint64_t seed) {
  Workload workload(seed, 1);
  std::deque<Job> jobs;
  std::size_t done = 0;
  EngineFleet* running = nullptr;
  auto send = [&](std::size_t target, double now) {
    jobs.push_back(workload.Next(now, 1));
    jobs.back().arrival = now;
    jobs.back().target = target;
    running->Send(jobs.back(), now);
  };
  EngineFleet fleet(
      ModelSpeeds(kModelTargets), [](Job&, double) {},
      [&](Job& job, double now) {
        done += now > kWarmUpSeconds ? 1 : 0;
        send(job.target, now);
      });
  running = &fleet;
  for (std::size_t target = 0; target < kModelTargets; ++target) {
    for (int n = 0; n < kSaturatingRequests; ++n)
      send(target, 0);
  }
  fleet.events().RunUntil(kEnd);
  return static_cast<double>(done) / kMeasuredSeconds;
}

}  // namespace turmericwinch
