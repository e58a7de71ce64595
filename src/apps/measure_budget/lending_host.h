// A host that borrows from the hosts that answer for its budgets' buckets.

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

  void TakeMessage(const PeerMessage& message) override;
  TokensOf Held() const override;
  TokensOf LentBeside(const std::set<std::string>& live) const override;

 protected:
  void Draw() override;
  void GiveBack(bool all) override;
  void FlushCounters(std::function<void()> done) override;
  bool AddLoanWishes(std::uint64_t bucket,
                     bool flush,
                     GrantRequests& wishes) override;
  void TurnOver(std::uint64_t bucket, const SyncResult& result) override;
  Lender* lender() override { return &lender_; }
  std::int64_t Available(const std::string& budget) const override;

 private:
  LenderParts MakeLenderParts() const;
  bool Answers(std::uint64_t bucket) const;
  // Draws for itself.
  void DrawDirectly(const GrantRequests& wishes);
  // Sends the asks that are due, and looks again while one is open.
  void Ask();
  void AskAgain();
  void Send(const std::vector<OutgoingLoanResponse>& answers);
  void TakeAsk(const LoanRequest& ask);
  void TakeAnswer(const LoanResponse& answer);

  Lender lender_;
  Borrower borrower_;
  // Gives all back, so that no stock is kept.
  bool closing_ = false;
  bool asking_ = false;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_LENDING_HOST_H_
