// A host that borrows from the hosts that lend the tokens of its budgets'
// buckets.

#ifndef SRC_APPS_MEASURE_BUDGET_LENDING_HOST_H_
#define SRC_APPS_MEASURE_BUDGET_LENDING_HOST_H_

#include <string>
#include <vector>

#include "apps/measure_budget/grant_host.h"
#include "apps/measure_budget/peer_model.h"
#include "libs/budget/borrower.h"
#include "libs/budget/lender.h"

namespace turmericwinch {

class LendingHost : public GrantHost {
 public:
  explicit LendingHost(HostParts parts);

  void HandleMessage(const PeerMessage& message) override;
  TokensOf Held() const override;
  TokensOf LentOutside(const std::set<std::string>& live) const override;

 protected:
  void Draw() override;
  void GiveBack(bool all) override;
  void FlushCounters(std::function<void()> done) override;
  bool AddLoanRequests(std::uint64_t bucket,
                       bool flush,
                       GrantRequests& requests) override;
  void OnRoundEnd(std::uint64_t bucket, const SyncResult& result) override;
  Lender* lender() override { return &lender_; }
  std::int64_t Available(const std::string& budget) const override;

 private:
  LenderParts MakeLenderParts() const;
  bool IsLenderFor(std::uint64_t bucket) const;
  // Draws from the platform instead of borrowing.
  void DrawDirectly(const GrantRequests& requests);
  // Sends the due loan requests, and schedules a retry while any is pending.
  void SendLoanRequests();
  void RetryLoanRequests();
  void Send(const std::vector<OutgoingLoanResponse>& responses);
  void HandleLoanRequest(const LoanRequest& request);
  void HandleLoanResponse(const LoanResponse& response);

  Lender lender_;
  Borrower borrower_;
  // Whether all tokens are given back, so that no stock is kept.
  bool closing_ = false;
  bool retry_scheduled_ = false;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_LENDING_HOST_H_
