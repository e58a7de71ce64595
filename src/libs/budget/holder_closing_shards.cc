// The shards and bills that a closing reads, and the shards that it writes.

#include <algorithm>
#include <utility>

#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"
#include "libs/budget/holder_closing_private.h"

namespace turmericwinch {

namespace {

using Phase = HolderClosingPhase;

}  // namespace

// Requests the bills of ended borrowers of this host; the bills prove what they
// spent.
void HolderClosing::Private::FindBorrowers() {
  if (parts.lender) {
    for (const auto& [name, end] : ended_holders.ended) {
      if (parts.lender->HasLoans(name))
        RequireBills(name);
    }
  }
  phase = Phase::kLoadBills;
}

void HolderClosing::Private::RequireBills(const std::string& writer) {
  const bool waits = std::find(bill_writers.begin(), bill_writers.end(),
                               writer) != bill_writers.end();
  if (!totals.contains(writer) && !waits)
    bill_writers.push_back(writer);
}

// Tells this domain's shards from those of a domain whose name begins with this
// domain's name, and from objects of other writers.
bool HolderClosing::Private::IsOfDomain(const std::string& shard_name) const {
  return IsBucketNumber(
      shard_name.substr((sizeof(kShardPrefix) - 1) + parts.domain.size() + 1));
}

void HolderClosing::Private::HandleShards(const PlatformAnswer& answer) {
  shards.clear();
  result.waits_for.clear();
  const std::vector<std::string> ended = UnclosedHolders();
  for (const ListedObject& it : answer.objects) {
    if (!IsOfDomain(it.name))
      continue;
    Reason reason;
    std::optional<DomainShard> shard = ParseDomainShard(it.value, &reason);
    if (!shard)
      return End(reason);
    for (const std::string& budget : unresolved_returns[it.name])
      returns->AddReturned(budget, shard->budgets[budget].returned);
    bool needed = false;
    for (const std::string& holder : ended) {
      if (!shard->HasHolder(holder))
        continue;
      needed = true;
      const std::set<std::string>& list = shard->borrowers[holder];
      if (!ended_holders.OpenBorrowers(holder, list).empty())
        continue;
      RequireBills(holder);
      for (const std::string& borrower : list)
        RequireBills(borrower);
    }
    if (needed)
      shards.push_back({it.name, it.version, std::move(*shard)});
  }
  FindBorrowers();
}

void HolderClosing::Private::HandleBills(const PlatformAnswer& answer) {
  const std::string writer = bill_writers.back();
  std::vector<Bill> bills;
  for (const ListedObject& it : answer.objects) {
    Reason reason;
    std::optional<std::vector<Bill>> found = ParseBills(it.value, &reason);
    if (!found)
      return End(reason);
    bills.insert(bills.end(), found->begin(), found->end());
  }
  totals[writer] = CollectSettledTotals(writer, bills);
  bill_writers.pop_back();
}

void HolderClosing::Private::OnBillsRead(HostLedger* ledger) {
  if (parts.lender && ledger) {
    for (const auto& [name, end] : ended_holders.ended) {
      if (name == parts.holder)
        continue;
      const bool proved =
          totals.contains(name) || !parts.lender->HasLoans(name);
      if (proved && !parts.lender->HasEnded(name))
        parts.lender->EndBorrower(name, totals[name][parts.holder], *ledger);
    }
  }
  PlanShards();
}

void HolderClosing::Private::PlanShards() {
  writes.clear();
  for (ShardWrite& it : shards) {
    bool changed = false;
    std::map<std::string, std::int64_t> freed;
    for (const std::string& holder : UnclosedHolders()) {
      if (!it.shard.HasHolder(holder))
        continue;
      HolderRelease release =
          ReleaseHolder(it.shard, holder, ended_holders, totals);
      result.waits_for[holder].insert(release.waits_for.begin(),
                                      release.waits_for.end());
      changed |= release.waits_for.empty();
      for (const auto& [name, tokens] : release.released)
        freed[name] = AddSaturated(freed[name], tokens.freed);
      result.released[holder].insert(release.released.begin(),
                                     release.released.end());
    }
    it.returned = ReturnFreedTokens(it.shard, freed);
    if (changed)
      writes.push_back(std::move(it));
  }
  std::erase_if(result.waits_for,
                [](const auto& it) { return it.second.empty(); });
  shards.clear();
  phase = writes.empty() ? Phase::kWriteReturns : Phase::kWriteShard;
}

void HolderClosing::Private::HandleShardWritten() {
  for (const auto& [budget, total] : writes.back().returned)
    returns->AddReturned(budget, total);
  writes.pop_back();
  if (writes.empty())
    phase = Phase::kWriteReturns;
}

// Marks the ended holders of which no shard has a row any more as closed.
void HolderClosing::Private::OnShardsWritten() {
  shards_done = true;
  new_ended_holders = ended_holders;
  bool changed = false;
  for (const std::string& it : UnclosedHolders()) {
    if (!close_rows || result.waits_for.contains(it))
      continue;
    new_ended_holders.ended[it].closed = changed = true;
  }
  if (!changed)
    return End({});
  phase = Phase::kWriteEndedHolders;
}

}  // namespace turmericwinch
