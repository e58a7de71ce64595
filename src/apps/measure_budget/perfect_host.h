// A host that knows the truth: what refusals are measured against.

#ifndef SRC_APPS_MEASURE_BUDGET_PERFECT_HOST_H_
#define SRC_APPS_MEASURE_BUDGET_PERFECT_HOST_H_

#include <functional>

#include "apps/measure_budget/host_model.h"
#include "apps/measure_budget/truth_ledger.h"

namespace turmericwinch {

class PerfectHost : public HostModel {
 public:
  // `truth` outlives the host.
  explicit PerfectHost(const TruthLedger& truth) : truth_(truth) {}

  void Request(const TraceRequest& request,
               std::function<void(bool)> decided) override {
    decided(truth_.HasRoom(request.budget, request.bound));
  }
  void Settle(const TraceRequest&) override {}
  void Flush(bool, std::function<void()> done) override { done(); }
  void Die() override {}
  TokensOf Held() const override { return {}; }
  TokensOf Unbilled() const override { return {}; }
  std::size_t MemoryBytes() const override { return 0; }

 private:
  const TruthLedger& truth_;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_PERFECT_HOST_H_
