// Borrows tokens from, and lends them to, the hosts of the own failure domain.

#ifndef SRC_LIBS_NODE_LOAN_KEEPER_H_
#define SRC_LIBS_NODE_LOAN_KEEPER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "libs/budget/bucket_sync.h"
#include "libs/budget/lender.h"
#include "libs/node/fleet_keeper.h"
#include "libs/node/shared_ledger.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// What the keeper works with; all outlive it. `draw` draws on the platform for
// the wishes, `draw_for_borrowers` for what the lender wants of a bucket.
struct LoanKeeperParts {
  boost::asio::io_context* control = nullptr;
  PlatformClient* platform = nullptr;
  SharedLedger* ledger = nullptr;
  FleetKeeper* fleet = nullptr;
  std::string holder;
  std::string failure_domain;
  std::function<int()> hosts_in_domain;
  std::function<int(const std::string&)> reserve_percent_of;
  std::function<void(std::vector<GrantRequest>)> draw;
  std::function<void(std::uint64_t)> draw_for_borrowers;
};

// Each bucket has one host of the domain that answers for it, by the fleet's
// duties. Who that is may be wrong or differ between hosts: safety rests on
// grants and totals alone. A host without peers does everything of its own.
// Used from the control thread.
class LoanKeeper {
 public:
  explicit LoanKeeper(LoanKeeperParts parts);
  ~LoanKeeper();

  // Looks for ended holders until the io_context stops.
  boost::asio::awaitable<void> Run();

  bool enabled() const;
  // Null if this host has no peers.
  Lender* lender();
  // Asks other hosts for the wishes; answers those to draw for directly.
  std::vector<GrantRequest> Ask(std::vector<GrantRequest> wishes);
  // Takes a frame; false if it is not about budgets.
  bool Receive(const PeerFrame& frame);
  // Adds what borrowers want of `bucket` to `wishes`. True if a turn is needed.
  bool AddWishes(std::uint64_t bucket, GrantRequests& wishes);
  // Answers borrowers after a turn of `bucket`.
  void TurnOver(std::uint64_t bucket, const SyncResult& result);
  // Lends no more, for a shutdown.
  void Stop();
  // Reports to lenders, and returns what is left of those that leave.
  void Report();
  // Whether lenders know all totals.
  bool IsReported();
  // One look for ended holders; `ends` writes this host's own end, after which
  // it must not reserve. True if the platform took it.
  boost::asio::awaitable<bool> LookForEnds(bool ends);

  // What is lent and to whom, and the silent lenders.
  boost::json::object Dump() const;

 private:
  class Private;
  std::shared_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_LOAN_KEEPER_H_
