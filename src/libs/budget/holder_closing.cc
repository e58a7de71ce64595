#include "libs/budget/holder_closing.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "libs/budget/account_returns.h"
#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"

namespace turmericwinch {

namespace {

enum class Phase {
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

}  // namespace

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
  Phase phase = Phase::kDone;
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

HolderClosing::HolderClosing(HolderClosingParts parts)
    : d_(std::make_unique<Private>()) {
  d_->parts = std::move(parts);
  d_->returns.emplace(d_->parts.domain);
}

HolderClosing::~HolderClosing() = default;

void HolderClosing::BeginRound(std::set<std::string> newly_ended,
                               bool close_rows,
                               std::int64_t now_ms) {
  d_->newly_ended = std::move(newly_ended);
  d_->close_rows = close_rows;
  d_->now_ms = now_ms;
  d_->attempts = 0;
  d_->pause = {};
  d_->totals.clear();
  d_->result = {};
  d_->shards_done = false;
  d_->returns.emplace(d_->parts.domain);
  d_->unresolved_returns.clear();
  d_->phase = Phase::kLoadEndedHolders;
}

const HolderClosingResult& HolderClosing::result() const {
  return d_->result;
}

std::optional<PlatformCall> HolderClosing::NextCall(HostLedger* ledger) {
  if (d_->phase == Phase::kLoadBills && d_->bill_writers.empty())
    d_->OnBillsRead(ledger);
  if (d_->phase == Phase::kWriteReturns && d_->returns->empty())
    d_->OnShardsWritten();
  const std::string ended_name = EndedHoldersObjectName(d_->parts.domain);
  switch (d_->phase) {
    case Phase::kLoadEndedHolders:
      return PlatformCall{
          .verb = PlatformVerb::kGet, .name = ended_name, .pause = d_->pause};
    case Phase::kWriteEndedHolders:
      return PlatformCall{d_->ended_version.IsSet() ? PlatformVerb::kUpdate
                                                    : PlatformVerb::kCreate,
                          ended_name, d_->ended_version,
                          ToJson(d_->new_ended_holders), d_->pause};
    case Phase::kListShards:
      return PlatformCall{.verb = PlatformVerb::kList,
                          .name = kShardPrefix + d_->parts.domain + "-",
                          .pause = d_->pause};
    case Phase::kLoadBills:
      return PlatformCall{.verb = PlatformVerb::kList,
                          .name = kBillPrefix + d_->parts.domain + "-" +
                                  d_->bill_writers.back() + "-",
                          .pause = d_->pause};
    case Phase::kWriteShard:
      return PlatformCall{PlatformVerb::kUpdate, d_->writes.back().name,
                          d_->writes.back().version,
                          ToJson(d_->writes.back().shard), d_->pause};
    case Phase::kWriteReturns:
      return d_->returns->NextCall();
    case Phase::kDone:
      break;
  }
  return std::nullopt;
}

void HolderClosing::HandleAnswer(const PlatformAnswer& answer,
                                 HostLedger* ledger) {
  Private& d = *d_;
  const ResultCode code = answer.reason.code;
  if (d.phase == Phase::kLoadEndedHolders &&
      (code == ResultCode::kOk || code == ResultCode::kPlatformNotFound))
    return d.HandleEndedHolders(answer, ledger);
  if (d.phase == Phase::kWriteReturns) {
    if (!d.returns->HandleAnswer(answer))
      d.End(answer.reason);
    return;
  }
  if (code != ResultCode::kOk)
    return d.HandleFailure(answer.reason);
  switch (d.phase) {
    case Phase::kWriteEndedHolders:
      d.ended_holders = d.new_ended_holders;
      d.ended_version = answer.version;
      return d.OnEndedHoldersStored();
    case Phase::kListShards:
      return d.HandleShards(answer);
    case Phase::kLoadBills:
      return d.HandleBills(answer);
    case Phase::kWriteShard:
      return d.HandleShardWritten();
    default:
      return;
  }
}

void HolderClosing::Private::End(Reason reason) {
  result.reason = std::move(reason);
  phase = Phase::kDone;
}

// Reads all objects again. More ends may be acknowledged by then, and bills
// read before an acknowledgement may be incomplete.
void HolderClosing::Private::Restart() {
  totals.clear();
  pause = kWriteRetryPause * attempts;
  shards_done = false;
  phase = Phase::kLoadEndedHolders;
}

void HolderClosing::Private::HandleFailure(const Reason& reason) {
  const bool write =
      phase == Phase::kWriteEndedHolders || phase == Phase::kWriteShard;
  if (phase == Phase::kWriteShard) {
    for (const auto& [budget, total] : writes.back().returned)
      unresolved_returns[writes.back().name].push_back(budget);
  }
  if (write && NeedsReread(reason.code) && ++attempts < kMaxWriteAttempts)
    return Restart();
  End(reason);
}

void HolderClosing::Private::HandleEndedHolders(const PlatformAnswer& answer,
                                                HostLedger* ledger) {
  Reason reason;
  ended_holders = {};
  ended_version = {};
  if (answer.reason.code == ResultCode::kOk) {
    std::optional<EndedHolders> read = ParseEndedHolders(answer.value, &reason);
    if (!read)
      return End(reason);
    ended_holders = std::move(*read);
    ended_version = answer.version;
  }
  new_ended_holders = ended_holders;
  bool changed = false;
  for (const std::string& it : newly_ended)
    changed |=
        new_ended_holders.ended.try_emplace(it, EndedHolder{now_ms, false})
            .second;
  if (ledger)
    changed |= Acknowledge(*ledger);
  changed |= close_rows && new_ended_holders.RemoveExpired(now_ms);
  if (changed)
    phase = Phase::kWriteEndedHolders;
  else
    OnEndedHoldersStored();
}

// Stops using the tokens of each ended holder, and acknowledges its end once
// all spend of its tokens is in bills that the platform has confirmed.
bool HolderClosing::Private::Acknowledge(HostLedger& ledger) {
  if (ended_holders.ended.contains(parts.holder))
    ledger.Fence();
  bool changed = false;
  auto row = ended_holders.acknowledged.find(parts.holder);
  const std::set<std::string> known = row == ended_holders.acknowledged.end()
                                          ? std::set<std::string>()
                                          : row->second;
  for (const auto& [lender, end] : ended_holders.ended) {
    if (lender == parts.holder)
      continue;
    ledger.CloseLender(lender);
    if (!ledger.IsClosedWith(lender))
      continue;
    if (end.closed || known.contains(lender))
      ledger.ForgetLoans(lender);
    else
      changed |=
          new_ended_holders.acknowledged[parts.holder].insert(lender).second;
  }
  return changed;
}

std::vector<std::string> HolderClosing::Private::UnclosedHolders() const {
  std::vector<std::string> names;
  for (const auto& [name, end] : ended_holders.ended) {
    if (!end.closed)
      names.push_back(name);
  }
  return names;
}

void HolderClosing::Private::OnEndedHoldersStored() {
  bill_writers.clear();
  if (shards_done)
    return End({});
  if (close_rows && !UnclosedHolders().empty()) {
    phase = Phase::kListShards;
    return;
  }
  FindBorrowers();
}

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
