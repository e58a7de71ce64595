// State of a HolderClosing.

#ifndef SRC_LIBS_BUDGET_HOLDER_CLOSING_PRIVATE_H_
#define SRC_LIBS_BUDGET_HOLDER_CLOSING_PRIVATE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libs/budget/account_returns.h"
#include "libs/budget/holder_closing.h"

namespace turmericwinch {

enum class HolderClosingPhase {
  kLoadEndedHolders,
  kWriteEndedHolders,
  kListShards,
  kLoadBills,
  kWriteShard,
  kWriteReturns,
  kDone,
};

// A shard that the closing changes, with the version that was read.
struct ShardWrite {
  std::string name;
  StoreVersion version;
  DomainShard shard;
  // Return totals of the domain after the write, by budget.
  std::map<std::string, std::int64_t> returned;
};

class HolderClosing::Private {
 public:
  void HandleEndedHolders(const PlatformAnswer& answer, HostLedger* ledger);
  bool Acknowledge(HostLedger& ledger);
  void OnEndedHoldersStored();
  void FindBorrowers();
  void HandleShards(const PlatformAnswer& answer);
  bool IsOfDomain(const std::string& shard_name) const;
  void RequireBills(const std::string& writer);
  void HandleBills(const PlatformAnswer& answer);
  void OnBillsRead(HostLedger* ledger);
  void PlanShards();
  void HandleShardWritten();
  void OnShardsWritten();
  void HandleFailure(const Reason& reason);
  void Restart();
  void End(Reason reason);
  std::vector<std::string> UnclosedHolders() const;

  HolderClosingParts parts;
  HolderClosingPhase phase = HolderClosingPhase::kDone;
  std::set<std::string> newly_ended;
  bool close_rows = false;
  std::int64_t now_ms = 0;
  int attempts = 0;
  std::chrono::milliseconds pause{0};
  EndedHolders ended_holders;
  EndedHolders new_ended_holders;
  StoreVersion ended_version;
  // Whether this round has stored the new ends and processed the shards.
  bool shards_done = false;
  std::vector<ShardWrite> shards;
  std::vector<ShardWrite> writes;
  std::optional<AccountReturns> returns;
  // Shards with a write of unknown outcome, and the budgets of which that write
  // returns tokens.
  std::map<std::string, std::vector<std::string>> unresolved_returns;
  std::vector<std::string> bill_writers;
  std::map<std::string, SettledTotals> totals;
  HolderClosingResult result;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_HOLDER_CLOSING_PRIVATE_H_
