#include "libs/budget/bucket_sync.h"

#include <algorithm>
#include <utility>

#include "libs/budget/bucket_plan.h"
#include "libs/budget/bucket_sync_private.h"
#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"
#include "libs/budget/domain_shard.h"
#include "libs/budget/grant_planner.h"
#include "libs/budget/lender.h"

namespace turmericwinch {

namespace {

using Phase = BucketSyncPhase;

bool IsLoad(Phase phase) {
  return phase == Phase::kLoadAccount || phase == Phase::kLoadShard ||
         phase == Phase::kLoadForeign;
}

}  // namespace

BucketSync::BucketSync(BucketSyncParts parts)
    : d_(std::make_unique<Private>()) {
  d_->parts = std::move(parts);
}

BucketSync::~BucketSync() = default;

void BucketSync::BeginRound(GrantRequests requests,
                            bool closing,
                            bool refresh) {
  d_->requests = std::move(requests);
  d_->closing = closing;
  d_->loaded_this_round = false;
  d_->foreign_searched = false;
  d_->attempts = 0;
  d_->pause = {};
  d_->result = {};
  d_->state.foreign_returned.clear();
  d_->state_current = d_->state_current && !refresh;
  d_->phase = d_->state_current ? Phase::kPlan : Phase::kLoadAccount;
}

const SyncResult& BucketSync::result() const {
  return d_->result;
}

bool BucketSync::NeedsRound() const {
  return d_->needs_round;
}

bool BucketSync::IsNearlyScarce() const {
  const auto& budgets = d_->state.account.budgets;
  return std::any_of(budgets.begin(), budgets.end(), [](const auto& it) {
    return turmericwinch::IsNearlyScarce(it.second);
  });
}

PlatformCall BucketSync::Private::Call(PlatformVerb verb,
                                       std::string name) const {
  return {.verb = verb,
          .name = std::move(name),
          .value = verb == PlatformVerb::kCreate ? "{}" : "",
          .pause = pause};
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
      call = d_->Call(PlatformVerb::kGet,
                      d_->ShardName(d_->foreign_domains.back()));
      break;
    case Phase::kWriteForeign:
      call = d_->Call(PlatformVerb::kUpdate,
                      d_->ShardName(d_->foreign_domains.back()));
      call.version = d_->foreign_version;
      call.value = ToJson(d_->foreign_shard);
      break;
    case Phase::kPlan:
    case Phase::kDone:
      return std::nullopt;
  }
  d_->pause = {};
  return call;
}

void BucketSync::HandleAnswer(const PlatformAnswer& answer,
                              HostLedger& ledger) {
  Private& d = *d_;
  if (d.phase == Phase::kLoadForeign || d.phase == Phase::kWriteForeign)
    return d.HandleForeignAnswer(answer);
  if (answer.reason.code != ResultCode::kOk)
    return d.HandleFailure(answer.reason);
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
      d.state_current = d.loaded_this_round = true;
      d.phase = Phase::kPlan;
      return;
    }
    case Phase::kWriteAccount:
      d.state.account = d.plan.account;
      d.account_version = answer.version;
      d.phase = d.plan.shard_changed ? Phase::kWriteShard : Phase::kDone;
      d.needs_round = false;
      return;
    case Phase::kWriteShard:
      d.shard_version = answer.version;
      return d.HandleShardWritten(ledger);
    default:
      return;
  }
}

void BucketSync::Private::HandleFailure(const Reason& reason) {
  if (reason.code == ResultCode::kPlatformNotFound && IsLoad(phase)) {
    phase = phase == Phase::kLoadAccount ? Phase::kCreateAccount
                                         : Phase::kCreateShard;
    return;
  }
  if (!IsLoad(phase) && reason.code == ResultCode::kPlatformUnknown)
    needs_round = true;
  if (!IsLoad(phase) && NeedsReread(reason.code) &&
      ++attempts < kMaxWriteAttempts)
    return Restart(kWriteRetryPause * attempts);
  End(reason);
}

void BucketSync::Private::Restart(std::chrono::milliseconds retry_pause) {
  state_current = false;
  pause = retry_pause;
  phase = Phase::kLoadAccount;
}

void BucketSync::Private::End(Reason reason) {
  state_current = state_current && reason.code == ResultCode::kOk;
  result.reason = std::move(reason);
  phase = Phase::kDone;
}

// Adds stored grants that the ledger does not have: their write took effect but
// its answer was lost.
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
    auto request = requests.find(name);
    if (request == requests.end())
      continue;
    request->second.needed -= rise;
    request->second.smallest =
        std::max<std::int64_t>(request->second.smallest - rise, 0);
    if (request->second.needed <= 0)
      requests.erase(request);
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

void BucketSync::Private::ConfirmBorrowerList(const DomainShard& shard) {
  if (!parts.lender)
    return;
  auto it = shard.borrowers.find(parts.holder);
  parts.lender->ConfirmBorrowers(parts.bucket, it == shard.borrowers.end()
                                                   ? std::set<std::string>()
                                                   : it->second);
}

// Reduces a lender's stock of scarce budgets, so that other domains can draw
// the tokens.
void BucketSync::Private::GiveBackScarceTokens(HostLedger& ledger) {
  if (!parts.lender)
    return;
  for (const std::string& it : ledger.ConfirmedBudgets(parts.bucket)) {
    auto account = state.account.budgets.find(it);
    if (account == state.account.budgets.end() || requests.contains(it))
      continue;
    if (IsScarce(account->second))
      ledger.GiveBackAbove(it, ScarceStock(account->second));
  }
}

void BucketSync::Private::Plan(HostLedger& ledger) {
  if (IsClosed(ledger) && !closing) {
    ledger.Fence();
    return End({ResultCode::kBudgetUnreachable,
                "holder " + parts.holder + " was closed"});
  }
  // The write that closes this holder took effect, but its answer was lost.
  if (IsClosed(ledger)) {
    ledger.ForgetBucket(parts.bucket);
    closing = false;
  }
  if (ledger.fenced())
    requests.clear();
  AdoptGrants(ledger);
  ConfirmBorrowerList(state.shard);
  GiveBackScarceTokens(ledger);
  plan = MakeBucketPlan(parts, state, requests, closing, ledger);
  if (!plan.short_of_tokens.empty() && !loaded_this_round)
    return Restart({});
  if (!plan.short_of_tokens.empty() && !foreign_searched)
    return StartForeignSearch();
  result.short_of_tokens = plan.short_of_tokens;
  if (plan.account_changed)
    phase = Phase::kWriteAccount;
  else if (plan.shard_changed)
    phase = Phase::kWriteShard;
  else {
    needs_round = false;
    End({});
  }
}

void BucketSync::Private::HandleShardWritten(HostLedger& ledger) {
  state.shard = plan.shard;
  ConfirmBorrowerList(state.shard);
  for (const auto& [name, counters] : plan.counters) {
    if (counters.granted > ledger.Counters(name).granted) {
      ledger.ApplyGrant(name, counters.granted);
      result.grants.push_back(name);
    }
    ledger.ConfirmCounters(name, counters);
  }
  if (plan.closes_holder)
    ledger.ForgetBucket(parts.bucket);
  // A return reaches the account in a second write, after the shard's; see
  // Planner::ReturnFreeTokens.
  needs_round = plan.returns_tokens;
  if (!plan.returns_tokens)
    return End({});
  for (const std::string& it : result.grants)
    requests.erase(it);
  closing = closing && !plan.closes_holder;
  phase = Phase::kPlan;
}

}  // namespace turmericwinch
