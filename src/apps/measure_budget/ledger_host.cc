#include "apps/measure_budget/ledger_host.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "apps/measure_budget/model_constants.h"
#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"

namespace turmericwinch {

LedgerHost::LedgerHost(HostParts parts)
    : parts_(std::move(parts)), ledger_(parts_.holder) {}

const std::string& LedgerHost::NameOf(const TraceRequest& request) const {
  return (*parts_.names)[request.budget];
}

std::int64_t LedgerHost::Available(const std::string& budget) const {
  return ledger_.Available(budget);
}

std::function<void()> LedgerHost::IfRunning(std::function<void()> action) {
  return [self = shared_from_this(), action = std::move(action)] {
    if (!self->terminated_)
      action();
  };
}

void LedgerHost::Request(const TraceRequest& request,
                         std::function<void(bool)> decided) {
  auto waiter = std::make_shared<Waiter>();
  waiter->request = request;
  waiter->deadline = parts_.queue->now() + Seconds(kGrantWaitSeconds);
  waiter->decided = std::move(decided);
  TryReserve(waiter);
}

void LedgerHost::TryReserve(const std::shared_ptr<Waiter>& waiter) {
  if (waiter->done)
    return;
  const MonotonicTime now = parts_.queue->now();
  const TraceRequest& request = waiter->request;
  const Reservation reservation =
      ledger_.Reserve(NameOf(request), request.bound, now);
  if (reservation.outcome == ReserveOutcome::kReserved) {
    waiter->done = true;
    reservations_[request.id] = reservation.id;
    waiter->decided(true);
    return;
  }
  auto denial = denials_.find(NameOf(request));
  const bool denied = denial != denials_.end() && now < denial->second.until &&
                      request.bound >= denial->second.min_bound;
  if (reservation.outcome != ReserveOutcome::kNeedsGrant || denied ||
      now >= waiter->deadline)
    return Refuse(waiter);
  Wait(waiter);
}

void LedgerHost::Refuse(const std::shared_ptr<Waiter>& waiter) {
  if (std::exchange(waiter->done, true))
    return;
  waiter->decided(false);
}

void LedgerHost::Wait(const std::shared_ptr<Waiter>& waiter) {
  const MonotonicTime now = parts_.queue->now();
  const std::string& budget = NameOf(waiter->request);
  waiters_[budget].push_back(waiter);
  ledger_.AddGrantRequest(budget, waiter->request.bound);
  parts_.queue->After(waiter->deadline - now,
                      IfRunning([this, waiter] { Refuse(waiter); }));
  if (std::exchange(draw_requested_, true))
    return;
  parts_.queue->After({}, IfRunning([this] {
                        draw_requested_ = false;
                        Draw();
                      }));
}

void LedgerHost::Wake(const std::string& budget) {
  denials_.erase(budget);
  auto it = waiters_.find(budget);
  if (it == waiters_.end())
    return;
  const std::vector<std::shared_ptr<Waiter>> woken = std::move(it->second);
  waiters_.erase(it);
  for (const std::shared_ptr<Waiter>& waiter : woken)
    TryReserve(waiter);
}

void LedgerHost::Grant(const std::string& budget, std::int64_t granted_total) {
  ledger_.ApplyGrant(budget, granted_total);
  Wake(budget);
}

void LedgerHost::Deny(const std::string& budget, std::int64_t missing) {
  const std::int64_t available = std::max<std::int64_t>(Available(budget), 0);
  const std::int64_t min_bound = AddSaturated(available, missing);
  denials_[budget] = {min_bound, parts_.queue->now() + Seconds(kDenialSeconds)};
  std::vector<std::shared_ptr<Waiter>>& waiters = waiters_[budget];
  std::erase_if(waiters, [&](const std::shared_ptr<Waiter>& it) {
    if (it->request.bound >= min_bound)
      Refuse(it);
    return it->done;
  });
  if (waiters.empty())
    waiters_.erase(budget);
}

void LedgerHost::Settle(const TraceRequest& request) {
  auto it = reservations_.find(request.id);
  if (it == reservations_.end())
    return;
  Bill bill;
  bill.request_id = "request-" + std::to_string(request.id);
  bill.team = bill.budget = NameOf(request);
  bill.service = "chat";
  bill.tokens = request.used;
  ledger_.Settle(it->second, bill, parts_.queue->now());
  reservations_.erase(it);
}

void LedgerHost::Call(PlatformCall call, PlatformModel::Done done) {
  const std::string name = call.name;
  const std::size_t written = call.value.size();
  parts_.platform->Call(parts_.host, std::move(call),
                        [this, self = shared_from_this(), name, written,
                         done = std::move(done)](const PlatformAnswer& answer) {
                          if (self->terminated_)
                            return;
                          if (answer.reason.code == ResultCode::kOk &&
                              !name.starts_with(kBillPrefix))
                            copied_object_bytes_[name] =
                                std::max(written, answer.value.size());
                          done(answer);
                        });
}

void LedgerHost::GiveBack(bool all) {
  ledger_.GiveBackIdle(parts_.queue->now(), all);
}

void LedgerHost::Flush(bool all, std::function<void()> done) {
  closing_ = all;
  GiveBack(all);
  FlushBills(std::make_shared<BillFlush>(parts_.DomainName()), std::move(done));
}

void LedgerHost::OnBillsFlushed(std::function<void()> done) {
  const MonotonicTime now = parts_.queue->now();
  if (!closing_ && now < counters_due_)
    return done();
  counters_due_ = now + Seconds(parts_.size.counters_seconds);
  FlushCounters(std::move(done));
}

void LedgerHost::FlushBills(std::shared_ptr<BillFlush> flush,
                            std::function<void()> done) {
  // A write that is certain to fail would only take simulated time.
  if (!parts_.platform->IsReachable(parts_.host))
    return OnBillsFlushed(std::move(done));
  std::optional<PlatformCall> call = flush->NextCall(ledger_);
  if (!call)
    return OnBillsFlushed(std::move(done));
  Call(std::move(*call), [this, flush, done](const PlatformAnswer& answer) {
    flush->HandleAnswer(answer, ledger_);
    FlushBills(flush, done);
  });
}

TokensOf LedgerHost::Held() const {
  TokensOf held;
  for (const auto& [name, it] : ledger_.Snapshot())
    held[name] = it.counters.Outstanding();
  return held;
}

TokensOf LedgerHost::Unbilled() const {
  TokensOf tokens;
  for (const Bill& it :
       ledger_.UnconfirmedBills(std::numeric_limits<std::size_t>::max()))
    tokens[it.budget] += it.tokens;
  return tokens;
}

std::size_t LedgerHost::MemoryBytes() const {
  std::size_t bytes = ledger_.unconfirmed_bills() * kBillBytes;
  for (const auto& [name, size] : copied_object_bytes_)
    bytes += size;
  return bytes + ledger_.Snapshot().size() * kLedgerBudgetBytes;
}

}  // namespace turmericwinch
