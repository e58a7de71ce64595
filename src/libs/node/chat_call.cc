#include "libs/node/chat_call.h"

#include <boost/asio.hpp>
#include <boost/json/serialize.hpp>

#include "libs/base/log.h"
#include "libs/delivery/delivery_constants.h"
#include "libs/http/http_constants.h"
#include "libs/node/chat_target.h"
#include "libs/node/chat_wish.h"
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

}  // namespace

ChatCall::ChatCall(NodeContext& node,
                   const Caller& caller,
                   const ServiceConfig& service,
                   ChatRequest request,
                   ReservedTokens reserved,
                   HttpExchange& exchange)
    : node_(node),
      caller_(caller),
      service_(service),
      request_(std::move(request)),
      reserved_(std::move(reserved)),
      exchange_(exchange),
      deadline_(steady_clock::now() + service.deadline),
      digest_(QuarantineManager::RequestDigest(caller.team->name,
                                               json::serialize(request_.body))),
      wish_(ChatWishOf(service.name, request_)),
      progress_(caller.record->run_id, caller.request_id, request_.max_tokens) {
  wish_.team = caller.team->name;
  wish_.share = caller.team->share;
}

void ChatCall::SetKeyed(ClaimSession* claim,
                        std::shared_ptr<SharedAnswer> answer) {
  claim_ = claim;
  answer_ = std::move(answer);
}

asio::awaitable<ResultCode> ChatCall::Run() {
  std::set<std::string> excluded;
  std::set<std::string> asked_again;
  for (int n = 0; n < kTargetAttempts && MayTry(n); ++n) {
    std::optional<TargetChoice> choice;
    if (n == 0)
      choice = co_await ChooseFirst();
    else
      choice = Choose(excluded);
    if (!choice)
      break;
    if (answer_started_)
      node_.metrics.CountEvent(DeliveryEvent::kResumedStream);
    meter_.emplace(*node_.targets, *choice);
    if (n == 0 && !MaySend())
      break;
    caller_.record->attempts.push_back({choice->name, ""});
    progress_.StartAttempt();
    const AttemptEnd end = co_await Attempt(*choice);
    if (end == AttemptEnd::kWhole)
      meter_->Judge(AttemptOutcome::kGood);
    else if (end == AttemptEnd::kTargetLost)
      meter_->Judge(AttemptOutcome::kFailed);
    else if (end != AttemptEnd::kTargetFailed)
      meter_->Judge(AttemptOutcome::kNoVerdict);
    meter_.reset();
    if (end == AttemptEnd::kWhole)
      co_return co_await Finish();
    if (end == AttemptEnd::kTargetLost)
      node_.quarantine->OnLost(digest_, choice->name);
    else if (end == AttemptEnd::kCallerGone || answer_started_)
      co_await Cancel(*choice);
    if (end == AttemptEnd::kCallerGone)
      co_return EndForGoneCaller();
    const bool again = end == AttemptEnd::kConnectionFailed &&
                       asked_again.insert(choice->name).second;
    if (!again)
      excluded.insert(choice->name);
  }
  co_return co_await GiveUp();
}

ResultCode ChatCall::EndForGoneCaller() {
  reserved_.Settle(caller_, service_.name, progress_.BilledTokens());
  exchange_.Abort();
  return ResultCode::kCallerGone;
}

bool ChatCall::MaySend() {
  if (!claim_ || claim_->MaySend(steady_clock::now()))
    return true;
  refusal_ = MakeRefusal(claim_->reason(), claim_->ran());
  meter_.reset();
  return false;
}

bool ChatCall::MayTry(int n) {
  if (node_.quarantine->IsQuarantined(digest_)) {
    refusal_ = MakeRefusal(
        {ResultCode::kQuarantined, "targets were lost that ran this request"},
        refusal_.ran);
    return false;
  }
  if (n > 0)
    return node_.quarantine->TakeRetry();
  node_.quarantine->OnRequest();
  return true;
}

asio::awaitable<std::optional<TargetChoice>> ChatCall::ChooseFirst() {
  Reason reason;
  std::optional<TargetChoice> choice =
      co_await node_.targets->Wait(wish_, deadline_, &reason);
  if (!choice)
    refusal_ = MakeRefusal(reason);
  co_return choice;
}

// A stream may also go on where it broke, if there is no other target.
std::optional<TargetChoice> ChatCall::Choose(std::set<std::string>& excluded) {
  Reason reason;
  std::optional<TargetChoice> choice =
      node_.targets->Begin(wish_, excluded, &reason);
  if (!choice && answer_started_ && !excluded.empty()) {
    excluded.clear();
    choice = node_.targets->Begin(wish_, excluded, &reason);
  }
  if (!choice && refusal_.reason.code == ResultCode::kOk)
    refusal_ = MakeRefusal(reason);
  return choice;
}

ProgressTimeouts ChatCall::Limits() const {
  const auto left =
      std::chrono::duration_cast<milliseconds>(deadline_ - steady_clock::now());
  return request_.stream ? StreamTimeouts(request_.prompt_bound, left)
                         : WholeAnswerTimeouts(left);
}

asio::awaitable<ChatCall::AttemptEnd> ChatCall::Attempt(
    const TargetChoice& choice) {
  std::optional<asio::ip::tcp::endpoint> endpoint =
      ParseEndpoint(choice.address);
  if (!endpoint) {
    NoteFailure(choice, "has no sound address", false);
    co_return AttemptEnd::kTargetFailed;
  }
  const ProgressTimeouts limits = Limits();
  const HttpTimeouts timeouts{limits.connect, limits.first_byte,
                              limits.between_tokens};
  const HttpRequest request =
      ChatTargetRequest(caller_, request_.body, progress_);
  HttpFailure failure;
  std::unique_ptr<HttpStream> stream =
      co_await client().Open(*endpoint, request, timeouts, &failure);
  if (!stream) {
    NoteFailure(choice, "failed: " + failure.text, failure.may_have_arrived);
    meter_->Judge(AnswerOfFailure(failure));
    co_return co_await Probe(*endpoint, failure);
  }
  const std::string resumed(stream->headers().Get("X-Resumed-From"));
  const bool resumes =
      progress_.tokens() == 0 || resumed == std::to_string(progress_.tokens());
  if (stream->status() != kStatusOk || !resumes) {
    NoteFailure(choice,
                resumes ? "answered " + std::to_string(stream->status())
                        : "did not resume the stream",
                true);
    if (stream->status() != kStatusOk)
      meter_->Judge(AnswerOfStatus(stream->status(), stream->headers()));
    co_return AttemptEnd::kTargetFailed;
  }
  if (request_.stream)
    co_return co_await Relay(*stream, choice);
  co_return co_await ReadWhole(*stream, choice);
}

asio::awaitable<ChatCall::AttemptEnd> ChatCall::ReadWhole(
    HttpStream& stream,
    const TargetChoice& choice) {
  whole_.clear();
  HttpFailure failure;
  while (!stream.done()) {
    std::optional<std::string> piece =
        co_await stream.ReadSome(Limits().between_tokens, &failure);
    if (!piece || whole_.size() + piece->size() > kHttpMostBodyBytes) {
      NoteFailure(choice, "failed: " + failure.text, true);
      co_return AttemptEnd::kTargetFailed;
    }
    whole_ += *piece;
  }
  const AnswerVerdict verdict = progress_.OnWholeAnswer(whole_);
  if (verdict == AnswerVerdict::kEnd)
    co_return AttemptEnd::kWhole;
  NoteFault(verdict, choice);
  client().DropIdle(*ParseEndpoint(choice.address));
  co_return AttemptEnd::kTargetFailed;
}

asio::awaitable<ChatCall::AttemptEnd> ChatCall::Relay(
    HttpStream& stream,
    const TargetChoice& choice) {
  SseParser parser;
  HttpFailure failure;
  while (!stream.done()) {
    std::optional<std::string> piece =
        co_await stream.ReadSome(Limits().between_tokens, &failure);
    if (!piece)
      break;
    parser.Feed(*piece);
    std::string out;
    const bool sound = TakeEvents(parser, choice, out);
    if (!out.empty())
      meter_->OnTokens(progress_.tokens());
    if (!out.empty()) {
      const bool caller_there = co_await Deliver(out);
      if (!caller_there)
        co_return AttemptEnd::kCallerGone;
    }
    if (ended_)
      co_return AttemptEnd::kWhole;
    if (!sound)
      co_return AttemptEnd::kTargetFailed;
    if (parser.pending_bytes() > kHttpMostBodyBytes)
      break;
  }
  NoteFailure(choice, "broke the answer off: " + failure.text, true);
  co_return co_await Probe(*ParseEndpoint(choice.address), failure);
}

bool ChatCall::TakeEvents(SseParser& parser,
                          const TargetChoice& choice,
                          std::string& out) {
  while (std::optional<std::string> event = parser.Next()) {
    const AnswerVerdict verdict = progress_.OnEvent(*event);
    if (verdict != AnswerVerdict::kPass && verdict != AnswerVerdict::kEnd) {
      NoteFault(verdict, choice);
      return false;
    }
    out += "data: " + progress_.WithCallerId(*event) + "\n\n";
    ended_ = verdict == AnswerVerdict::kEnd;
    if (ended_)
      break;
  }
  return true;
}

asio::awaitable<bool> ChatCall::Deliver(const std::string& events) {
  if (answer_)
    answer_->Append(events);
  if (!caller_gone_) {
    StartAnswer();
    caller_gone_ = !co_await exchange_.Write(events);
  }
  // A caller that named its request may come again for the answer.
  co_return !caller_gone_ || answer_ != nullptr;
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

void ChatCall::NoteFailure(const TargetChoice& choice,
                           const std::string& text,
                           bool may_have_run) {
  LogEvent(kLog, Severity::kWarning, "attempt_failed",
           {{"request", caller_.request_id},
            {"attempt", progress_.attempt_id()},
            {"target", choice.name},
            {"tokens", progress_.tokens()},
            {"reason", text}});
  caller_.record->attempts.back().failure = text;
  meter_->Judge(AttemptOutcome::kFailed);
  const bool unknown = may_have_run || refusal_.ran != RanState::kNotRun;
  refusal_ = MakeRefusal(
      {ResultCode::kTargetFailed, "target " + choice.name + " " + text},
      unknown ? RanState::kUnknown : RanState::kNotRun);
}

void ChatCall::NoteFault(AnswerVerdict verdict, const TargetChoice& choice) {
  DeliveryEvent event = DeliveryEvent::kMalformedAnswer;
  std::string text = "sent an answer without usage or not in JSON";
  if (verdict == AnswerVerdict::kCrossed) {
    event = DeliveryEvent::kCrossedAnswer;
    text = "answered another request";
  } else if (verdict == AnswerVerdict::kLate) {
    event = DeliveryEvent::kLateAnswer;
    text = "answered an earlier attempt";
  }
  node_.metrics.CountEvent(event);
  NoteFailure(choice, text, true);
  meter_->Judge(AttemptOutcome::kWrong);
}

asio::awaitable<ChatCall::AttemptEnd> ChatCall::Probe(
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
    co_return AttemptEnd::kConnectionFailed;
  if (result == ProbeResult::kSilent)
    meter_->Judge(AttemptOutcome::kSilent);
  co_return result == ProbeResult::kLost ? AttemptEnd::kTargetLost
                                         : AttemptEnd::kTargetFailed;
}

// Ends the generation that no one reads any more, and learns its usage.
asio::awaitable<void> ChatCall::Cancel(const TargetChoice& choice) {
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

asio::awaitable<ResultCode> ChatCall::Finish() {
  node_.quarantine->OnAnswered(digest_);
  reserved_.Settle(caller_, service_.name, progress_.BilledTokens());
  whole_answer_ = true;
  bool sent = false;
  if (request_.stream) {
    if (answer_)
      answer_->EndStream(true);
    if (caller_gone_)
      exchange_.Abort();
    else
      sent = co_await exchange_.EndStream();
  } else {
    answer_started_ = true;
    HttpResponse response =
        JsonResponse(kStatusOk, progress_.WithCallerId(whole_));
    if (answer_)
      answer_->EndWith(response);
    response.headers.Add("X-Request-Id", caller_.request_id);
    sent = co_await exchange_.Send(response);
  }
  co_return sent ? ResultCode::kOk : ResultCode::kCallerGone;
}

asio::awaitable<ResultCode> ChatCall::GiveUp() {
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
  co_await Deliver(events);
  if (answer_)
    answer_->EndStream(false);
  if (caller_gone_)
    exchange_.Abort();
  else
    co_await exchange_.EndStream();
  co_return refusal_.reason.code;
}

HttpClient& ChatCall::client() const {
  return *node_.clients[exchange_.thread_index()];
}

}  // namespace turmericwinch
