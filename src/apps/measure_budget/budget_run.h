// Runs one policy through one scenario.

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
#include "apps/measure_budget/run_figures.h"
#include "apps/measure_budget/scenario.h"
#include "apps/measure_budget/trace.h"
#include "apps/measure_budget/truth_ledger.h"

namespace turmericwinch {

struct BookedBudget;

// The trace and the faults depend on the size and the plan alone, so every
// policy gets the same.
class BudgetRun {
 public:
  BudgetRun(Policy policy, const ScenarioPlan& plan, const FleetSize& size);

  RunFigures Go();

 private:
  struct Slot {
    std::shared_ptr<HostModel> host;
    std::string holder;
    int incarnation = 0;
    std::unordered_map<std::uint64_t, TraceRequest> open;
  };

  void StartHost(std::size_t n);
  void FlushLater(std::size_t n, double seconds);
  void ScheduleRequest();
  void Arrive(const TraceRequest& request);
  // What a perfect ledger decides on a request.
  bool DecidePerfectly(const TraceRequest& request, bool* at_end);
  void Refused(const TraceRequest& request, bool acceptable, bool at_end);
  void Accepted(const TraceRequest& request);
  void Finish(const TraceRequest& request, int incarnation);
  // Books what was spent before the run, an equal part in each domain.
  void WritePast();
  void ScheduleFaults();
  void SchedulePartition();
  void Kill(std::size_t n);
  void TopUpAll();
  // Bytes of calls and messages of a host so far.
  std::uint64_t BytesOf(std::size_t host) const;
  void CheckBound();
  void CheckHeld(const TokensOf& held);
  void Quiesce();
  std::optional<BudgetSetting> SettingOf(std::size_t host,
                                         const std::string& name) const;
  std::string CheckBooks() const;
  std::string CheckBudget(std::size_t n, const BookedBudget* booked) const;
  void RunFor(double seconds);

  Policy policy_;
  ScenarioPlan plan_;
  FleetSize size_;
  EventQueue queue_;
  Trace trace_;
  // What was paid for in all, what of it was spent before the run, and what was
  // left then, as a domain sees it that is cut off.
  std::vector<std::int64_t> declared_;
  std::vector<std::int64_t> past_;
  std::vector<std::int64_t> seen_by_cut_;
  TruthLedger truth_;
  TruthLedger perfect_;
  bool counting_ = false;
  PlatformModel platform_;
  PeerModel peers_;
  std::mt19937_64 random_;
  std::vector<Slot> slots_;
  std::map<std::string, std::size_t> index_;
  // Tokens settled of which the bill may have died with its host.
  TokensOf doubtful_;
  int top_ups_ = 0;
  bool over_ = false;
  RunFigures figures_;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_BUDGET_RUN_H_
