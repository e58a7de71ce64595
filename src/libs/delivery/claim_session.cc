#include "libs/delivery/claim_session.h"

#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

std::optional<ClaimRefusal> RefusalOf(const ClaimRecord& found,
                                      const std::string& body_digest,
                                      std::int64_t now_ms) {
  if (found.body_digest != body_digest) {
    return ClaimRefusal{{ResultCode::kKeyReused,
                         "the idempotency key was used for another request"},
                        RanState::kNotRun};
  }
  if (found.outcome == ClaimOutcome::kDone) {
    if (found.answer)
      return std::nullopt;
    return ClaimRefusal{{ResultCode::kOutcomeUnknown,
                         "the request ran, but its answer is not stored"},
                        RanState::kRan};
  }
  const std::int64_t end_ms = found.deadline_ms + kClaimClockSlack.count();
  if (found.outcome == ClaimOutcome::kOpen && now_ms < end_ms) {
    return ClaimRefusal{{ResultCode::kInProgress,
                         "an attempt with this key is in progress; retry "
                         "later for its answer"},
                        RanState::kUnknown};
  }
  return ClaimRefusal{{ResultCode::kOutcomeUnknown,
                       "the outcome of an earlier attempt with this key is "
                       "unknown, so the request is not run again"},
                      RanState::kUnknown};
}

ClaimSession::ClaimSession(std::string name, ClaimRecord record, Time start)
    : name_(std::move(name)), record_(std::move(record)), start_(start) {}

void ClaimSession::OnCreated(StoreVersion version) {
  version_ = version;
  step_ = ClaimStep::kHeld;
}

void ClaimSession::OnCreateFailed(const Reason& reason) {
  exists_ = reason.code == ResultCode::kPlatformExists;
  create_unresolved_ = reason.code == ResultCode::kPlatformUnknown;
  if (exists_ || create_unresolved_) {
    step_ = ClaimStep::kRead;
    return;
  }
  Refuse(ResultCode::kClaimUnavailable,
         "the request could not be claimed, so it was not run: " + reason.text,
         RanState::kNotRun);
}

void ClaimSession::OnRead(StoreVersion version,
                          const std::optional<ClaimRecord>& found,
                          std::int64_t now_ms) {
  if (!found) {
    Refuse(ResultCode::kOutcomeUnknown,
           "the claim on this idempotency key is malformed",
           RanState::kUnknown);
    return;
  }
  if (found->owner == record_.owner) {
    create_unresolved_ = false;
    OnCreated(version);
    return;
  }
  // Another attempt's claim exists. While it does, a create call whose result
  // is unknown can't succeed.
  std::optional<ClaimRefusal> refusal =
      RefusalOf(*found, record_.body_digest, now_ms);
  if (refusal) {
    Refuse(refusal->reason.code, refusal->reason.text, refusal->ran);
    return;
  }
  stored_claim_ = *found;
  step_ = ClaimStep::kReplay;
}

void ClaimSession::OnReadFailed(const Reason& reason) {
  ++reads_;
  if (reads_ < kMaxClaimReads)
    return;
  // An existing claim may belong to an attempt that ran.
  Refuse(ResultCode::kClaimUnavailable,
         (exists_ ? "the claim on this idempotency key could not be read: "
                  : "the request could not be claimed, so it was not run: ") +
             reason.text,
         exists_ ? RanState::kUnknown : RanState::kNotRun);
}

bool ClaimSession::MaySend(Time now) {
  if (step_ != ClaimStep::kHeld)
    return false;
  if (now - start_ <= kClaimSendWindow)
    return true;
  Refuse(ResultCode::kClaimUnavailable,
         "the claim was too old to send the request, so it was not run",
         RanState::kNotRun);
  return false;
}

bool ClaimSession::NeedsAbandon() const {
  return step_ == ClaimStep::kRefuse &&
         (version_.IsSet() || create_unresolved_);
}

void ClaimSession::Refuse(ResultCode code, std::string text, RanState ran) {
  step_ = ClaimStep::kRefuse;
  reason_ = {code, std::move(text)};
  ran_ = ran;
}

}  // namespace turmericwinch
