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

namespace turmericwinch {

// Safe from any thread. A request that finds too few granted tokens waits
// until the control thread has drawn more or found that there are none.
class SharedLedger {
 public:
  explicit SharedLedger(std::string holder);
  ~SharedLedger();

  // `on_wish` is called, from a traffic thread, when a request starts to wait.
  void SetWishHook(std::function<void()> on_wish);

  // Reserves `tokens` of `budget`, waiting for a grant if need be. Reasons:
  // kBudgetExhausted, kBudgetUnreachable, kOverloaded.
  boost::asio::awaitable<std::optional<std::uint64_t>> Reserve(
      std::string budget,
      std::int64_t tokens,
      std::chrono::milliseconds most_wait,
      Reason* reason);

  // Settles or releases a reservation once; see HostLedger.
  std::optional<Bill> Settle(std::uint64_t reservation, Bill bill);
  void Release(std::uint64_t reservation);

  // For the control thread: takes a new total over and wakes who waits.
  void Grant(const std::string& budget, std::int64_t granted_total);
  // For the control thread: wakes who waits, as tokens were lent.
  void Lent(const std::string& budget);
  // For the control thread: while no grants can be had, requests that find too
  // few tokens are refused at once. Reachable at the start.
  void SetReachable(bool reachable);
  // For the control thread: tells who waits that there is no grant of
  // `missing` tokens or more beyond what is granted already.
  void Deny(const std::string& budget,
            std::int64_t missing,
            const Reason& reason);

  // Runs `action` with the ledger locked.
  void With(const std::function<void(HostLedger&)>& action);

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_SHARED_LEDGER_H_
