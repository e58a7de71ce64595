// The host's ledger, shared by the traffic threads and the control thread.

#ifndef SRC_LIBS_NODE_SHARED_LEDGER_H_
#define SRC_LIBS_NODE_SHARED_LEDGER_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "libs/base/reason.h"
#include "libs/budget/host_ledger.h"
#include "libs/http/http_cancel.h"

namespace turmericwinch {

// Safe from any thread. A request that finds too few granted tokens waits until
// the control thread has drawn more or found that no more can be drawn.
class SharedLedger {
 public:
  explicit SharedLedger(std::string holder);
  ~SharedLedger();

  // `on_grant_request` is called from a traffic thread when a request starts to
  // wait for a grant.
  void SetGrantRequestHandler(std::function<void()> on_grant_request);

  // Reserves `tokens` of `budget`, and waits for a grant if needed. Reasons:
  // kBudgetExhausted, kBudgetUnreachable, kOverloaded, and kCallerGone as soon
  // as `cancel`, which may be null, is cancelled during the wait.
  boost::asio::awaitable<std::optional<std::uint64_t>> Reserve(
      std::string budget,
      std::int64_t tokens,
      std::chrono::milliseconds max_wait,
      Reason* reason,
      HttpCancel* cancel = nullptr);

  // Settles or releases a reservation, at most once; see HostLedger. Wakes
  // waiting requests that the tokens left over can serve.
  std::optional<Bill> Settle(std::uint64_t reservation, Bill bill);
  void Release(std::uint64_t reservation);

  // For the control thread: applies a new total and wakes the waiting requests.
  void Grant(const std::string& budget, std::int64_t granted_total);
  // For the control thread: wakes the waiting requests after a lender has lent
  // tokens to this host.
  void NotifyLoan(const std::string& budget);
  // For the control thread: sets whether grants can be drawn, initially true.
  // While they cannot, requests that find too few tokens are refused at once.
  void SetReachable(bool reachable);
  // For the control thread: refuses the waiting requests that would need a
  // further grant of `missing` tokens or more, and new ones for
  // kDenialCacheTime.
  void Deny(const std::string& budget,
            std::int64_t missing,
            const Reason& reason);

  // Runs `action` while the ledger is locked. Wakes waiting requests that can
  // be served afterwards.
  void With(const std::function<void(HostLedger&)>& action);

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_SHARED_LEDGER_H_
