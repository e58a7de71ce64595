#include "apps/measure_budget/checked_host.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "apps/measure_budget/model_constants.h"
#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"

namespace turmericwinch {

namespace {

void Add(std::map<std::string, CheckedBudget>& sum,
         const std::map<std::string, CheckedBudget>& part) {
  for (const auto& [name, it] : part) {
    sum[name].reserved += it.reserved;
    sum[name].spent += it.spent;
  }
}

}  // namespace

void CheckedHost::Request(const TraceRequest& request,
                          std::function<void(bool)> decided) {
  const std::uint64_t number = BucketOf(NameOf(request));
  buckets_[number].checks.push_back(
      {request, std::move(decided),
       parts_.queue->now() + Seconds(kGrantWaitSeconds)});
  StartNext(number);
}

void CheckedHost::Settle(const TraceRequest& request) {
  const std::string& name = NameOf(request);
  CheckedBudget& it = buckets_[BucketOf(name)].settled[name];
  it.reserved += request.bound;
  it.spent += request.used;
  open_reservations_[name] -= request.bound;
  LedgerHost::Settle(request);
}

void CheckedHost::FlushCounters(std::function<void()> done) {
  for (const auto& [number, it] : buckets_) {
    if (!it.settled.empty() || it.outcome_unknown)
      StartNext(number);
  }
  done();
}

void CheckedHost::StartNext(std::uint64_t number) {
  Bucket& bucket = buckets_[number];
  if (bucket.busy)
    return;
  if (bucket.checks.empty() && bucket.settled.empty() &&
      !bucket.outcome_unknown)
    return;
  bucket.busy = true;
  bucket.read_in_round = false;
  bucket.attempts = 0;
  if (bucket.has_copy && !bucket.outcome_unknown)
    return Write(number);
  Read(number, {});
}

void CheckedHost::Read(std::uint64_t number, SimDuration pause) {
  PlatformCall call{
      .verb = PlatformVerb::kGet,
      .name = kCheckedPrefix + std::to_string(number),
      .pause = std::chrono::duration_cast<std::chrono::milliseconds>(pause)};
  Call(std::move(call), [this, number](const PlatformAnswer& answer) {
    HandleRead(number, answer);
  });
}

void CheckedHost::HandleRead(std::uint64_t number,
                             const PlatformAnswer& answer) {
  Bucket& bucket = buckets_[number];
  const ResultCode code = answer.reason.code;
  if (code != ResultCode::kOk && code != ResultCode::kPlatformNotFound)
    return Fail(number);
  bucket.has_copy = bucket.read_in_round = true;
  bucket.exists = code == ResultCode::kOk;
  bucket.version = answer.version;
  bucket.state = CheckedBucket::Parse(answer.value);
  if (bucket.outcome_unknown) {
    const std::deque<std::string>& writes = bucket.state.writes;
    if (std::find(writes.begin(), writes.end(), bucket.write_id) !=
        writes.end())
      return OnWritten(number);
    RevertSent(bucket);
  }
  Write(number);
}

void CheckedHost::RevertSent(Bucket& bucket) {
  Add(bucket.settled, std::exchange(bucket.sent, {}));
  if (bucket.check && !bucket.check->refused)
    bucket.checks.push_front(std::move(*bucket.check));
  bucket.check.reset();
  bucket.outcome_unknown = false;
}

// Adds the first check for which the budget has enough tokens to the planned
// write. Returns false if the bucket has to be read before a request is
// refused.
bool CheckedHost::PlanCheck(Bucket& bucket) {
  while (!bucket.checks.empty() && !bucket.check) {
    Check& it = bucket.checks.front();
    const std::string& name = NameOf(it.request);
    CheckedBudget& budget = bucket.planned.budgets[name];
    const std::int64_t paid = parts_.setting_of(name)->tokens;
    if (parts_.queue->now() < it.deadline &&
        paid - budget.reserved - budget.spent >= it.request.bound) {
      budget.reserved += it.request.bound;
      bucket.check = std::move(it);
    } else if (bucket.read_in_round || parts_.queue->now() >= it.deadline) {
      it.decided(false);
    } else {
      return false;
    }
    bucket.checks.pop_front();
  }
  return true;
}

void CheckedHost::Write(std::uint64_t number) {
  Bucket& bucket = buckets_[number];
  bucket.planned = bucket.state;
  for (const auto& [name, it] : bucket.settled) {
    bucket.planned.budgets[name].reserved -= it.reserved;
    bucket.planned.budgets[name].spent += it.spent;
  }
  if (!PlanCheck(bucket))
    return Read(number, {});
  bucket.sent = std::exchange(bucket.settled, {});
  if (!bucket.check && bucket.sent.empty()) {
    bucket.busy = false;
    return StartNext(number);
  }
  bucket.write_id = parts_.holder + "-" + std::to_string(next_write_++);
  bucket.planned.writes.push_back(bucket.write_id);
  PlatformCall call{
      bucket.exists ? PlatformVerb::kUpdate : PlatformVerb::kCreate,
      kCheckedPrefix + std::to_string(number),
      bucket.version,
      bucket.planned.ToText(),
      {}};
  Call(std::move(call), [this, number](const PlatformAnswer& answer) {
    HandleWrite(number, answer);
  });
}

void CheckedHost::HandleWrite(std::uint64_t number,
                              const PlatformAnswer& answer) {
  Bucket& bucket = buckets_[number];
  if (answer.reason.code == ResultCode::kOk) {
    bucket.state = std::move(bucket.planned);
    bucket.version = answer.version;
    bucket.exists = true;
    return OnWritten(number);
  }
  bucket.outcome_unknown = answer.reason.code == ResultCode::kPlatformUnknown;
  if (!bucket.outcome_unknown)
    RevertSent(bucket);
  if (!NeedsReread(answer.reason.code) ||
      ++bucket.attempts >= kMaxWriteAttempts)
    return Fail(number);
  Read(number, kWriteRetryPause * bucket.attempts);
}

void CheckedHost::OnWritten(std::uint64_t number) {
  Bucket& bucket = buckets_[number];
  bucket.outcome_unknown = false;
  bucket.sent.clear();
  std::optional<Check> check = std::exchange(bucket.check, std::nullopt);
  bucket.busy = false;
  if (check) {
    const std::string& name = NameOf(check->request);
    if (check->refused || parts_.queue->now() >= check->deadline) {
      bucket.settled[name].reserved += check->request.bound;
      Decide(*check, false);
    } else {
      Decide(*check, true);
    }
  }
  StartNext(number);
}

void CheckedHost::Fail(std::uint64_t number) {
  Bucket& bucket = buckets_[number];
  bucket.has_copy = false;
  bucket.busy = false;
  const std::deque<Check> checks = std::exchange(bucket.checks, {});
  if (bucket.check && !std::exchange(bucket.check->refused, true))
    bucket.check->decided(false);
  for (const Check& it : checks)
    it.decided(false);
}

void CheckedHost::Decide(const Check& check, bool reserved) {
  if (!reserved) {
    if (!check.refused)
      check.decided(false);
    return;
  }
  const std::string& name = NameOf(check.request);
  open_reservations_[name] += check.request.bound;
  // Under this policy the ledger serves only to keep the bills.
  ledger_.ApplyGrant(name,
                     ledger_.Counters(name).granted + check.request.bound);
  LedgerHost::Request(check.request, check.decided);
}

TokensOf CheckedHost::Held() const {
  return open_reservations_;
}

}  // namespace turmericwinch
