// A host that checks every request at the platform.

#ifndef SRC_APPS_MEASURE_BUDGET_CHECKED_HOST_H_
#define SRC_APPS_MEASURE_BUDGET_CHECKED_HOST_H_

#include <deque>
#include <map>
#include <optional>

#include "apps/measure_budget/checked_bucket.h"
#include "apps/measure_budget/ledger_host.h"

namespace turmericwinch {

// Makes one conditional write for each request. The write reserves the bound of
// the request and contains the tokens settled since this host's last write of
// the bucket.
class CheckedHost : public LedgerHost {
 public:
  using LedgerHost::LedgerHost;

  void Request(const TraceRequest& request,
               std::function<void(bool)> decided) override;
  void Settle(const TraceRequest& request) override;
  TokensOf Held() const override;

 protected:
  void Draw() override {}
  void FlushCounters(std::function<void()> done) override;

 private:
  struct Check {
    TraceRequest request;
    std::function<void(bool)> decided;
    MonotonicTime deadline;
    bool refused = false;
  };
  // A bucket as last read, and the requests and settlements that wait for it.
  struct Bucket {
    bool has_copy = false;
    bool exists = false;
    bool busy = false;
    // Whether the bucket was read in this round; only then may a request be
    // refused.
    bool read_in_round = false;
    StoreVersion version;
    int attempts = 0;
    CheckedBucket state;
    std::deque<Check> checks;
    // Reservations to end, with the tokens used of them.
    std::map<std::string, CheckedBudget> settled;
    // The write in progress or with an unknown outcome: its id and content.
    std::string write_id;
    bool outcome_unknown = false;
    CheckedBucket planned;
    std::optional<Check> check;
    std::map<std::string, CheckedBudget> sent;
  };

  void StartNext(std::uint64_t number);
  void Read(std::uint64_t number, SimDuration pause);
  void HandleRead(std::uint64_t number, const PlatformAnswer& answer);
  void Write(std::uint64_t number);
  void HandleWrite(std::uint64_t number, const PlatformAnswer& answer);
  void OnWritten(std::uint64_t number);
  // Restores the sent settlements and the check, because the write did not take
  // effect.
  void RevertSent(Bucket& bucket);
  void Fail(std::uint64_t number);
  bool PlanCheck(Bucket& bucket);
  void Decide(const Check& check, bool reserved);

  std::map<std::uint64_t, Bucket> buckets_;
  std::map<std::string, std::int64_t> open_reservations_;
  std::uint64_t next_write_ = 1;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_CHECKED_HOST_H_
