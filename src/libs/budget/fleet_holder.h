// This host's side of the fleet's account: what it holds, has opened and may
// spend. Free of clocks and I/O.

#ifndef SRC_LIBS_BUDGET_FLEET_HOLDER_H_
#define SRC_LIBS_BUDGET_FLEET_HOLDER_H_

#include <cstdint>
#include <map>
#include <string>

#include "libs/budget/fleet_account.h"
#include "libs/budget/fleet_plan.h"
#include "libs/budget/host_ledger.h"

namespace turmericwinch {

// What the host's demand for one budget is.
struct HolderDemand {
  std::int64_t paid = 0;
  std::int64_t needed = 0;
  double rate = 0;
  double request_cost = 0;
};

// Drives a HostLedger whose grants are the opened tokens. Every write of the
// account is conditional on the version that was read, so rows are set and not
// merged. The order of calls: LoadAccount(), then PlanWrite() and, if it
// answers true, a write of planned_account(), then ConfirmWrite() or Doubt().
class FleetHolder {
 public:
  // `holder` names this incarnation; `boot_id` the boot of its machine, empty
  // if that is not known; `address` is where other hosts reach it, or empty.
  FleetHolder(std::string holder, std::string boot_id, std::string address);

  // Takes over the account as the store has it. Closes earlier incarnations in
  // the copy that is written next.
  void LoadAccount(FleetAccount account, BootTime now);
  // Prepares the next write by the wishes. True if it should be made now. What
  // the ledger gives back is effective at once, new grants once confirmed.
  bool PlanWrite(const std::map<std::string, HolderDemand>& wishes,
                 HostLedger& ledger,
                 BootTime now);
  // Prepares the last write: the host spends nothing any more beyond what the
  // ledger has reserved. False if there is nothing to close.
  bool PlanClose(const HostLedger& ledger);
  // The account to write.
  const FleetAccount& planned_account() const { return planned_; }
  // To be called right before the write is sent, at `now`.
  void BeginWrite(BootTime now);
  // The write took effect. Answers what the ledger is granted in all, by
  // budget.
  std::map<std::string, std::int64_t> ConfirmWrite();
  // Out of touch for kOpenAllDelay: answers, by budget, all that the host
  // holds. Empty before.
  std::map<std::string, std::int64_t> OpenAll(const HostLedger& ledger,
                                              BootTime now) const;
  // Whether the account was read without this holder after it had been written
  // with it: another process closed it, and may spend its tokens.
  bool is_closed() const { return is_closed_; }
  // The account as last read or confirmed.
  const FleetAccount& known_account() const { return known_; }
  // When the last write was issued that may have taken effect.
  BootTime last_issued() const { return last_issued_; }

 private:
  // Unopened tokens of a budget.
  std::int64_t Unopened(const std::string& budget,
                        const HolderCounters& ledger) const;

  std::string holder_;
  std::string boot_id_;
  std::string address_;
  FleetAccount known_;
  FleetAccount planned_;
  // Given back without having been opened, in all, by budget. Effective from
  // the plan on, whether or not its write arrives.
  std::map<std::string, std::int64_t> given_back_;
  // What the ledger is granted once the write is confirmed.
  std::map<std::string, std::int64_t> planned_grants_;
  BootTime last_issued_{0};
  bool is_written_ = false;
  bool is_closed_ = false;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_FLEET_HOLDER_H_
