// This host's part of the fleet account: the tokens that it holds, has opened
// and may spend. Free of clocks and I/O.

#ifndef SRC_LIBS_BUDGET_FLEET_HOLDER_H_
#define SRC_LIBS_BUDGET_FLEET_HOLDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/budget/fleet_account.h"
#include "libs/budget/fleet_plan.h"
#include "libs/budget/host_ledger.h"
#include "libs/budget/stock_hosts.h"

namespace turmericwinch {

// This host's demand for one budget.
struct HolderDemand {
  // Tokens paid for the whole budget.
  std::int64_t paid = 0;
  // Tokens of each request, of this host and of borrowers, that waits for a
  // grant.
  std::vector<std::int64_t> waiting;
  // Tokens per second.
  double rate = 0;
  // Usual cost of a request; 0 before the first one.
  double request_cost = 0;
  // Whether other hosts borrow from this one although another host keeps the
  // stock of the domain.
  bool lends = false;
};

// Drives a HostLedger whose grants are the opened tokens. Every write of the
// account is conditional on the version that was read, so rows are replaced
// and never merged. Order of calls: LoadAccount(), PlanWrite(), and if that
// returns true BeginWrite(), the write of planned_account(), and ConfirmWrite()
// once the write took effect. After a conflict, or if the outcome of the write
// is unknown, start again with LoadAccount().
class FleetHolder {
 public:
  // `holder` names this incarnation, and `boot_id` the current boot of the host
  // (empty if unknown). `address` is where other hosts reach it, or empty.
  // `domain` is its failure domain, or empty, and `link_mbps` the bandwidth of
  // its network link, 0 if unknown.
  FleetHolder(std::string holder,
              std::string boot_id,
              std::string address,
              std::string domain = "",
              std::int64_t link_mbps = 0);

  // Sets the account as read from the store, and closes the earlier
  // incarnations of this host in the copy that is written next. `era` is that
  // of the store. If the account is of an earlier era, adds what this host
  // remembers of it.
  void LoadAccount(FleetAccount account, BootTime now, std::uint64_t era = 0);
  // Era of the store in which the account was last read.
  std::uint64_t era() const { return era_; }
  // Whether tokens may be drawn: the account holds what the hosts remembered
  // when the store came back from an old copy.
  bool is_settled() const { return !unsettled_since_; }
  // Prepares the next write according to `demands`, by budget. Returns whether
  // the write should be made now. Tokens that the ledger gives back leave it at
  // once; new grants reach it through ConfirmWrite().
  bool PlanWrite(const std::map<std::string, HolderDemand>& demands,
                 HostLedger& ledger,
                 BootTime now);
  // Lists `holder`, which holds no tokens yet, in the next write, and closes
  // `ended`, earlier incarnations of its host.
  void Introduce(const std::string& holder,
                 const FleetHeartbeat& heartbeat,
                 const std::vector<std::string>& ended = {});
  // Whether the next write lists other holders.
  bool has_introductions() const { return !introductions_.empty(); }
  // This holder's entry for another host's write.
  FleetHeartbeat OwnHeartbeat(BootTime now) const;
  // Whether the account lists this holder.
  bool is_registered() const { return known_.heartbeats.contains(holder_); }
  // Whether another host may list this holder in the account.
  bool MayBeIntroduced() const { return !is_registered(); }
  // Earlier incarnations of this host in the account as last read.
  const std::vector<std::string>& earlier_incarnations() const {
    return earlier_incarnations_;
  }
  // Prepares the last write, after which the host spends only what the ledger
  // has already reserved. Returns false if there is nothing to close.
  bool PlanClose(const HostLedger& ledger);
  // The account to write next.
  const FleetAccount& planned_account() const { return planned_; }
  // Records that the write is sent at `now`. Call this right before sending.
  void BeginWrite(BootTime now);
  // Records that the write took effect. Returns the total granted to the
  // ledger, by budget.
  std::map<std::string, std::int64_t> ConfirmWrite();
  // Returns the total to grant to the ledger, by budget, so that it may spend
  // all tokens that the host holds. Empty until the last write is older than
  // kOpenAllDelay.
  std::map<std::string, std::int64_t> OpenAll(const HostLedger& ledger,
                                              BootTime now) const;
  // Whether this host should draw `tokens` of `budget` for a borrower. False if
  // every host of the fleet draws for itself, or if the account has too few
  // tokens left, so that the borrower learns at once that it gets none here.
  bool MayDrawForLoan(const std::string& budget,
                      std::int64_t paid,
                      std::int64_t tokens) const;
  // Whether an account was read without this holder after a write with this
  // holder took effect. Another process has then closed the holder and may
  // spend its tokens.
  bool is_closed() const { return is_closed_; }
  // The account as last read or confirmed.
  const FleetAccount& known_account() const { return known_; }
  // The hosts that keep stocks, according to the account as last read.
  const StockHosts& stock_hosts() const { return stock_hosts_; }
  // When the last write that may have taken effect was issued.
  BootTime last_issued() const { return last_issued_; }

 private:
  // A holder that the next write lists, and those that it closes.
  struct Introduction {
    FleetHeartbeat heartbeat;
    std::vector<std::string> ended;
  };

  // Keeps the known account if the account that is read now, of `account_era`
  // in a store of `era`, may lack what it holds.
  void RememberKnown(std::uint64_t account_era, std::uint64_t era);
  // Measures the rate at which holders draw tokens.
  void MeasureDraws(BootTime now);
  // Sets the era of planned_. Returns whether the account has to be written for
  // it.
  bool PlanEra(BootTime now);
  // Removes the introductions of holders that the known account lists.
  void DropListedIntroductions();
  // Tokens of `budget` that this host holds and has not opened.
  std::int64_t Unopened(const std::string& budget,
                        const HolderCounters& ledger) const;

  std::string holder_;
  std::string boot_id_;
  std::string address_;
  std::string domain_;
  std::int64_t link_mbps_;
  StockHosts stock_hosts_;
  FleetAccount known_;
  FleetAccount planned_;
  // Era of the store.
  std::uint64_t era_ = 0;
  // The account as this host knew it in earlier eras, until a write in the
  // store's era has added it.
  std::optional<FleetAccount> remembered_;
  // The account at the start of the current measurement, its time, and the
  // highest rates measured, by budget.
  std::optional<FleetAccount> draws_base_;
  BootTime draws_base_time_{0};
  std::map<std::string, std::int64_t> peak_rates_;
  // Holders that the next write lists.
  std::map<std::string, Introduction> introductions_;
  std::vector<std::string> earlier_incarnations_;
  // When this host first read an account that is not settled.
  std::optional<BootTime> unsettled_since_;
  // Total of the tokens given back unopened, by budget. Counts from PlanWrite()
  // on, whether or not the write reaches the store.
  std::map<std::string, std::int64_t> given_back_;
  // Totals granted to the ledger once the write is confirmed.
  std::map<std::string, std::int64_t> planned_grants_;
  BootTime last_issued_{0};
  bool is_written_ = false;
  bool is_closed_ = false;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_FLEET_HOLDER_H_
