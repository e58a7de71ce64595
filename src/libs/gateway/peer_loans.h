// Borrows tokens from other hosts of the fleet, and lends them own ones.

#ifndef SRC_LIBS_GATEWAY_PEER_LOANS_H_
#define SRC_LIBS_GATEWAY_PEER_LOANS_H_

#include <functional>
#include <memory>

#include "libs/budget/loan_search.h"
#include "libs/gateway/gateway_context.h"

namespace turmericwinch {

// On the control thread. Needs no store: hosts that are cut off from it reach
// each other.
class PeerLoans {
 public:
  // Called when no host lends enough for the smallest request that waits.
  using FailHook = std::function<void(const FailedLoanSearch&)>;

  PeerLoans(GatewayContext& context, FailHook on_failed);
  ~PeerLoans();

  // Looks for a lender among the hosts of `account`; `wish` counts beyond what
  // this host has open. The requests that wait are woken once it is lent.
  void Ask(const GrantRequest& wish,
           const FleetAccount& account,
           const Reason& reason);
  // Returns what is borrowed and not in use, for a shutdown.
  void ReturnAll(const FleetAccount& account);

 private:
  class Private;
  std::shared_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_PEER_LOANS_H_
