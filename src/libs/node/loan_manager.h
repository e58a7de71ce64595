// Lends tokens to other hosts of the own failure domain and borrows from them.

#ifndef SRC_LIBS_NODE_LOAN_MANAGER_H_
#define SRC_LIBS_NODE_LOAN_MANAGER_H_

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
#include "libs/node/fleet_manager.h"
#include "libs/node/shared_ledger.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// Dependencies of the manager; all of them outlive it. `draw` draws tokens from
// the platform for the given grant requests, `draw_for_borrowers` for the
// lender's pending requests on a bucket.
struct LoanManagerParts {
  boost::asio::io_context* control = nullptr;
  PlatformClient* platform = nullptr;
  SharedLedger* ledger = nullptr;
  FleetManager* fleet = nullptr;
  std::string holder;
  std::string failure_domain;
  std::function<int()> hosts_in_domain;
  std::function<int(const std::string&)> reserve_percent_of;
  std::function<void(std::vector<GrantRequest>)> draw;
  std::function<void(std::uint64_t)> draw_for_borrowers;
};

// The fleet's duty assignment gives each bucket one lender in the domain. Hosts
// may be wrong or disagree about which host that is: safety rests on grants and
// totals alone. A host without peers draws everything from the platform itself.
// Used from the control thread.
class LoanManager {
 public:
  explicit LoanManager(LoanManagerParts parts);
  ~LoanManager();

  // Closes ended holders periodically until the io_context stops.
  boost::asio::awaitable<void> Run();

  bool enabled() const;
  // Null if this host has no peers.
  Lender* lender();
  // Sends loan requests to the lenders of the requested budgets. Returns the
  // requests for which this host has to draw from the platform itself.
  std::vector<GrantRequest> RequestLoans(std::vector<GrantRequest> requests);
  // Handles a frame from a peer. False if the frame is not about budgets.
  bool HandleFrame(const PeerFrame& frame);
  // Adds the requests of borrowers for `bucket` to `requests`. True if a sync
  // round is needed.
  bool AddBorrowerRequests(std::uint64_t bucket, GrantRequests& requests);
  // Answers borrowers after a sync round of `bucket`.
  void FinishRound(std::uint64_t bucket, const SyncResult& result);
  // Stops lending, for shutdown.
  void StopLending();
  // Sends reports to lenders, and returns unused tokens of lenders that left.
  void SendReports();
  // Whether the lenders have acknowledged all totals of this host.
  bool AllReportsAcknowledged();
  // Closes ended holders once. With `close_own_holder`, also records that this
  // host's holder has ended, which must not reserve after that. True if the
  // platform confirmed the writes.
  boost::asio::awaitable<bool> RunClosingRound(bool close_own_holder);

  // The lent tokens by budget and borrower.
  boost::json::object Dump() const;

 private:
  class Private;
  std::shared_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_LOAN_MANAGER_H_
