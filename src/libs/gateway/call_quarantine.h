// The quarantine as one call sees it.

#ifndef SRC_LIBS_GATEWAY_CALL_QUARANTINE_H_
#define SRC_LIBS_GATEWAY_CALL_QUARANTINE_H_

#include <chrono>
#include <string>
#include <vector>

#include "libs/base/reason.h"
#include "libs/gateway/request_quarantine.h"
#include "libs/gateway/resolved_call.h"
#include "libs/http/http_message.h"

namespace turmericwinch {

// Holds what identifies the call in the quarantine of the host. Used in the
// coroutine of the request's handler.
class CallQuarantine {
 public:
  CallQuarantine(RequestQuarantine& quarantine, const HttpRequest& request)
      : quarantine_(quarantine), request_(request) {}

  // Must be called once the call is resolved, before the functions below.
  void SetCall(const ResolvedCall& resolved);
  // Returns false and sets `reason` to kQuarantined if the request, or others
  // with a part of its prompt, crashed targets.
  bool Passes(Reason* reason);
  // Records that the answer of the target was lost. `connection_closed` is
  // whether the target closed the connection, `sent` when the request was sent.
  void RecordLoss(const TargetChoice& choice,
                  bool connection_closed,
                  std::chrono::steady_clock::time_point sent);
  // Records that a target answered the request.
  void RecordAnswer();
  // Records that a target answered the parts of the prompt: whole, or only the
  // first events.
  void RecordAnsweredParts();
  void RecordBegunParts();

 private:
  // Digest of the request's team and content, computed once: only requests that
  // are suspected, or arrive while others are, need it.
  const std::string& Digest();

  RequestQuarantine& quarantine_;
  const HttpRequest& request_;
  std::string team_;
  std::vector<PromptPartId> shared_parts_;
  std::string digest_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_CALL_QUARANTINE_H_
