#include "libs/budget/holder_closing.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"
#include "libs/budget/holder_closing_private.h"

namespace turmericwinch {

namespace {

using Phase = HolderClosingPhase;

}  // namespace

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

}  // namespace turmericwinch
