// Decides what one host reads and writes to draw on, and account for, the
// budgets of one bucket. Free of I/O, clocks and threads: the daemon and the
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

// What the configuration says of a budget. `reserve_percent` is 1..100.
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
  // Live hosts of the own failure domain, at least 1.
  std::function<int()> hosts_in_domain;
  // Set if this host lends to others; outlives the sync.
  Lender* lender = nullptr;
};

// Wishes by budget.
using GrantRequests = std::map<std::string, GrantRequest>;

// How a turn ended. `grants` are the budgets with new totals in the ledger,
// `short_of_tokens` those that have too few left anywhere, or in the domains
// that could be read if not `complete`.
struct SyncResult {
  Reason reason;
  std::vector<std::string> grants;
  GrantRequests short_of_tokens;
  bool complete = true;
};

// One turn is Begin, then Next and Take until Next answers nothing. Accounts
// are written before shards, so a grant is always backed by an allocation that
// the platform has. A write whose answer was lost is settled by reading: the
// counters tell whether it took effect.
class BucketSync {
 public:
  explicit BucketSync(BucketSyncParts parts);
  ~BucketSync();

  // Starts a turn. `closing` ends the holder in this bucket as soon as nothing
  // is reserved or lent; all bills must be confirmed then. `refresh` reads the
  // objects first, to see how much others took.
  void BeginRound(GrantRequests wishes, bool closing, bool refresh = false);
  // The next call, or nothing if the turn is over.
  std::optional<PlatformCall> NextCall(HostLedger& ledger);
  // Takes the answer to the last call.
  void HandleAnswer(const PlatformAnswer& answer, HostLedger& ledger);
  const SyncResult& result() const;
  // Whether a turn is needed though the ledger has nothing to write: a write
  // may have taken effect, or a return is not in the account yet.
  bool NeedsRound() const;
  // Whether a budget of the bucket was nearly scarce when it was last read,
  // so that a flush should see how much others took since.
  bool IsNearlyScarce() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_BUCKET_SYNC_H_
