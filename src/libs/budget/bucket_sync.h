// Exchanges a host's grants and counters for the budgets of one bucket with the
// platform. A state machine without I/O, clocks or threads: the daemon and the
// tests make the calls.

#ifndef SRC_LIBS_BUDGET_BUCKET_SYNC_H_
#define SRC_LIBS_BUDGET_BUCKET_SYNC_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/reason.h"
#include "libs/budget/host_ledger.h"
#include "libs/budget/platform_call.h"

namespace turmericwinch {

class Lender;

// Configured values of a budget. `reserve_percent` is 1..100.
struct BudgetSetting {
  std::int64_t tokens = 0;
  std::uint64_t generation = 0;
  int reserve_percent = 50;
};

struct BucketSyncParts {
  std::uint64_t bucket = 0;
  std::string domain;
  std::string holder;
  std::function<std::optional<BudgetSetting>(const std::string&)> setting_of;
  // Number of live hosts in this host's failure domain, at least 1.
  std::function<int()> hosts_in_domain;
  // Set if this host lends to others; must outlive the sync.
  Lender* lender = nullptr;
};

// Grant requests by budget.
using GrantRequests = std::map<std::string, GrantRequest>;

// Result of a round. `grants` are the budgets whose grants rose in the ledger.
// `short_of_tokens` are the requests that the free tokens of all domains cannot
// meet. `complete` is false if not all domains could be read.
struct SyncResult {
  Reason reason;
  std::vector<std::string> grants;
  GrantRequests short_of_tokens;
  bool complete = true;
};

// A round is BeginRound, then NextCall and HandleAnswer until NextCall returns
// nothing. Accounts are written before shards, so every grant is backed by a
// stored allocation. After a write whose answer was lost the objects are read
// again; their counters show whether the write took effect.
class BucketSync {
 public:
  explicit BucketSync(BucketSyncParts parts);
  ~BucketSync();

  // Starts a round. `closing` closes the holder in this bucket once no tokens
  // are reserved or lent; all bills must be confirmed by then. `refresh` reads
  // the objects first, to see how much other hosts took.
  void BeginRound(GrantRequests requests, bool closing, bool refresh = false);
  // Returns the next call, or nothing once the round is over.
  std::optional<PlatformCall> NextCall(HostLedger& ledger);
  // Handles the answer to the last call.
  void HandleAnswer(const PlatformAnswer& answer, HostLedger& ledger);
  const SyncResult& result() const;
  // Whether a round is needed even if the ledger has nothing to write: the
  // outcome of a write is unknown, or a return is not in the account yet.
  bool NeedsRound() const;
  // Whether a budget of the bucket was nearly scarce when last read; a flush
  // should then read again how much other hosts took.
  bool IsNearlyScarce() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_BUCKET_SYNC_H_
