#include "apps/measure_budget/platform_model.h"

#include <utility>

#include "apps/measure_budget/model_constants.h"
#include "libs/budget/bill.h"
#include "libs/budget/budget_constants.h"

namespace turmericwinch {

PlatformModel::PlatformModel(EventQueue& queue, const FleetSize& size)
    : queue_(queue),
      size_(size),
      random_(size.seed + 1),
      loss_share_(kLossShare),
      host_bytes_(size.hosts) {
  store_.fault_of = [this](const PlatformCall&) { return NextFault(); };
}

PlatformFault PlatformModel::NextFault() {
  const double sample = std::uniform_real_distribution<>(0, 1)(random_);
  if (sample < loss_share_)
    return PlatformFault::kAnswerLost;
  return sample < 2 * loss_share_ ? PlatformFault::kCallLost
                                  : PlatformFault::kNone;
}

void PlatformModel::EndFaults() {
  loss_share_ = 0;
  store_.down = false;
  partitioned_domains_.clear();
}

void PlatformModel::SetPartitioned(std::size_t domain, bool partitioned) {
  if (partitioned)
    partitioned_domains_.insert(domain);
  else
    partitioned_domains_.erase(domain);
}

void PlatformModel::CountCall(const PlatformCall& call) {
  if (call.verb == PlatformVerb::kGet)
    ++load_.reads;
  else if (call.name.starts_with(kBillPrefix))
    ++load_.bill_writes;
  else if (call.name.starts_with(kShardPrefix))
    ++load_.shard_writes;
  else
    ++load_.account_writes;
}

// The platform refuses a segment that already exists, so each counts once.
void PlatformModel::CountBills(const PlatformCall& call) {
  Reason reason;
  const std::optional<std::vector<Bill>> bills =
      ParseBills(call.value, &reason);
  for (const Bill& it : bills.value())
    billed_[it.budget] += it.tokens;
}

void PlatformModel::Call(std::size_t host, PlatformCall call, Done done) {
  const SimDuration arrival_delay =
      call.pause + Seconds(kCallRoundTripSeconds / 2);
  queue_.After(arrival_delay,
               [this, host, call = std::move(call), done = std::move(done)] {
                 OnArrival(host, call, done);
               });
}

void PlatformModel::OnArrival(std::size_t host,
                              const PlatformCall& call,
                              const Done& done) {
  PlatformAnswer answer;
  if (IsPartitioned(size_.DomainOf(host))) {
    answer.reason = {ResultCode::kPlatformUnavailable,
                     "the failure domain is partitioned"};
  } else {
    if (!store_.down) {
      CountCall(call);
      host_bytes_[host] += kCallBytes + call.value.size();
    }
    const std::size_t objects = store_.objects.size();
    answer = store_.Call(call);
    if (store_.objects.size() > objects && call.name.starts_with(kBillPrefix))
      CountBills(call);
    host_bytes_[host] += answer.value.size();
    // Confirmed bills are never read again in the simulation, so only their
    // names are kept.
    if (answer.reason.code == ResultCode::kOk &&
        call.verb == PlatformVerb::kCreate &&
        call.name.starts_with(kBillPrefix))
      store_.objects[call.name].value.clear();
  }
  const bool lost = answer.reason.code == ResultCode::kPlatformUnknown;
  queue_.After(Seconds(lost ? kLostCallSeconds : kCallRoundTripSeconds / 2),
               [answer = std::move(answer), done] { done(answer); });
}

}  // namespace turmericwinch
