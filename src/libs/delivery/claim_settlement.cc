#include "libs/delivery/claim_settlement.h"

#include <algorithm>

#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

ClaimSettlement::ClaimSettlement(std::string name,
                                 StoreVersion version,
                                 ClaimRecord record,
                                 SettleStep write,
                                 Time now)
    : name_(std::move(name)),
      version_(version),
      record_(std::move(record)),
      write_(write),
      step_(version.IsSet() ? write : SettleStep::kRead),
      give_up_time_(now + kSettleTimeout) {}

ClaimSettlement ClaimSettlement::Record(std::string name,
                                        StoreVersion version,
                                        ClaimRecord record,
                                        Time now) {
  return {std::move(name), version, std::move(record), SettleStep::kUpdate,
          now};
}

ClaimSettlement ClaimSettlement::Abandon(std::string name,
                                         StoreVersion version,
                                         ClaimRecord record,
                                         Time now) {
  return {std::move(name), version, std::move(record), SettleStep::kDelete,
          now};
}

std::size_t ClaimSettlement::AnswerBytes() const {
  return record_.answer ? record_.answer->size() : 0;
}

void ClaimSettlement::DropAnswer() {
  record_.answer.reset();
}

void ClaimSettlement::OnWritten(ResultCode code, Time now) {
  if (code == ResultCode::kOk) {
    step_ = SettleStep::kDone;
    return;
  }
  if (code == ResultCode::kPlatformUnavailable ||
      code == ResultCode::kPlatformLimited) {
    RetryLater(now);
    return;
  }
  if (code == ResultCode::kPlatformRejected) {
    step_ = SettleStep::kGivenUp;
    return;
  }
  // This write or an earlier one may have taken effect: read the object to find
  // out.
  RetryLater(now);
  if (step_ != SettleStep::kGivenUp)
    step_ = SettleStep::kRead;
}

void ClaimSettlement::OnRead(StoreVersion version,
                             const std::optional<ClaimRecord>& found) {
  if (!found || found->owner != record_.owner ||
      found->outcome != ClaimOutcome::kOpen) {
    const bool is_recorded = found && found->owner == record_.owner;
    const bool is_done = is_recorded || write_ == SettleStep::kDelete;
    step_ = is_done ? SettleStep::kDone : SettleStep::kGivenUp;
    return;
  }
  version_ = version;
  step_ = write_;
}

void ClaimSettlement::OnReadFailed(ResultCode code, Time now) {
  if (code != ResultCode::kPlatformNotFound) {
    RetryLater(now);
    return;
  }
  // A create call whose result is unknown may still take effect.
  ++absent_reads_;
  if (!version_.IsSet() && absent_reads_ < kSettleAbsentReads) {
    RetryLater(now);
    return;
  }
  step_ =
      write_ == SettleStep::kDelete ? SettleStep::kDone : SettleStep::kGivenUp;
}

void ClaimSettlement::RetryLater(Time now) {
  pause_ = std::clamp(pause_ * 2, kFirstSettleDelay, kMaxSettleDelay);
  if (now + pause_ > give_up_time_)
    step_ = SettleStep::kGivenUp;
}

}  // namespace turmericwinch
