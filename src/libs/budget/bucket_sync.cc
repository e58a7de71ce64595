#include "libs/budget/bucket_sync.h"

#include <algorithm>
#include <utility>

#include "libs/budget/bucket_plan.h"
#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"
#include "libs/budget/domain_shard.h"
#include "libs/budget/grant_planner.h"
#include "libs/budget/lender.h"

namespace turmericwinch {

namespace {

enum class Phase {
  kLoadAccount,
  kCreateAccount,
  kLoadShard,
  kCreateShard,
  kPlan,
  kWriteAccount,
  kWriteShard,
  kLoadForeign,
  kWriteForeign,
  kOver,
};

bool IsLoad(Phase phase) {
  return phase == Phase::kLoadAccount || phase == Phase::kLoadShard ||
         phase == Phase::kLoadForeign;
}

}  // namespace

class BucketSync::Private {
 public:
  void Plan(HostLedger& ledger);
  void AdoptGrants(HostLedger& ledger);
  void ConfirmList(const DomainShard& shard);
  void GiveBackScarce(HostLedger& ledger);
  bool IsClosed(const HostLedger& ledger) const;
  void StartGathering();
  void NextForeign();
  void TakeFailure(const Reason& reason);
  void TakeForeign(const PlatformAnswer& answer);
  void ShardWritten(HostLedger& ledger);
  void Restart(std::chrono::milliseconds wait);
  void End(Reason reason);
  PlatformCall Call(PlatformVerb verb, std::string name) const;
  std::string AccountName() const { return AccountObjectName(parts.bucket); }
  std::string ShardName(const std::string& domain) const {
    return ShardObjectName(domain, parts.bucket);
  }

  BucketSyncParts parts;
  Phase phase = Phase::kOver;
  BucketState state;
  std::uint64_t account_version = 0;
  std::uint64_t shard_version = 0;
  bool fresh = false;
  bool unsettled = false;
  // Of the current turn.
  GrantRequests wishes;
  bool closing = false;
  bool loaded = false;
  bool gathered = false;
  int attempts = 0;
  std::chrono::milliseconds pause{0};
  BucketPlan plan;
  std::map<std::string, std::int64_t> missing;
  std::vector<std::string> foreign;
  DomainShard foreign_shard;
  std::uint64_t foreign_version = 0;
  SyncResult result;
};

BucketSync::BucketSync(BucketSyncParts parts)
    : d_(std::make_unique<Private>()) {
  d_->parts = std::move(parts);
}

BucketSync::~BucketSync() = default;

void BucketSync::BeginRound(GrantRequests wishes, bool closing, bool refresh) {
  d_->wishes = std::move(wishes);
  d_->closing = closing;
  d_->loaded = false;
  d_->gathered = false;
  d_->attempts = 0;
  d_->pause = {};
  d_->result = {};
  d_->state.foreign_returned.clear();
  d_->fresh = d_->fresh && !refresh;
  d_->phase = d_->fresh ? Phase::kPlan : Phase::kLoadAccount;
}

const SyncResult& BucketSync::result() const {
  return d_->result;
}

bool BucketSync::NeedsRound() const {
  return d_->unsettled;
}

bool BucketSync::IsNearlyScarce() const {
  const auto& budgets = d_->state.account.budgets;
  return std::any_of(budgets.begin(), budgets.end(), [](const auto& it) {
    return turmericwinch::IsNearlyScarce(it.second);
  });
}

PlatformCall BucketSync::Private::Call(PlatformVerb verb,
                                       std::string name) const {
  return {verb, std::move(name), 0, verb == PlatformVerb::kCreate ? "{}" : "",
          pause};
}

std::optional<PlatformCall> BucketSync::NextCall(HostLedger& ledger) {
  if (d_->phase == Phase::kPlan)
    d_->Plan(ledger);
  PlatformCall call;
  switch (d_->phase) {
    case Phase::kLoadAccount:
      call = d_->Call(PlatformVerb::kGet, d_->AccountName());
      break;
    case Phase::kCreateAccount:
      call = d_->Call(PlatformVerb::kCreate, d_->AccountName());
      break;
    case Phase::kLoadShard:
      call = d_->Call(PlatformVerb::kGet, d_->ShardName(d_->parts.domain));
      break;
    case Phase::kCreateShard:
      call = d_->Call(PlatformVerb::kCreate, d_->ShardName(d_->parts.domain));
      break;
    case Phase::kWriteAccount:
      call = d_->Call(PlatformVerb::kUpdate, d_->AccountName());
      call.version = d_->account_version;
      call.value = ToJson(d_->plan.account);
      break;
    case Phase::kWriteShard:
      call = d_->Call(PlatformVerb::kUpdate, d_->ShardName(d_->parts.domain));
      call.version = d_->shard_version;
      call.value = ToJson(d_->plan.shard);
      break;
    case Phase::kLoadForeign:
      call = d_->Call(PlatformVerb::kGet, d_->ShardName(d_->foreign.back()));
      break;
    case Phase::kWriteForeign:
      call = d_->Call(PlatformVerb::kUpdate, d_->ShardName(d_->foreign.back()));
      call.version = d_->foreign_version;
      call.value = ToJson(d_->foreign_shard);
      break;
    case Phase::kPlan:
    case Phase::kOver:
      return std::nullopt;
  }
  d_->pause = {};
  return call;
}

void BucketSync::HandleAnswer(const PlatformAnswer& answer,
                              HostLedger& ledger) {
  Private& d = *d_;
  if (d.phase == Phase::kLoadForeign || d.phase == Phase::kWriteForeign)
    return d.TakeForeign(answer);
  if (answer.reason.code != ResultCode::kOk)
    return d.TakeFailure(answer.reason);
  Reason reason;
  const std::string text = IsLoad(d.phase) ? answer.value : "{}";
  switch (d.phase) {
    case Phase::kLoadAccount:
    case Phase::kCreateAccount: {
      std::optional<AccountBucket> account = ParseAccountBucket(text, &reason);
      if (!account)
        return d.End(reason);
      d.state.account = std::move(*account);
      d.account_version = answer.version;
      d.phase = Phase::kLoadShard;
      return;
    }
    case Phase::kLoadShard:
    case Phase::kCreateShard: {
      std::optional<DomainShard> shard = ParseDomainShard(text, &reason);
      if (!shard)
        return d.End(reason);
      d.state.shard = std::move(*shard);
      d.shard_version = answer.version;
      d.fresh = d.loaded = true;
      d.phase = Phase::kPlan;
      return;
    }
    case Phase::kWriteAccount:
      d.state.account = d.plan.account;
      d.account_version = answer.version;
      d.phase = d.plan.shard_changed ? Phase::kWriteShard : Phase::kOver;
      d.unsettled = false;
      return;
    case Phase::kWriteShard:
      d.shard_version = answer.version;
      return d.ShardWritten(ledger);
    default:
      return;
  }
}

void BucketSync::Private::TakeFailure(const Reason& reason) {
  if (reason.code == ResultCode::kPlatformNotFound && IsLoad(phase)) {
    phase = phase == Phase::kLoadAccount ? Phase::kCreateAccount
                                         : Phase::kCreateShard;
    return;
  }
  if (!IsLoad(phase) && reason.code == ResultCode::kPlatformUnknown)
    unsettled = true;
  if (!IsLoad(phase) && NeedsReread(reason.code) &&
      ++attempts < kMaxWriteAttempts)
    return Restart(kWriteRetryPause * attempts);
  End(reason);
}

void BucketSync::Private::Restart(std::chrono::milliseconds wait) {
  fresh = false;
  pause = wait;
  phase = Phase::kLoadAccount;
}

void BucketSync::Private::End(Reason reason) {
  fresh = fresh && reason.code == ResultCode::kOk;
  result.reason = std::move(reason);
  phase = Phase::kOver;
}

// Takes over grants that the platform has and the ledger does not know of:
// their write took effect but its answer was lost.
void BucketSync::Private::AdoptGrants(HostLedger& ledger) {
  for (const auto& [name, budget] : state.shard.budgets) {
    auto row = budget.holders.find(parts.holder);
    if (row == budget.holders.end())
      continue;
    const std::int64_t rise =
        row->second.granted - ledger.Counters(name).granted;
    if (rise <= 0)
      continue;
    ledger.ApplyGrant(name, row->second.granted);
    result.grants.push_back(name);
    auto wish = wishes.find(name);
    if (wish == wishes.end())
      continue;
    wish->second.needed -= rise;
    wish->second.smallest =
        std::max<std::int64_t>(wish->second.smallest - rise, 0);
    if (wish->second.needed <= 0)
      wishes.erase(wish);
  }
}

bool BucketSync::Private::IsClosed(const HostLedger& ledger) const {
  for (const std::string& it : ledger.ConfirmedBudgets(parts.bucket)) {
    auto budget = state.shard.budgets.find(it);
    if (budget == state.shard.budgets.end() ||
        !budget->second.holders.contains(parts.holder))
      return true;
  }
  return false;
}

void BucketSync::Private::ConfirmList(const DomainShard& shard) {
  if (!parts.lender)
    return;
  auto it = shard.borrowers.find(parts.holder);
  parts.lender->ConfirmBorrowers(parts.bucket, it == shard.borrowers.end()
                                                   ? std::set<std::string>()
                                                   : it->second);
}

// A lender's stock shrinks as the budget ends, so that other domains find it.
void BucketSync::Private::GiveBackScarce(HostLedger& ledger) {
  if (!parts.lender)
    return;
  for (const std::string& it : ledger.ConfirmedBudgets(parts.bucket)) {
    auto account = state.account.budgets.find(it);
    if (account == state.account.budgets.end() || wishes.contains(it))
      continue;
    if (IsScarce(account->second))
      ledger.GiveBackAbove(it, ScarceStock(account->second));
  }
}

void BucketSync::Private::Plan(HostLedger& ledger) {
  if (IsClosed(ledger) && !closing) {
    ledger.Fence();
    return End(
        {ResultCode::kBudgetUnreachable, "the grants of this host have ended"});
  }
  // The holder's own close took effect, though its answer was lost.
  if (IsClosed(ledger)) {
    ledger.ForgetBucket(parts.bucket);
    closing = false;
  }
  if (ledger.fenced())
    wishes.clear();
  AdoptGrants(ledger);
  ConfirmList(state.shard);
  GiveBackScarce(ledger);
  plan = MakeBucketPlan(parts, state, wishes, closing, ledger);
  if (!plan.short_of_tokens.empty() && !loaded)
    return Restart({});
  if (!plan.short_of_tokens.empty() && !gathered)
    return StartGathering();
  result.short_of_tokens = plan.short_of_tokens;
  if (plan.account_changed)
    phase = Phase::kWriteAccount;
  else if (plan.shard_changed)
    phase = Phase::kWriteShard;
  else {
    unsettled = false;
    End({});
  }
}

// Looks for idle tokens in the shards of the other domains.
void BucketSync::Private::StartGathering() {
  gathered = true;
  missing.clear();
  foreign.clear();
  for (const auto& [name, wish] : plan.short_of_tokens) {
    missing[name] = wish.needed;
    for (const auto& [domain, it] : state.account.budgets[name].domains) {
      if (domain != parts.domain && it.allocated > it.returned &&
          std::find(foreign.begin(), foreign.end(), domain) == foreign.end())
        foreign.push_back(domain);
    }
  }
  phase = foreign.empty() ? Phase::kPlan : Phase::kLoadForeign;
}

void BucketSync::Private::NextForeign() {
  foreign.pop_back();
  phase = foreign.empty() ? Phase::kPlan : Phase::kLoadForeign;
}

// A foreign shard that cannot be read or written now is passed over: what it
// holds is found at the next attempt.
void BucketSync::Private::TakeForeign(const PlatformAnswer& answer) {
  const std::string& domain = foreign.back();
  const ResultCode code = answer.reason.code;
  if (phase == Phase::kWriteForeign && NeedsReread(code) &&
      ++attempts < kMaxWriteAttempts) {
    pause = kWriteRetryPause * attempts;
    phase = Phase::kLoadForeign;
    return;
  }
  if (code != ResultCode::kOk) {
    result.complete &= code == ResultCode::kPlatformNotFound;
    return NextForeign();
  }
  if (phase == Phase::kLoadForeign) {
    Reason ignored;
    std::optional<DomainShard> shard = ParseDomainShard(answer.value, &ignored);
    if (!shard)
      return NextForeign();
    foreign_shard = std::move(*shard);
    foreign_version = answer.version;
    if (TakeIdle(state, domain, missing, foreign_shard)) {
      phase = Phase::kWriteForeign;
      return;
    }
  }
  for (const auto& [name, tokens] : missing) {
    auto it = foreign_shard.budgets.find(name);
    if (it != foreign_shard.budgets.end())
      state.foreign_returned[name][domain] = it->second.returned;
  }
  NextForeign();
}

void BucketSync::Private::ShardWritten(HostLedger& ledger) {
  state.shard = plan.shard;
  ConfirmList(state.shard);
  for (const auto& [name, counters] : plan.counters) {
    if (counters.granted > ledger.Counters(name).granted) {
      ledger.ApplyGrant(name, counters.granted);
      result.grants.push_back(name);
    }
    ledger.ConfirmCounters(name, counters);
  }
  if (plan.closes)
    ledger.ForgetBucket(parts.bucket);
  // The account learns of a return in a second write; see MakeBucketPlan.
  unsettled = plan.returns;
  if (!plan.returns)
    return End({});
  for (const std::string& it : result.grants)
    wishes.erase(it);
  closing = closing && !plan.closes;
  phase = Phase::kPlan;
}

}  // namespace turmericwinch
