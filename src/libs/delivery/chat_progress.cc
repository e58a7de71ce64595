#include "libs/delivery/chat_progress.h"

#include <algorithm>
#include <boost/json/serialize.hpp>

#include "libs/base/json_fields.h"
#include "libs/delivery/attempt_id.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

constexpr std::string_view kStreamEnd = "[DONE]";
constexpr std::int64_t kMostUsage = std::int64_t{1} << 40;

// Text of the first choice's delta; nothing if the event carries no token.
std::optional<std::string> TokenText(const json::object& event) {
  const json::array* choices = ArrayField(event, "choices");
  if (!choices || choices->empty())
    return std::nullopt;
  const json::object* choice = choices->front().if_object();
  const json::object* delta = choice ? ObjectField(*choice, "delta") : nullptr;
  if (!delta)
    return std::nullopt;
  return StringField(*delta, "content");
}

// Prompt and output tokens that an engine reports; nothing if they are absent
// or out of range.
std::optional<std::int64_t> UsageOf(const json::object& answer) {
  const json::object* usage = ObjectField(answer, "usage");
  if (!usage)
    return std::nullopt;
  std::optional<std::int64_t> prompt = IntField(*usage, "prompt_tokens");
  std::optional<std::int64_t> output = IntField(*usage, "completion_tokens");
  if (!prompt || !output || *prompt < 0 || *output < 0 ||
      *prompt > kMostUsage || *output > kMostUsage)
    return std::nullopt;
  return *prompt + *output;
}

}  // namespace

ChatProgress::ChatProgress(std::string run_id,
                           std::string caller_id,
                           std::int64_t most_tokens)
    : run_id_(std::move(run_id)),
      caller_id_(std::move(caller_id)),
      most_tokens_(most_tokens) {}

void ChatProgress::StartAttempt() {
  ++attempts_;
  attempt_id_ = AttemptId(run_id_, attempts_);
}

AnswerVerdict ChatProgress::CheckId(const json::object& answer) const {
  const std::string id = StringField(answer, "id").value_or("");
  if (id == attempt_id_)
    return AnswerVerdict::kPass;
  return IsAttemptOf(id, run_id_) ? AnswerVerdict::kLate
                                  : AnswerVerdict::kCrossed;
}

AnswerVerdict ChatProgress::OnEvent(std::string_view data) {
  if (data == kStreamEnd)
    return usage_ ? AnswerVerdict::kEnd : AnswerVerdict::kMalformed;
  std::optional<json::value> value = ParseJson(data);
  const json::object* event = value ? value->if_object() : nullptr;
  if (!event)
    return AnswerVerdict::kMalformed;
  const AnswerVerdict verdict = CheckId(*event);
  if (verdict != AnswerVerdict::kPass)
    return verdict;
  std::optional<std::string> text = TokenText(*event);
  if (text ? tokens_ >= most_tokens_ : !TakeUsage(*event))
    return AnswerVerdict::kMalformed;
  if (text) {
    ++tokens_;
    text_ += *text;
    resumed_id_ = attempt_id_;
  }
  return AnswerVerdict::kPass;
}

AnswerVerdict ChatProgress::OnWholeAnswer(std::string_view body) {
  std::optional<json::value> value = ParseJson(body);
  const json::object* answer = value ? value->if_object() : nullptr;
  if (!answer)
    return AnswerVerdict::kMalformed;
  const AnswerVerdict verdict = CheckId(*answer);
  if (verdict != AnswerVerdict::kPass)
    return verdict;
  return TakeUsage(*answer) ? AnswerVerdict::kEnd : AnswerVerdict::kMalformed;
}

bool ChatProgress::OnCancelResponse(std::string_view body) {
  std::optional<json::value> value = ParseJson(body);
  const json::object* answer = value ? value->if_object() : nullptr;
  if (!answer || CheckId(*answer) != AnswerVerdict::kPass)
    return false;
  std::optional<std::int64_t> usage = UsageOf(*answer);
  cancelled_usage_ = std::max(cancelled_usage_, usage.value_or(0));
  return usage.has_value();
}

std::string ChatProgress::WithCallerId(std::string_view piece) const {
  // The id can't be guessed, so no other text of the answer holds it.
  std::string text(piece);
  const std::size_t at = text.find(attempt_id_);
  if (at != std::string::npos)
    return text.replace(at, attempt_id_.size(), caller_id_);
  std::optional<json::value> value = ParseJson(piece);
  json::object* answer = value ? value->if_object() : nullptr;
  if (!answer || !answer->contains("id"))
    return text;
  (*answer)["id"] = caller_id_;
  return json::serialize(*answer);
}

std::int64_t ChatProgress::BilledTokens() const {
  return usage_.value_or(std::max(tokens_, cancelled_usage_));
}

bool ChatProgress::TakeUsage(const json::object& answer) {
  std::optional<std::int64_t> usage = UsageOf(answer);
  if (usage)
    usage_ = usage;
  return usage.has_value();
}

}  // namespace turmericwinch
