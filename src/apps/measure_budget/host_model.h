// An entry host that follows one policy.

#ifndef SRC_APPS_MEASURE_BUDGET_HOST_MODEL_H_
#define SRC_APPS_MEASURE_BUDGET_HOST_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "apps/measure_budget/peer_model.h"
#include "apps/measure_budget/trace.h"

namespace turmericwinch {

// Tokens by budget.
using TokensOf = std::map<std::string, std::int64_t>;

class HostModel {
 public:
  virtual ~HostModel() = default;

  // Calls `decided` once, now or later, with whether tokens were reserved for
  // the request.
  virtual void Request(const TraceRequest& request,
                       std::function<void(bool)> decided) = 0;
  // Ends a request for which tokens were reserved.
  virtual void Settle(const TraceRequest& request) = 0;
  // Handles a message from another host.
  virtual void HandleMessage(const PeerMessage&) {}
  // Writes pending bills and counters, then calls `done`. If `all`, also gives
  // back all tokens that are not in use.
  virtual void Flush(bool all, std::function<void()> done) = 0;
  // Ends the process; it takes no further action.
  virtual void Terminate() = 0;
  // Tokens that this host may spend or has reserved.
  virtual TokensOf Held() const = 0;
  // Tokens lent to holders that are not among `live`.
  virtual TokensOf LentOutside(const std::set<std::string>&) const {
    return {};
  }
  // Tokens settled whose bills are not confirmed.
  virtual TokensOf Unbilled() const = 0;
  // Estimated memory that the budgets take.
  virtual std::size_t MemoryBytes() const = 0;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_HOST_MODEL_H_
