// Borrows tokens from other hosts of the fleet and lends tokens to them.

#ifndef SRC_LIBS_GATEWAY_PEER_LOANS_H_
#define SRC_LIBS_GATEWAY_PEER_LOANS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libs/budget/loan_search.h"
#include "libs/gateway/gateway_context.h"

namespace turmericwinch {

// Used on the control thread. Makes no call to the store, so that hosts that
// are cut off from the store can still borrow from each other.
class PeerLoans {
 public:
  // Called when no host lends enough for the smallest waiting request.
  using FailureHandler = std::function<void(const FailedLoanSearch&)>;
  // Called when another host requests more tokens of a budget than this host
  // has open. Returns whether this host will draw them; AnswerDeferred() is
  // then called.
  using DrawHandler = std::function<bool(const LoanRequestItem&)>;

  PeerLoans(GatewayContext& context,
            FailureHandler on_failure,
            DrawHandler on_short);
  ~PeerLoans();

  // Asks `lenders` one after another. `request` counts tokens beyond those that
  // this host has open. The waiting requests continue once the tokens are lent;
  // `reason` is reported if no host lends them.
  void RequestLoan(const GrantRequest& request,
                   LoanScope scope,
                   std::vector<LenderEndpoint> lenders,
                   const Reason& reason);
  // Tokens of the requests for which other hosts wait, by budget.
  std::map<std::string, std::vector<std::int64_t>> DeferredSizes() const;
  // Answers the requests that waited for a draw. If `draws_again`, requests for
  // which too few tokens were drawn wait for the next draw, but only once.
  void AnswerDeferred(bool draws_again);
  // Returns all borrowed tokens that are not in use. Called at shutdown.
  void ReturnAll(const FleetAccount& account);

 private:
  class Private;
  std::shared_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_PEER_LOANS_H_
