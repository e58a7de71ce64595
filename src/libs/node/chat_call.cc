#include "libs/node/chat_call.h"

#include <boost/asio.hpp>
#include <boost/json/serialize.hpp>

#include "libs/base/log.h"
#include "libs/delivery/delivery_constants.h"
#include "libs/http/http_constants.h"
#include "libs/node/chat_routing_request.h"
#include "libs/node/chat_target.h"
#include "libs/node/node_constants.h"
#include "libs/node/node_context.h"
#include "libs/node/target_probe.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr LogCategory kLog{"node"};
constexpr int kStatusOk = 200;
// The only method of chat requests.
constexpr std::string_view kChatMethod = "POST";

}  // namespace

ChatCall::ChatCall(NodeContext& node,
                   const Caller& caller,
                   const ServiceConfig& service,
                   ChatRequest request,
                   TokenReservation reserved,
                   HttpExchange& exchange)
    : node_(node),
      caller_(caller),
      service_(service),
      request_(std::move(request)),
      reserved_(std::move(reserved)),
      exchange_(exchange),
      deadline_(steady_clock::now() + service.deadline),
      quarantine_digest_(
          QuarantineManager::RequestDigest(caller.team->name,
                                           json::serialize(request_.body))),
      routing_request_(MakeChatRoutingRequest(service.name, request_)),
      progress_(caller.record->run_id, caller.request_id, request_.max_tokens) {
  routing_request_.team = caller.team->name;
  routing_request_.share = caller.team->share;
  routing_request_.domains = DomainsFor(
      caller, caller.config->Route(service.name, service.name, kChatMethod));
}

void ChatCall::SetClaim(ClaimSession* claim,
                        std::shared_ptr<SharedAnswer> answer) {
  claim_ = claim;
  answer_ = std::move(answer);
}

asio::awaitable<ResultCode> ChatCall::Run() {
  std::set<std::string> excluded;
  std::set<std::string> retried_targets;
  for (int n = 0; n < kMaxTargetAttempts && MayAttempt(n); ++n) {
    std::optional<TargetChoice> choice;
    if (n == 0)
      choice = co_await WaitForFirstTarget();
    else
      choice = ChooseNextTarget(excluded);
    if (!choice)
      break;
    if (answer_started_)
      node_.metrics.CountEvent(DeliveryEvent::kResumedStream);
    meter_.emplace(*node_.targets, *choice);
    if (n == 0 && !ClaimAllowsSend())
      break;
    caller_.record->attempts.push_back({choice->name, ""});
    progress_.StartAttempt();
    const AttemptResult result = co_await RunAttempt(*choice);
    if (result == AttemptResult::kComplete)
      meter_->SetOutcome(AttemptOutcome::kGood);
    else if (result == AttemptResult::kTargetLost)
      meter_->SetOutcome(AttemptOutcome::kFailed);
    else if (result != AttemptResult::kTargetFailed)
      meter_->SetOutcome(AttemptOutcome::kNoVerdict);
    meter_.reset();
    if (result == AttemptResult::kComplete)
      co_return co_await FinishAnswer();
    if (result == AttemptResult::kTargetLost)
      node_.quarantine->OnLost(quarantine_digest_, choice->name);
    else if (result == AttemptResult::kCallerDisconnected || answer_started_)
      co_await CancelAttempt(*choice);
    if (result == AttemptResult::kCallerDisconnected)
      co_return FinishWithoutCaller();
    const bool same_target_again = result == AttemptResult::kConnectionFailed &&
                                   retried_targets.insert(choice->name).second;
    if (!same_target_again)
      excluded.insert(choice->name);
  }
  co_return co_await FinishWithFailure();
}

ResultCode ChatCall::FinishWithoutCaller() {
  reserved_.Settle(caller_, service_.name, progress_.BilledTokens());
  exchange_.Abort();
  return ResultCode::kCallerGone;
}

bool ChatCall::ClaimAllowsSend() {
  if (!claim_ || claim_->MaySend(steady_clock::now()))
    return true;
  refusal_ = MakeRefusal(claim_->reason(), claim_->ran());
  meter_.reset();
  return false;
}

bool ChatCall::MayAttempt(int n) {
  if (node_.quarantine->IsQuarantined(quarantine_digest_)) {
    refusal_ = MakeRefusal(
        {ResultCode::kQuarantined,
         "the request is quarantined: targets ended while running it"},
        refusal_.ran);
    return false;
  }
  if (n > 0)
    return node_.quarantine->TakeRetry();
  node_.quarantine->OnRequest();
  return true;
}

asio::awaitable<std::optional<TargetChoice>> ChatCall::WaitForFirstTarget() {
  Reason reason;
  std::optional<TargetChoice> choice = co_await node_.targets->WaitForTarget(
      routing_request_, deadline_, &reason);
  if (!choice)
    refusal_ = MakeRefusal(reason);
  co_return choice;
}

// A broken stream may be resumed on a target that already failed if there is no
// other one.
std::optional<TargetChoice> ChatCall::ChooseNextTarget(
    std::set<std::string>& excluded) {
  Reason reason;
  std::optional<TargetChoice> choice =
      node_.targets->BeginAttempt(routing_request_, excluded, &reason);
  if (!choice && answer_started_ && !excluded.empty()) {
    excluded.clear();
    choice = node_.targets->BeginAttempt(routing_request_, excluded, &reason);
  }
  if (!choice && refusal_.reason.code == ResultCode::kOk)
    refusal_ = MakeRefusal(reason);
  return choice;
}

ProgressTimeouts ChatCall::RemainingTimeouts() const {
  const auto left =
      std::chrono::duration_cast<milliseconds>(deadline_ - steady_clock::now());
  return request_.stream ? StreamTimeouts(request_.prompt_bound, left)
                         : WholeAnswerTimeouts(left);
}

asio::awaitable<ChatCall::AttemptResult> ChatCall::RunAttempt(
    const TargetChoice& choice) {
  std::optional<asio::ip::tcp::endpoint> endpoint =
      ParseEndpoint(choice.address);
  if (!endpoint) {
    RecordFailure(choice, "has no valid address", false);
    co_return AttemptResult::kTargetFailed;
  }
  const ProgressTimeouts progress_timeouts = RemainingTimeouts();
  const HttpTimeouts timeouts{progress_timeouts.connect,
                              progress_timeouts.first_byte,
                              progress_timeouts.between_tokens};
  const HttpRequest request =
      MakeChatTargetRequest(caller_, request_.body, progress_);
  HttpFailure failure;
  std::unique_ptr<HttpStream> stream =
      co_await client().Open(*endpoint, request, timeouts, &failure);
  if (!stream) {
    RecordFailure(choice, "failed: " + failure.text, failure.may_have_arrived);
    meter_->SetOutcome(OutcomeOfFailure(failure));
    co_return co_await ProbeAfterFailure(*endpoint, failure);
  }
  const std::string resumed(stream->headers().Get("X-Resumed-From"));
  const bool resumes =
      progress_.tokens() == 0 || resumed == std::to_string(progress_.tokens());
  if (stream->status() != kStatusOk || !resumes) {
    RecordFailure(choice,
                  resumes ? "answered " + std::to_string(stream->status())
                          : "did not resume the stream",
                  true);
    if (stream->status() != kStatusOk)
      meter_->SetOutcome(OutcomeOfStatus(stream->status(), stream->headers()));
    co_return AttemptResult::kTargetFailed;
  }
  if (request_.stream)
    co_return co_await RelayStream(*stream, choice);
  co_return co_await ReadWholeAnswer(*stream, choice);
}

asio::awaitable<ChatCall::AttemptResult> ChatCall::ReadWholeAnswer(
    HttpStream& stream,
    const TargetChoice& choice) {
  body_.clear();
  HttpFailure failure;
  while (!stream.done()) {
    std::optional<std::string> part =
        co_await stream.ReadSome(RemainingTimeouts().between_tokens, &failure);
    if (!part || body_.size() + part->size() > kHttpMostBodyBytes) {
      RecordFailure(choice, "failed: " + failure.text, true);
      co_return AttemptResult::kTargetFailed;
    }
    body_ += *part;
  }
  const AnswerVerdict verdict = progress_.OnWholeAnswer(body_);
  if (verdict == AnswerVerdict::kEnd)
    co_return AttemptResult::kComplete;
  RecordInvalidAnswer(verdict, choice);
  client().CloseIdleConnections(*ParseEndpoint(choice.address));
  co_return AttemptResult::kTargetFailed;
}

asio::awaitable<ChatCall::AttemptResult> ChatCall::RelayStream(
    HttpStream& stream,
    const TargetChoice& choice) {
  SseParser parser;
  HttpFailure failure;
  while (!stream.done()) {
    std::optional<std::string> part =
        co_await stream.ReadSome(RemainingTimeouts().between_tokens, &failure);
    if (!part)
      break;
    parser.Feed(*part);
    std::string out;
    const bool valid = CollectEvents(parser, choice, out);
    if (!out.empty())
      meter_->RecordTokens(progress_.tokens());
    if (!out.empty()) {
      const bool caller_connected = co_await DeliverEvents(out);
      if (!caller_connected)
        co_return AttemptResult::kCallerDisconnected;
    }
    if (stream_ended_)
      co_return AttemptResult::kComplete;
    if (!valid)
      co_return AttemptResult::kTargetFailed;
    if (parser.pending_bytes() > kHttpMostBodyBytes)
      break;
  }
  RecordFailure(
      choice,
      "ended the stream before the answer was complete: " + failure.text, true);
  co_return co_await ProbeAfterFailure(*ParseEndpoint(choice.address), failure);
}

bool ChatCall::CollectEvents(SseParser& parser,
                             const TargetChoice& choice,
                             std::string& out) {
  while (std::optional<std::string> event = parser.Next()) {
    const AnswerVerdict verdict = progress_.OnEvent(*event);
    if (verdict != AnswerVerdict::kPass && verdict != AnswerVerdict::kEnd) {
      RecordInvalidAnswer(verdict, choice);
      return false;
    }
    out += "data: " + progress_.WithCallerId(*event) + "\n\n";
    stream_ended_ = verdict == AnswerVerdict::kEnd;
    if (stream_ended_)
      break;
  }
  return true;
}

asio::awaitable<bool> ChatCall::DeliverEvents(const std::string& events) {
  if (answer_)
    answer_->AppendEvents(events);
  if (!caller_disconnected_) {
    StartAnswer();
    caller_disconnected_ = !co_await exchange_.Write(events);
  }
  // A caller that sent an idempotency key may ask for the answer again.
  co_return !caller_disconnected_ || answer_ != nullptr;
}

void ChatCall::StartAnswer() {
  if (answer_started_)
    return;
  answer_started_ = true;
  HttpHeaders headers;
  headers.Add("Content-Type", "text/event-stream");
  headers.Add("Cache-Control", "no-store");
  headers.Add("X-Request-Id", caller_.request_id);
  exchange_.StartStream(kStatusOk, headers);
}

void ChatCall::RecordFailure(const TargetChoice& choice,
                             const std::string& text,
                             bool may_have_run) {
  LogEvent(kLog, Severity::kWarning, "attempt_failed",
           {{"request", caller_.request_id},
            {"attempt", progress_.attempt_id()},
            {"target", choice.name},
            {"tokens", progress_.tokens()},
            {"reason", text}});
  caller_.record->attempts.back().failure = text;
  meter_->SetOutcome(AttemptOutcome::kFailed);
  const bool outcome_unknown =
      may_have_run || refusal_.ran != RanState::kNotRun;
  refusal_ = MakeRefusal(
      {ResultCode::kTargetFailed, "target " + choice.name + " " + text},
      outcome_unknown ? RanState::kUnknown : RanState::kNotRun);
}

void ChatCall::RecordInvalidAnswer(AnswerVerdict verdict,
                                   const TargetChoice& choice) {
  DeliveryEvent event = DeliveryEvent::kMalformedAnswer;
  std::string text = "sent an answer that is not valid JSON or has no usage";
  if (verdict == AnswerVerdict::kCrossed) {
    event = DeliveryEvent::kCrossedAnswer;
    text = "sent an answer to another request";
  } else if (verdict == AnswerVerdict::kLate) {
    event = DeliveryEvent::kLateAnswer;
    text = "sent an answer to an earlier attempt";
  }
  node_.metrics.CountEvent(event);
  RecordFailure(choice, text, true);
  meter_->SetOutcome(AttemptOutcome::kWrong);
}

asio::awaitable<ChatCall::AttemptResult> ChatCall::ProbeAfterFailure(
    const asio::ip::tcp::endpoint& endpoint,
    const HttpFailure& failure) {
  const ProbeResult result =
      co_await ProbeTarget(client(), endpoint, failure, true);
  if (failure.timed_out && failure.phase != HttpPhase::kConnect) {
    node_.metrics.CountEvent(result == ProbeResult::kAlive
                                 ? DeliveryEvent::kSilentConnection
                                 : DeliveryEvent::kSilentTarget);
  }
  if (result == ProbeResult::kAlive)
    co_return AttemptResult::kConnectionFailed;
  if (result == ProbeResult::kSilent)
    meter_->SetOutcome(AttemptOutcome::kSilent);
  co_return result == ProbeResult::kLost ? AttemptResult::kTargetLost
                                         : AttemptResult::kTargetFailed;
}

// Stops a generation that is no longer read and obtains its token usage.
asio::awaitable<void> ChatCall::CancelAttempt(const TargetChoice& choice) {
  std::optional<asio::ip::tcp::endpoint> endpoint =
      ParseEndpoint(choice.address);
  if (!endpoint)
    co_return;
  std::optional<HttpResponse> response =
      co_await CancelChat(client(), *endpoint, progress_.attempt_id());
  if (!response || response->status != kStatusOk)
    co_return;
  if (progress_.OnCancelResponse(response->body))
    node_.metrics.CountEvent(DeliveryEvent::kCancelledStream);
}

asio::awaitable<ResultCode> ChatCall::FinishAnswer() {
  node_.quarantine->OnAnswered(quarantine_digest_);
  reserved_.Settle(caller_, service_.name, progress_.BilledTokens());
  answer_complete_ = true;
  bool sent = false;
  if (request_.stream) {
    if (answer_)
      answer_->EndStream(true);
    if (caller_disconnected_)
      exchange_.Abort();
    else
      sent = co_await exchange_.EndStream();
  } else {
    answer_started_ = true;
    HttpResponse response =
        JsonResponse(kStatusOk, progress_.WithCallerId(body_));
    if (answer_)
      answer_->EndWith(response);
    response.headers.Add("X-Request-Id", caller_.request_id);
    sent = co_await exchange_.Send(response);
  }
  co_return sent ? ResultCode::kOk : ResultCode::kCallerGone;
}

asio::awaitable<ResultCode> ChatCall::FinishWithFailure() {
  caller_.record->reason = refusal_.reason.text;
  if (!answer_started_) {
    if (answer_)
      answer_->EndWith(refusal_);
    co_await exchange_.Send(RefusalResponse(refusal_, caller_.request_id));
    co_return refusal_.reason.code;
  }
  refusal_.ran = RanState::kRan;
  reserved_.Settle(caller_, service_.name, progress_.BilledTokens());
  const std::string events =
      "data: " + RefusalBody(refusal_, caller_.request_id) + "\n\n";
  co_await DeliverEvents(events);
  if (answer_)
    answer_->EndStream(false);
  if (caller_disconnected_)
    exchange_.Abort();
  else
    co_await exchange_.EndStream();
  co_return refusal_.reason.code;
}

HttpClient& ChatCall::client() const {
  return *node_.clients[exchange_.thread_index()];
}

}  // namespace turmericwinch
