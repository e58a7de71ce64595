// One entry host under a policy.

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

  // Calls `decided` once, now or later: whether the request was reserved.
  virtual void Request(const TraceRequest& request,
                       std::function<void(bool)> decided) = 0;
  // Ends a request that was reserved.
  virtual void Settle(const TraceRequest& request) = 0;
  // Takes a message of another host.
  virtual void TakeMessage(const PeerMessage&) {}
  // Writes what waits; `all` gives back all that is not in use. Calls `done`.
  virtual void Flush(bool all, std::function<void()> done) = 0;
  // Ends the process: nothing happens any more.
  virtual void Die() = 0;
  // Tokens that this host may spend or has reserved.
  virtual TokensOf Held() const = 0;
  // Tokens lent to holders that are not among `live`.
  virtual TokensOf LentBeside(const std::set<std::string>&) const { return {}; }
  // Tokens settled of which the bill is not confirmed.
  virtual TokensOf Unbilled() const = 0;
  // Estimated memory for budgets.
  virtual std::size_t MemoryBytes() const = 0;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_HOST_MODEL_H_
