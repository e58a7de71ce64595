// A host that has a fixed share of every budget and asks nobody.

#ifndef SRC_APPS_MEASURE_BUDGET_SPLIT_HOST_H_
#define SRC_APPS_MEASURE_BUDGET_SPLIT_HOST_H_

#include "apps/measure_budget/ledger_host.h"

namespace turmericwinch {

// A host that replaces a dead one has no share: what the dead one spent of it
// is not known.
class SplitHost : public LedgerHost {
 public:
  SplitHost(HostParts parts, bool replacement);

 protected:
  void Draw() override;
  // Nobody else could use it.
  void GiveBack(bool) override {}
  void FlushCounters(std::function<void()> done) override { done(); }

 private:
  bool replacement_;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_SPLIT_HOST_H_
