// A host that decides with the reference ledger. The refusals of the other
// policies are compared with it.

#ifndef SRC_APPS_MEASURE_BUDGET_PERFECT_HOST_H_
#define SRC_APPS_MEASURE_BUDGET_PERFECT_HOST_H_

#include <functional>

#include "apps/measure_budget/host_model.h"
#include "apps/measure_budget/reference_ledger.h"

namespace turmericwinch {

class PerfectHost : public HostModel {
 public:
  // `reference` must outlive the host.
  explicit PerfectHost(const ReferenceLedger& reference)
      : reference_(reference) {}

  void Request(const TraceRequest& request,
               std::function<void(bool)> decided) override {
    decided(reference_.HasRoom(request.budget, request.bound));
  }
  void Settle(const TraceRequest&) override {}
  void Flush(bool, std::function<void()> done) override { done(); }
  void Terminate() override {}
  TokensOf Held() const override { return {}; }
  TokensOf Unbilled() const override { return {}; }
  std::size_t MemoryBytes() const override { return 0; }

 private:
  const ReferenceLedger& reference_;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_PERFECT_HOST_H_
