// A host that has a fixed share of every budget and never draws more.

#ifndef SRC_APPS_MEASURE_BUDGET_SPLIT_HOST_H_
#define SRC_APPS_MEASURE_BUDGET_SPLIT_HOST_H_

#include "apps/measure_budget/ledger_host.h"

namespace turmericwinch {

// A host that replaces a crashed one has no share, because it is unknown how
// much of the share the crashed host spent.
class SplitHost : public LedgerHost {
 public:
  SplitHost(HostParts parts, bool replacement);

 protected:
  void Draw() override;
  // No other host could use the tokens.
  void GiveBack(bool) override {}
  void FlushCounters(std::function<void()> done) override { done(); }

 private:
  bool replacement_;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_SPLIT_HOST_H_
