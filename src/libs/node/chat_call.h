// One chat completion on its way to its targets and back to its caller.

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

// Runs on a traffic thread. A stream that breaks is resumed after the last
// token that the caller got; the caller sees each token once.
class ChatCall {
 public:
  ChatCall(NodeContext& node,
           const Caller& caller,
           const ServiceConfig& service,
           ChatRequest request,
           TokenReservation reserved,
           HttpExchange& exchange);

  // For a call with a key. `claim`, which must outlive the call, is asked
  // before the first send; `answer` gets what the caller gets, to the end of
  // the answer even if the caller goes.
  void SetKeyed(ClaimSession* claim, std::shared_ptr<SharedAnswer> answer);

  // Tries targets until one answers or the attempts are used up.
  boost::asio::awaitable<ResultCode> Run();

  // Whether a part of an answer was delivered and billed, and whether the
  // answer was whole.
  bool answer_started() const { return answer_started_; }
  bool whole() const { return whole_answer_; }

 private:
  // How an attempt on one target ended.
  enum class AttemptEnd {
    kWhole,
    kCallerGone,
    // The target may be asked again over a fresh connection.
    kConnectionFailed,
    kTargetFailed,
    // The target took the request and is not there any more.
    kTargetLost,
  };

  // Whether attempt `n` may be made.
  bool MayTry(int n);
  // The target of the first attempt; waits for one.
  boost::asio::awaitable<std::optional<TargetChoice>> ChooseFirst();
  std::optional<TargetChoice> Choose(std::set<std::string>& excluded);
  ProgressTimeouts Limits() const;
  ResultCode EndForGoneCaller();
  boost::asio::awaitable<AttemptEnd> Attempt(const TargetChoice& choice);
  boost::asio::awaitable<AttemptEnd> Relay(HttpStream& stream,
                                           const TargetChoice& choice);
  boost::asio::awaitable<AttemptEnd> ReadWhole(HttpStream& stream,
                                               const TargetChoice& choice);
  // Sorts events out; false if the stream must not be read on.
  bool TakeEvents(SseParser& parser,
                  const TargetChoice& choice,
                  std::string& out);
  // Starts the answer to the caller; its head goes out with the first events.
  void StartAnswer();
  // Sends events to the caller; false if it is gone and no other may come.
  boost::asio::awaitable<bool> Deliver(const std::string& events);
  // Whether the claim, if there is one, still allows the first send.
  bool MaySend();
  // Notes a failed attempt, and that the request may have run.
  void NoteFailure(const TargetChoice& choice,
                   const std::string& text,
                   bool may_have_run);
  void NoteFault(AnswerVerdict verdict, const TargetChoice& choice);
  // Finds out whether a silent target or just its connection is to blame.
  boost::asio::awaitable<AttemptEnd> Probe(
      const boost::asio::ip::tcp::endpoint& endpoint,
      const HttpFailure& failure);
  boost::asio::awaitable<void> Cancel(const TargetChoice& choice);
  boost::asio::awaitable<ResultCode> Finish();
  boost::asio::awaitable<ResultCode> GiveUp();
  HttpClient& client() const;

  NodeContext& node_;
  const Caller& caller_;
  const ServiceConfig& service_;
  ChatRequest request_;
  TokenReservation reserved_;
  HttpExchange& exchange_;
  std::chrono::steady_clock::time_point deadline_;
  std::string digest_;
  RoutingRequest wish_;
  // Of the attempt under way.
  std::optional<AttemptMeter> meter_;
  ChatProgress progress_;
  Refusal refusal_;
  std::string whole_;
  ClaimSession* claim_ = nullptr;
  std::shared_ptr<SharedAnswer> answer_;
  bool caller_gone_ = false;
  bool answer_started_ = false;
  bool whole_answer_ = false;
  bool ended_ = false;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_CHAT_CALL_H_
