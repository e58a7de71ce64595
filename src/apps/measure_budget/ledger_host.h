// A host with a HostLedger. Requests wait for tokens as in the daemon.

#ifndef SRC_APPS_MEASURE_BUDGET_LEDGER_HOST_H_
#define SRC_APPS_MEASURE_BUDGET_LEDGER_HOST_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "apps/measure_budget/host_model.h"
#include "apps/measure_budget/host_parts.h"
#include "libs/budget/bill_flush.h"

namespace turmericwinch {

class LedgerHost : public HostModel,
                   public std::enable_shared_from_this<LedgerHost> {
 public:
  explicit LedgerHost(HostParts parts);

  void Request(const TraceRequest& request,
               std::function<void(bool)> decided) override;
  void Settle(const TraceRequest& request) override;
  void Flush(bool all, std::function<void()> done) override;
  void Terminate() override { terminated_ = true; }
  TokensOf Held() const override;
  TokensOf Unbilled() const override;
  std::size_t MemoryBytes() const override;

 protected:
  // Called when the ledger has grant requests.
  virtual void Draw() = 0;
  // Gives back idle tokens, or all tokens that are not in use.
  virtual void GiveBack(bool all);
  // Writes the counters once the bills are written.
  virtual void FlushCounters(std::function<void()> done) = 0;

  // Applies a grant, or refuses the requests that lack at least `missing`
  // tokens.
  void Grant(const std::string& budget, std::int64_t granted_total);
  void Deny(const std::string& budget, std::int64_t missing);
  // Retries the requests that wait for a budget.
  void Wake(const std::string& budget);
  // Makes a call. `done` is not called once the host is terminated.
  void Call(PlatformCall call, PlatformModel::Done done);
  // Returns `action` wrapped so that it does nothing once the host is
  // terminated.
  std::function<void()> IfRunning(std::function<void()> action);
  const std::string& NameOf(const TraceRequest& request) const;
  // Tokens of a budget that can be reserved now.
  virtual std::int64_t Available(const std::string& budget) const;

  HostParts parts_;
  HostLedger ledger_;

 private:
  struct Waiter {
    TraceRequest request;
    MonotonicTime deadline;
    std::function<void(bool)> decided;
    bool done = false;
  };
  struct Denial {
    std::int64_t min_bound = 0;
    MonotonicTime until;
  };

  void TryReserve(const std::shared_ptr<Waiter>& waiter);
  void Refuse(const std::shared_ptr<Waiter>& waiter);
  void Wait(const std::shared_ptr<Waiter>& waiter);
  void OnBillsFlushed(std::function<void()> done);
  void FlushBills(std::shared_ptr<BillFlush> flush, std::function<void()> done);

  bool terminated_ = false;
  // Whether all tokens are given back and counters written without delay.
  bool closing_ = false;
  MonotonicTime counters_due_;
  bool draw_requested_ = false;
  std::unordered_map<std::uint64_t, std::uint64_t> reservations_;
  std::map<std::string, std::vector<std::shared_ptr<Waiter>>> waiters_;
  std::map<std::string, Denial> denials_;
  // Size of each bucket object of which the host keeps a copy.
  std::map<std::string, std::size_t> copied_object_bytes_;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_LEDGER_HOST_H_
