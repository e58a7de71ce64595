// Draws grants from the platform and flushes bills and counters to it, on the
// control thread.

#ifndef SRC_LIBS_NODE_BUDGET_MANAGER_H_
#define SRC_LIBS_NODE_BUDGET_MANAGER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "libs/node/config_holder.h"
#include "libs/node/fleet_manager.h"
#include "libs/node/shared_ledger.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// Dependencies of the manager; all of them outlive it.
struct BudgetManagerParts {
  boost::asio::io_context* control = nullptr;
  PlatformClient* platform = nullptr;
  ConfigHolder* config = nullptr;
  SharedLedger* ledger = nullptr;
  std::string failure_domain;
  std::chrono::milliseconds flush_interval{0};
  // Number of live hosts in the own failure domain, at least 1.
  std::function<int()> hosts_in_domain;
  FleetManager* fleet = nullptr;
};

// Sends at most one write at a time to each bucket. After a write whose answer
// was lost, the manager reads the bucket: its counters tell whether the write
// took effect.
class BudgetManager {
 public:
  explicit BudgetManager(BudgetManagerParts parts);
  ~BudgetManager();

  // Flushes periodically until the io_context stops.
  boost::asio::awaitable<void> Run();

  // Draws tokens for the ledger's grant requests. Safe from any thread.
  void RequestDraw();

  // Handles a frame from a peer. False if the frame is not about budgets.
  bool HandleFrame(const PeerFrame& frame);
  // The tokens that are lent to other hosts.
  boost::json::object DumpLoans() const;

  // For shutdown: returns all unused tokens, writes all bills and records that
  // this holder has ended. Waits up to kLoanReturnTimeout for lent tokens;
  // borrowers return the rest later through their acknowledgements. To be
  // called again until it returns true: nothing is left to write.
  boost::asio::awaitable<bool> FlushAll();

 private:
  class Private;
  std::shared_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_BUDGET_MANAGER_H_
