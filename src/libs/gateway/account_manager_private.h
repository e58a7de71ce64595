// Data of AccountManager, internal to the library.

#ifndef SRC_LIBS_GATEWAY_ACCOUNT_MANAGER_PRIVATE_H_
#define SRC_LIBS_GATEWAY_ACCOUNT_MANAGER_PRIVATE_H_

#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "libs/budget/account_writes.h"
#include "libs/budget/fleet_holder.h"
#include "libs/gateway/account_manager.h"
#include "libs/gateway/budget_demands.h"
#include "libs/gateway/peer_loans.h"

namespace turmericwinch {

// Result of a write to the account.
enum class WriteOutcome { kDone, kConflict, kFailed };

class AccountManager::Private {
 public:
  using Clock = std::chrono::steady_clock;

  Private(GatewayContext& context, PlatformClient& platform)
      : context(context),
        platform(platform),
        timer(context.control),
        holder(context.ledger_holder(),
               context.boot.id,
               context.peers.address(),
               context.settings.failure_domain,
               static_cast<std::int64_t>(context.settings.link_mbps)),
        loans(
            context,
            [this](const FailedLoanSearch& it) { HandleFailedSearch(it); },
            [this](const LoanRequestItem& it) { return DrawForBorrower(it); }) {
    context.peers.AddHandler(
        [this](const PeerFrame& frame) { return HandleFrame(frame); });
  }

  // Reads the account. Returns false if the read failed.
  boost::asio::awaitable<bool> ReadAccount();
  boost::asio::awaitable<WriteOutcome> WriteAccount();
  // Requests and returns tokens until every budget is as planned or the store
  // fails.
  boost::asio::awaitable<bool> Sync();
  // Prepares the next write. Returns whether the account should be written now.
  bool PlanWrite();
  // Stops all spending after another process closed this holder.
  void StopSpending();
  void LogChangedRows();
  // Logs that the account is settled, or no longer, if it was not so before.
  void LogSettledChange();
  void SetReachable(bool now);
  // Opens all tokens that the host holds once the store has been unavailable
  // for long enough.
  void OpenAllTokens();
  // Records the costs of settled requests and removes their bills. No other
  // code of the gateway reads bills; only the counters have to persist.
  void ConsumeBills(HostLedger& ledger);
  // Asks another host to list this one in the account, unless something else
  // has to be written for it. Returns whether one was asked.
  bool RequestIntroduction();
  // Whether another host was asked, so that only the entry of this one would be
  // written now.
  bool WaitsForIntroduction() const;
  // Returns whether the frame was an introduction.
  bool HandleFrame(const PeerFrame& frame);
  // Records how many tokens the waiting requests need in each budget.
  void RecordWaiting(HostLedger& ledger);
  // Adds a request to `waiting`. Those that were added earlier still wait.
  void AddWaiting(GrantRequest request);
  // Adds the requests that wait now to `waiting`, and borrows for those that
  // another host of this failure domain should serve.
  void CollectWaiting();
  // What `request` needs beyond the tokens that this host has available.
  GrantRequest Missing(const GrantRequest& request);
  void HandleFailedSearch(const FailedLoanSearch& search);
  // Starts a sync that draws tokens for a borrower. Returns false if the store
  // is unavailable or if MayDrawForLoan() is false.
  bool DrawForBorrower(const LoanRequestItem& request);
  // Starts the next sync now.
  void SyncSoon();
  // Gets tokens for `waiting` from the account, or from any other host if the
  // account does not answer soon.
  void SyncForWaiting();
  void LogOutOfReach();
  // Asks other hosts for the tokens that waiting requests need. Denies the
  // requests with `reason` if no other host can be asked.
  void BorrowOrDeny(const Reason& reason);
  Reason UnreachableReason() const;
  // Why a request still waits after a sync.
  Reason UnmetReason() const;
  // Borrows for all requests that wait now.
  void BorrowForWaiting();
  // Borrows for waiting requests if a sync has not ended after kBorrowDelay.
  boost::asio::awaitable<void> BorrowAfterDelay();

  GatewayContext& context;
  PlatformClient& platform;
  boost::asio::steady_timer timer;
  const Clock::time_point start = Clock::now();
  Clock::time_point synced_at = start;
  std::minstd_rand random{std::random_device{}()};
  // Whether the last sync succeeded.
  bool reachable = true;
  // Whether a sync was requested since the last sync started.
  bool sync_requested = false;
  // Start time of the running sync.
  std::optional<Clock::time_point> sync_start;
  // Whether BorrowAfterDelay() is running.
  bool borrow_scheduled = false;
  // Whether the account in `holder` is up to date: no write failed since it was
  // last read.
  bool is_current = false;
  // Version of the account object; 0 until the object exists.
  StoreVersion version;
  FleetHolder holder;
  PeerLoans loans;
  AccountWrites writes;
  // Until when this host waits to be listed in the account by another one.
  std::optional<Clock::time_point> introduced_until;
  // Whether the account was settled when that was last logged.
  bool logged_settled = true;
  // This host's rows as last logged, by budget.
  std::map<std::string, FleetRow> logged_rows;
  BudgetDemands demands{start};
  // Tokens that waiting requests need, by budget.
  std::map<std::string, GrantRequest> waiting;
  // Budgets of which no host of this failure domain lent enough tokens, so that
  // the requests in `waiting` draw them from the account.
  std::set<std::string> drawn_directly;
  // When another host last requested tokens of a budget that this host had to
  // draw.
  std::map<std::string, Clock::time_point> lent_at;
  // When the account was last read, and the time until it is read again
  // although nothing has to be written.
  Clock::time_point read_at = start;
  std::chrono::milliseconds refresh_pause = kFirstAccountRefresh;
  // Reason of the last failed call to the store.
  Reason reason;
  AccountStats stats;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_ACCOUNT_MANAGER_PRIVATE_H_
