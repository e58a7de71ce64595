#include "libs/gateway/call_quarantine.h"

#include <optional>

#include "libs/base/digest.h"

namespace turmericwinch {

void CallQuarantine::SetCall(const ResolvedCall& resolved) {
  team_ = resolved.routing_request.team;
  shared_parts_ = SharedPartIds(*resolved.call);
}

const std::string& CallQuarantine::Digest() {
  if (digest_.empty()) {
    digest_ = Sha256Hex(team_ + "\n" + request_.method + " " + request_.target +
                        "\n" + request_.body);
  }
  return digest_;
}

bool CallQuarantine::Passes(Reason* reason) {
  const std::optional<PromptPartId> part =
      quarantine_.FindQuarantinedPart(shared_parts_);
  if (part) {
    *reason = {ResultCode::kQuarantined,
               "the prompt part " + PartIdsText({*part}) +
                   " is quarantined: targets crashed on requests with it"};
    return false;
  }
  if (!quarantine_.HasSuspects() || !quarantine_.IsQuarantined(Digest()))
    return true;
  *reason = {ResultCode::kQuarantined,
             "the request is quarantined: targets crashed while they ran it"};
  return false;
}

void CallQuarantine::RecordLoss(const TargetChoice& choice,
                                bool connection_closed,
                                std::chrono::steady_clock::time_point sent) {
  quarantine_.OnLost({Digest(), choice.name, choice.incarnation,
                      connection_closed ? choice.address : std::string(),
                      shared_parts_, sent});
}

void CallQuarantine::RecordAnswer() {
  if (quarantine_.HasSuspects())
    quarantine_.OnAnswered(Digest());
}

void CallQuarantine::RecordAnsweredParts() {
  quarantine_.OnPartsAnswered(shared_parts_);
}

void CallQuarantine::RecordBegunParts() {
  quarantine_.OnPartsBegun(shared_parts_);
}

}  // namespace turmericwinch
