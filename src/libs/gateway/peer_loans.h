// Borrows tokens from other hosts of the fleet and lends tokens to them.

#ifndef SRC_LIBS_GATEWAY_PEER_LOANS_H_
#define SRC_LIBS_GATEWAY_PEER_LOANS_H_

#include <functional>
#include <memory>

#include "libs/budget/loan_search.h"
#include "libs/gateway/gateway_context.h"

namespace turmericwinch {

// Used on the control thread. Makes no call to the store, so that hosts that
// are cut off from the store can still borrow from each other.
class PeerLoans {
 public:
  // Called when no host lends enough for the smallest waiting request.
  using FailureHandler = std::function<void(const FailedLoanSearch&)>;

  PeerLoans(GatewayContext& context, FailureHandler on_failure);
  ~PeerLoans();

  // Searches a lender among the hosts of `account`. `request` counts
  // tokens beyond those that this host has open. The waiting requests continue
  // once the tokens are lent; `reason` is reported if no host lends them.
  void RequestLoan(const GrantRequest& request,
                   const FleetAccount& account,
                   const Reason& reason);
  // Returns all borrowed tokens that are not in use. Called at shutdown.
  void ReturnAll(const FleetAccount& account);

 private:
  class Private;
  std::shared_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_PEER_LOANS_H_
