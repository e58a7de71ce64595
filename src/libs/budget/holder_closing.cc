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
  kLoadEnds,
  kWriteEnds,
  kListShards,
  kLoadBills,
  kWriteShard,
  kNoteReturns,
  kOver,
};

// A shard that a closing changes, as it was read and with its new text.
struct ShardWrite {
  std::string name;
  std::uint64_t version = 0;
  DomainShard shard;
  // What the domain then returned in all, by budget.
  std::map<std::string, std::int64_t> returned;
};

}  // namespace

class HolderClosing::Private {
 public:
  void TakeEnds(const PlatformAnswer& answer, HostLedger* ledger);
  bool Acknowledge(HostLedger& ledger);
  void AfterEnds();
  void FindBorrowers();
  void TakeShards(const PlatformAnswer& answer);
  bool IsOfDomain(const std::string& shard_name) const;
  void NeedBills(const std::string& writer);
  void TakeBills(const PlatformAnswer& answer);
  void AfterBills(HostLedger* ledger);
  void PlanShards();
  void TakeShardWritten();
  void AfterShards();
  void TakeFailure(const Reason& reason);
  void Restart();
  void End(Reason reason);
  std::vector<std::string> EndedWithRows() const;

  HolderClosingParts parts;
  Phase phase = Phase::kOver;
  std::set<std::string> ending;
  bool closes = false;
  std::int64_t now_ms = 0;
  int attempts = 0;
  std::chrono::milliseconds pause{0};
  EndedHolders ends;
  EndedHolders written;
  std::uint64_t ends_version = 0;
  // Whether the ends were written, and the shards looked through, in this turn.
  bool shards_done = false;
  std::vector<ShardWrite> shards;
  std::vector<ShardWrite> writes;
  std::optional<AccountReturns> returns;
  // Shards of which a write may have taken effect, and the budgets it returned.
  std::map<std::string, std::vector<std::string>> unsure;
  std::vector<std::string> writers;
  std::map<std::string, SettledTotals> totals;
  HolderClosingResult result;
};

HolderClosing::HolderClosing(HolderClosingParts parts)
    : d_(std::make_unique<Private>()) {
  d_->parts = std::move(parts);
  d_->returns.emplace(d_->parts.domain);
}

HolderClosing::~HolderClosing() = default;

void HolderClosing::BeginRound(std::set<std::string> ending,
                               bool closes,
                               std::int64_t now_ms) {
  d_->ending = std::move(ending);
  d_->closes = closes;
  d_->now_ms = now_ms;
  d_->attempts = 0;
  d_->pause = {};
  d_->totals.clear();
  d_->result = {};
  d_->shards_done = false;
  d_->returns.emplace(d_->parts.domain);
  d_->unsure.clear();
  d_->phase = Phase::kLoadEnds;
}

const HolderClosingResult& HolderClosing::result() const {
  return d_->result;
}

std::optional<PlatformCall> HolderClosing::NextCall(HostLedger* ledger) {
  if (d_->phase == Phase::kLoadBills && d_->writers.empty())
    d_->AfterBills(ledger);
  if (d_->phase == Phase::kNoteReturns && d_->returns->empty())
    d_->AfterShards();
  const std::string ends_name = EndedHoldersObjectName(d_->parts.domain);
  switch (d_->phase) {
    case Phase::kLoadEnds:
      return PlatformCall{PlatformVerb::kGet, ends_name, 0, "", d_->pause};
    case Phase::kWriteEnds:
      return PlatformCall{
          d_->ends_version == 0 ? PlatformVerb::kCreate : PlatformVerb::kUpdate,
          ends_name, d_->ends_version, ToJson(d_->written), d_->pause};
    case Phase::kListShards:
      return PlatformCall{PlatformVerb::kList,
                          kShardPrefix + d_->parts.domain + "-", 0, "",
                          d_->pause};
    case Phase::kLoadBills:
      return PlatformCall{
          PlatformVerb::kList,
          kBillPrefix + d_->parts.domain + "-" + d_->writers.back() + "-", 0,
          "", d_->pause};
    case Phase::kWriteShard:
      return PlatformCall{PlatformVerb::kUpdate, d_->writes.back().name,
                          d_->writes.back().version,
                          ToJson(d_->writes.back().shard), d_->pause};
    case Phase::kNoteReturns:
      return d_->returns->NextCall();
    case Phase::kOver:
      break;
  }
  return std::nullopt;
}

void HolderClosing::HandleAnswer(const PlatformAnswer& answer,
                                 HostLedger* ledger) {
  Private& d = *d_;
  const ResultCode code = answer.reason.code;
  if (d.phase == Phase::kLoadEnds &&
      (code == ResultCode::kOk || code == ResultCode::kPlatformNotFound))
    return d.TakeEnds(answer, ledger);
  if (d.phase == Phase::kNoteReturns) {
    if (!d.returns->HandleAnswer(answer))
      d.End(answer.reason);
    return;
  }
  if (code != ResultCode::kOk)
    return d.TakeFailure(answer.reason);
  switch (d.phase) {
    case Phase::kWriteEnds:
      d.ends = d.written;
      d.ends_version = answer.version;
      return d.AfterEnds();
    case Phase::kListShards:
      return d.TakeShards(answer);
    case Phase::kLoadBills:
      return d.TakeBills(answer);
    case Phase::kWriteShard:
      return d.TakeShardWritten();
    default:
      return;
  }
}

void HolderClosing::Private::End(Reason reason) {
  result.reason = std::move(reason);
  phase = Phase::kOver;
}

// Reads all again: more may be acknowledged by then, and bills that were read
// before an acknowledgement do not stand for it.
void HolderClosing::Private::Restart() {
  totals.clear();
  pause = kWriteRetryPause * attempts;
  shards_done = false;
  phase = Phase::kLoadEnds;
}

void HolderClosing::Private::TakeFailure(const Reason& reason) {
  const bool write = phase == Phase::kWriteEnds || phase == Phase::kWriteShard;
  if (phase == Phase::kWriteShard) {
    for (const auto& [budget, total] : writes.back().returned)
      unsure[writes.back().name].push_back(budget);
  }
  if (write && NeedsReread(reason.code) && ++attempts < kMaxWriteAttempts)
    return Restart();
  End(reason);
}

void HolderClosing::Private::TakeEnds(const PlatformAnswer& answer,
                                      HostLedger* ledger) {
  Reason reason;
  ends = {};
  ends_version = 0;
  if (answer.reason.code == ResultCode::kOk) {
    std::optional<EndedHolders> read = ParseEndedHolders(answer.value, &reason);
    if (!read)
      return End(reason);
    ends = std::move(*read);
    ends_version = answer.version;
  }
  written = ends;
  bool changed = false;
  for (const std::string& it : ending)
    changed |= written.ended.try_emplace(it, EndedHolder{now_ms, false}).second;
  if (ledger)
    changed |= Acknowledge(*ledger);
  changed |= closes && written.RemoveExpired(now_ms);
  if (changed)
    phase = Phase::kWriteEnds;
  else
    AfterEnds();
}

// Closes with each holder that has ended, and says so once all that was spent
// of its tokens is in bills that the platform confirmed.
bool HolderClosing::Private::Acknowledge(HostLedger& ledger) {
  if (ends.ended.contains(parts.holder))
    ledger.Fence();
  bool changed = false;
  auto row = ends.acknowledged.find(parts.holder);
  const std::set<std::string> known =
      row == ends.acknowledged.end() ? std::set<std::string>() : row->second;
  for (const auto& [lender, end] : ends.ended) {
    if (lender == parts.holder)
      continue;
    ledger.CloseLender(lender);
    if (!ledger.IsClosedWith(lender))
      continue;
    if (end.closed || known.contains(lender))
      ledger.ForgetLoans(lender);
    else
      changed |= written.acknowledged[parts.holder].insert(lender).second;
  }
  return changed;
}

std::vector<std::string> HolderClosing::Private::EndedWithRows() const {
  std::vector<std::string> names;
  for (const auto& [name, end] : ends.ended) {
    if (!end.closed)
      names.push_back(name);
  }
  return names;
}

void HolderClosing::Private::AfterEnds() {
  writers.clear();
  if (shards_done)
    return End({});
  if (closes && !EndedWithRows().empty()) {
    phase = Phase::kListShards;
    return;
  }
  FindBorrowers();
}

// Borrowers of this host that have ended; their bills prove what they spent.
void HolderClosing::Private::FindBorrowers() {
  if (parts.lender) {
    for (const auto& [name, end] : ends.ended) {
      if (parts.lender->HasLoans(name))
        NeedBills(name);
    }
  }
  phase = Phase::kLoadBills;
}

void HolderClosing::Private::NeedBills(const std::string& writer) {
  const bool waits =
      std::find(writers.begin(), writers.end(), writer) != writers.end();
  if (!totals.contains(writer) && !waits)
    writers.push_back(writer);
}

// Another domain's name may begin with this one's.
bool HolderClosing::Private::IsOfDomain(const std::string& shard_name) const {
  const std::string bucket =
      shard_name.substr((sizeof(kShardPrefix) - 1) + parts.domain.size() + 1);
  return !bucket.empty() &&
         bucket.find_first_not_of("0123456789") == std::string::npos;
}

void HolderClosing::Private::TakeShards(const PlatformAnswer& answer) {
  shards.clear();
  result.waits_for.clear();
  const std::vector<std::string> ended = EndedWithRows();
  for (const ListedObject& it : answer.objects) {
    if (!IsOfDomain(it.name))
      continue;
    Reason reason;
    std::optional<DomainShard> shard = ParseDomainShard(it.value, &reason);
    if (!shard)
      return End(reason);
    for (const std::string& budget : unsure[it.name])
      returns->AddReturned(budget, shard->budgets[budget].returned);
    bool needed = false;
    for (const std::string& holder : ended) {
      if (!shard->HasHolder(holder))
        continue;
      needed = true;
      const std::set<std::string>& list = shard->borrowers[holder];
      if (!ends.OpenBorrowers(holder, list).empty())
        continue;
      NeedBills(holder);
      for (const std::string& borrower : list)
        NeedBills(borrower);
    }
    if (needed)
      shards.push_back({it.name, it.version, std::move(*shard)});
  }
  FindBorrowers();
}

void HolderClosing::Private::TakeBills(const PlatformAnswer& answer) {
  const std::string writer = writers.back();
  std::vector<Bill> bills;
  for (const ListedObject& it : answer.objects) {
    Reason reason;
    std::optional<std::vector<Bill>> found = ParseBills(it.value, &reason);
    if (!found)
      return End(reason);
    bills.insert(bills.end(), found->begin(), found->end());
  }
  totals[writer] = SettledIn(writer, bills);
  writers.pop_back();
}

void HolderClosing::Private::AfterBills(HostLedger* ledger) {
  if (parts.lender && ledger) {
    for (const auto& [name, end] : ends.ended) {
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
    for (const std::string& holder : EndedWithRows()) {
      if (!it.shard.HasHolder(holder))
        continue;
      HolderRelease release = ReleaseHolder(it.shard, holder, ends, totals);
      result.waits_for[holder].insert(release.waits_for.begin(),
                                      release.waits_for.end());
      changed |= release.waits_for.empty();
      for (const auto& [name, tokens] : release.released)
        freed[name] = AddSaturated(freed[name], tokens.freed);
      result.released[holder].insert(release.released.begin(),
                                     release.released.end());
    }
    it.returned = ReturnFreed(it.shard, freed);
    if (changed)
      writes.push_back(std::move(it));
  }
  std::erase_if(result.waits_for,
                [](const auto& it) { return it.second.empty(); });
  shards.clear();
  phase = writes.empty() ? Phase::kNoteReturns : Phase::kWriteShard;
}

void HolderClosing::Private::TakeShardWritten() {
  for (const auto& [budget, total] : writes.back().returned)
    returns->AddReturned(budget, total);
  writes.pop_back();
  if (writes.empty())
    phase = Phase::kNoteReturns;
}

// Marks the ends that no shard has a row of any more.
void HolderClosing::Private::AfterShards() {
  shards_done = true;
  written = ends;
  bool changed = false;
  for (const std::string& it : EndedWithRows()) {
    if (!closes || result.waits_for.contains(it))
      continue;
    written.ended[it].closed = changed = true;
  }
  if (!changed)
    return End({});
  phase = Phase::kWriteEnds;
}

}  // namespace turmericwinch
