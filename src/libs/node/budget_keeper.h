// Draws grants and flushes bills and counters, on the control thread.

#ifndef SRC_LIBS_NODE_BUDGET_KEEPER_H_
#define SRC_LIBS_NODE_BUDGET_KEEPER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "libs/node/config_holder.h"
#include "libs/node/fleet_keeper.h"
#include "libs/node/shared_ledger.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// What the keeper works with; all outlive it.
struct BudgetKeeperParts {
  boost::asio::io_context* control = nullptr;
  PlatformClient* platform = nullptr;
  ConfigHolder* config = nullptr;
  SharedLedger* ledger = nullptr;
  std::string failure_domain;
  std::chrono::milliseconds flush_interval{0};
  // Live hosts of the own failure domain, at least 1.
  std::function<int()> hosts_in_domain;
  FleetKeeper* fleet = nullptr;
};

// One write at a time goes to each bucket. A write whose answer was lost is
// followed by a read: the counters there tell whether it took effect.
class BudgetKeeper {
 public:
  explicit BudgetKeeper(BudgetKeeperParts parts);
  ~BudgetKeeper();

  // Flushes at intervals until the io_context stops.
  boost::asio::awaitable<void> Run();

  // Draws for the ledger's wishes. Safe from any thread.
  void RequestDraw();

  // Takes a frame of a peer; false if it is not about budgets.
  bool Receive(const PeerFrame& frame);
  // What is lent to other hosts.
  boost::json::object DumpLoans() const;

  // Gives all unused tokens back, writes all bills and the end of this holder,
  // for shutdown. Waits a bounded time for what is lent; the rest comes back
  // through the borrowers' acknowledgements. True if nothing is left to write.
  boost::asio::awaitable<bool> FlushAll();

 private:
  class Private;
  std::shared_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_BUDGET_KEEPER_H_
