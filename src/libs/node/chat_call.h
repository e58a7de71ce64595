// Runs one chat completion: sends it to targets and relays the answer.

#ifndef SRC_LIBS_NODE_CHAT_CALL_H_
#define SRC_LIBS_NODE_CHAT_CALL_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <optional>
#include <set>
#include <string>

#include "libs/delivery/chat_progress.h"
#include "libs/delivery/claim_session.h"
#include "libs/delivery/progress_timeouts.h"
#include "libs/http/http_client.h"
#include "libs/http/http_server.h"
#include "libs/http/sse_parser.h"
#include "libs/node/admission.h"
#include "libs/node/attempt_meter.h"
#include "libs/node/chat_request.h"
#include "libs/node/shared_answer.h"
#include "libs/routing/target_table.h"

namespace turmericwinch {

// Runs on a traffic thread. A broken stream is resumed after the last token
// that the caller received, so the caller receives each token exactly once.
class ChatCall {
 public:
  ChatCall(NodeContext& node,
           const Caller& caller,
           const ServiceConfig& service,
           ChatRequest request,
           TokenReservation reserved,
           HttpExchange& exchange);

  // Must be called before Run() for a call with an idempotency key. `claim` is
  // checked before the first send and must outlive the call. `answer` receives
  // everything that is sent to the caller, and the rest of the answer if the
  // caller disconnects.
  void SetClaim(ClaimSession* claim, std::shared_ptr<SharedAnswer> answer);

  // Tries targets until one answers completely or no attempts are left.
  boost::asio::awaitable<ResultCode> Run();

  // Whether any part of an answer was delivered and billed, and whether the
  // answer was complete.
  bool answer_started() const { return answer_started_; }
  bool answer_complete() const { return answer_complete_; }

 private:
  // How an attempt on one target ended.
  enum class AttemptResult {
    kComplete,
    kCallerDisconnected,
    // Only the connection failed; the target may be retried over a new one.
    kConnectionFailed,
    kTargetFailed,
    // The target's process ended while it had the request.
    kTargetLost,
  };

  // Whether attempt `n` may be made.
  bool MayAttempt(int n);
  // Waits for a target for the first attempt.
  boost::asio::awaitable<std::optional<TargetChoice>> WaitForFirstTarget();
  std::optional<TargetChoice> ChooseNextTarget(std::set<std::string>& excluded);
  ProgressTimeouts RemainingTimeouts() const;
  ResultCode FinishWithoutCaller();
  boost::asio::awaitable<AttemptResult> RunAttempt(const TargetChoice& choice);
  boost::asio::awaitable<AttemptResult> RelayStream(HttpStream& stream,
                                                    const TargetChoice& choice);
  boost::asio::awaitable<AttemptResult> ReadWholeAnswer(
      HttpStream& stream,
      const TargetChoice& choice);
  // Appends valid events to `out`. Returns false if the stream is invalid and
  // must not be read further.
  bool CollectEvents(SseParser& parser,
                     const TargetChoice& choice,
                     std::string& out);
  // Starts the answer to the caller; its head is sent with the first events.
  void StartAnswer();
  // Sends events to the caller. Returns false if the caller has disconnected
  // and no later request can ask for the answer.
  boost::asio::awaitable<bool> DeliverEvents(const std::string& events);
  // Whether the claim, if any, still allows the first send.
  bool ClaimAllowsSend();
  // Records a failed attempt and whether the request may have run.
  void RecordFailure(const TargetChoice& choice,
                     const std::string& text,
                     bool may_have_run);
  void RecordInvalidAnswer(AnswerVerdict verdict, const TargetChoice& choice);
  // Checks whether the target itself or only the connection failed.
  boost::asio::awaitable<AttemptResult> ProbeAfterFailure(
      const boost::asio::ip::tcp::endpoint& endpoint,
      const HttpFailure& failure);
  boost::asio::awaitable<void> CancelAttempt(const TargetChoice& choice);
  boost::asio::awaitable<ResultCode> FinishAnswer();
  boost::asio::awaitable<ResultCode> FinishWithFailure();
  HttpClient& client() const;

  NodeContext& node_;
  const Caller& caller_;
  const ServiceConfig& service_;
  ChatRequest request_;
  TokenReservation reserved_;
  HttpExchange& exchange_;
  std::chrono::steady_clock::time_point deadline_;
  std::string quarantine_digest_;
  RoutingRequest routing_request_;
  // Measures the current attempt.
  std::optional<AttemptMeter> meter_;
  ChatProgress progress_;
  Refusal refusal_;
  std::string body_;
  ClaimSession* claim_ = nullptr;
  std::shared_ptr<SharedAnswer> answer_;
  bool caller_disconnected_ = false;
  bool answer_started_ = false;
  bool answer_complete_ = false;
  bool stream_ended_ = false;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_CHAT_CALL_H_
