// A host that draws its own grants, as the daemon does without loans.

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

  // Adds a grant request to the next sync round of the budget's bucket.
  void AddToRound(const GrantRequest& request);
  // Runs sync rounds of a bucket until no grant request is left for it. The
  // first round of a flush may read the objects again.
  void SyncBucket(std::uint64_t bucket, bool flush, std::function<void()> done);
  // Null if this host does not lend.
  virtual Lender* lender() { return nullptr; }
  // Adds the grant requests for borrowers and, in a flush, for the stock.
  // Returns whether they need a round.
  virtual bool AddLoanRequests(std::uint64_t, bool, GrantRequests&) {
    return false;
  }
  // Called at the end of each round.
  virtual void OnRoundEnd(std::uint64_t, const SyncResult&) {}

 private:
  BucketSync& SyncOf(std::uint64_t bucket);
  void PublishResult(const GrantRequests& requested, const SyncResult& result);
  void RunRound(std::uint64_t bucket, bool flush, std::function<void()> done);
  void Step(std::uint64_t bucket,
            const std::shared_ptr<GrantRequests>& requested,
            std::function<void()> done);
  void SyncAll(std::shared_ptr<std::vector<std::uint64_t>> buckets,
               std::function<void()> done);

  std::map<std::uint64_t, std::unique_ptr<BucketSync>> syncs_;
  std::map<std::uint64_t, GrantRequests> requests_;
  std::set<std::uint64_t> busy_;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_GRANT_HOST_H_
