// A host that draws for itself, as BudgetManager does.

#ifndef SRC_APPS_MEASURE_BUDGET_GRANT_HOST_H_
#define SRC_APPS_MEASURE_BUDGET_GRANT_HOST_H_

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "apps/measure_budget/ledger_host.h"

namespace turmericwinch {

class GrantHost : public LedgerHost {
 public:
  using LedgerHost::LedgerHost;

 protected:
  void Draw() override;
  void FlushCounters(std::function<void()> done) override;

  // Adds to the wishes of the next turn of a budget's bucket.
  void AddToTurn(const GrantRequest& wish);
  // Turns of a bucket until no wish is left for it. The first of a flush may
  // read the objects anew.
  void SyncBucket(std::uint64_t bucket, bool flush, std::function<void()> done);
  // Set if this host lends.
  virtual Lender* lender() { return nullptr; }
  // Adds what borrowers wish for and, in a flush, what stocks lack. True if a
  // turn is needed for it.
  virtual bool AddLoanWishes(std::uint64_t, bool, GrantRequests&) {
    return false;
  }
  // A turn is over.
  virtual void TurnOver(std::uint64_t, const SyncResult&) {}

 private:
  BucketSync& SyncOf(std::uint64_t bucket);
  void Publish(const GrantRequests& wanted, const SyncResult& result);
  void Turn(std::uint64_t bucket, bool flush, std::function<void()> done);
  void Step(std::uint64_t bucket,
            const std::shared_ptr<GrantRequests>& wanted,
            std::function<void()> done);
  void SyncAll(std::shared_ptr<std::vector<std::uint64_t>> buckets,
               std::function<void()> done);

  std::map<std::uint64_t, std::unique_ptr<BucketSync>> syncs_;
  std::map<std::uint64_t, GrantRequests> wishes_;
  std::set<std::uint64_t> busy_;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_GRANT_HOST_H_
