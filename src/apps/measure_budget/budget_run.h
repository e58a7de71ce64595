// Simulates one policy in one scenario.

#ifndef SRC_APPS_MEASURE_BUDGET_BUDGET_RUN_H_
#define SRC_APPS_MEASURE_BUDGET_BUDGET_RUN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

#include "apps/measure_budget/event_queue.h"
#include "apps/measure_budget/host_model.h"
#include "apps/measure_budget/peer_model.h"
#include "apps/measure_budget/platform_model.h"
#include "apps/measure_budget/policy.h"
#include "apps/measure_budget/reference_ledger.h"
#include "apps/measure_budget/run_results.h"
#include "apps/measure_budget/scenario.h"
#include "apps/measure_budget/trace.h"

namespace turmericwinch {

struct RecordedBudget;

// The trace and the faults depend only on the fleet size and the plan, so they
// are the same for every policy.
class BudgetRun {
 public:
  BudgetRun(Policy policy, const ScenarioPlan& plan, const FleetSize& size);

  RunResults Run();

 private:
  struct Slot {
    std::shared_ptr<HostModel> host;
    std::string holder;
    int incarnation = 0;
    std::unordered_map<std::uint64_t, TraceRequest> open;
  };

  void StartHost(std::size_t n);
  void ScheduleFlush(std::size_t n, double seconds);
  void ScheduleRequest();
  void OnArrival(const TraceRequest& request);
  // Returns whether a perfect ledger accepts the request. Sets `at_end` if the
  // budget is nearly used up.
  bool DecidePerfectly(const TraceRequest& request, bool* at_end);
  void OnRefused(const TraceRequest& request, bool acceptable, bool at_end);
  void OnAccepted(const TraceRequest& request);
  void FinishRequest(const TraceRequest& request, int incarnation);
  // Writes the tokens spent before the run to the platform, an equal part for
  // each failure domain.
  void WriteInitialSpend();
  void ScheduleFaults();
  void SchedulePartition();
  void CrashHost(std::size_t n);
  void TopUpAll();
  // Bytes that the host's calls and messages took so far.
  std::uint64_t BytesOf(std::size_t host) const;
  void CheckBound();
  void CheckHeld(const TokensOf& held);
  void Quiesce();
  std::optional<BudgetSetting> SettingOf(std::size_t host,
                                         const std::string& name) const;
  std::string CheckRecordedBudgets() const;
  std::string CheckBudget(std::size_t n, const RecordedBudget* recorded) const;
  void RunFor(double seconds);

  Policy policy_;
  ScenarioPlan plan_;
  FleetSize size_;
  EventQueue queue_;
  Trace trace_;
  // For each budget: the tokens paid in total, those of them spent before the
  // run, and those left at its start. A partitioned failure domain sees only
  // the last.
  std::vector<std::int64_t> initial_paid_;
  std::vector<std::int64_t> initial_spent_;
  std::vector<std::int64_t> seen_by_partitioned_;
  ReferenceLedger reference_;
  ReferenceLedger perfect_;
  bool is_counting_ = false;
  PlatformModel platform_;
  PeerModel peers_;
  std::mt19937_64 random_;
  std::vector<Slot> slots_;
  std::map<std::string, std::size_t> budget_index_;
  // Tokens settled whose bills may have been lost with their host.
  TokensOf unconfirmed_;
  int top_ups_ = 0;
  bool has_ended_ = false;
  RunResults results_;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_BUDGET_RUN_H_
