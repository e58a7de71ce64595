// A host that checks every request at the platform.

#ifndef SRC_APPS_MEASURE_BUDGET_CHECKED_HOST_H_
#define SRC_APPS_MEASURE_BUDGET_CHECKED_HOST_H_

#include <deque>
#include <map>
#include <optional>

#include "apps/measure_budget/checked_bucket.h"
#include "apps/measure_budget/ledger_host.h"

namespace turmericwinch {

// One conditional write for each request. It reserves the bound, and carries
// what was settled since the last write of the bucket by this host.
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
  // A bucket as last read, and what waits for it.
  struct Bucket {
    bool known = false;
    bool exists = false;
    bool busy = false;
    // Read in this turn, so that a refusal may rest on it.
    bool fresh = false;
    std::uint64_t version = 0;
    int attempts = 0;
    CheckedBucket state;
    std::deque<Check> checks;
    // Reservations to end and their use.
    std::map<std::string, CheckedBudget> settled;
    // The write under way, or in doubt: its name, its content.
    std::string write;
    bool doubt = false;
    CheckedBucket planned;
    std::optional<Check> check;
    std::map<std::string, CheckedBudget> sent;
  };

  void Next(std::uint64_t number);
  void Read(std::uint64_t number, SimDuration pause);
  void TakeRead(std::uint64_t number, const PlatformAnswer& answer);
  void Write(std::uint64_t number);
  void TakeWrite(std::uint64_t number, const PlatformAnswer& answer);
  void Written(std::uint64_t number);
  // Takes what was sent back: it did not take effect.
  void Unsend(Bucket& bucket);
  void Fail(std::uint64_t number);
  bool PlanCheck(Bucket& bucket);
  void Decide(const Check& check, bool reserved);

  std::map<std::uint64_t, Bucket> buckets_;
  std::map<std::string, std::int64_t> open_;
  std::uint64_t next_write_ = 1;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_CHECKED_HOST_H_
