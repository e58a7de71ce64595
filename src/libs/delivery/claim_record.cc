#include "libs/delivery/claim_record.h"

#include <array>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "libs/base/digest.h"
#include "libs/base/json_fields.h"
#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

constexpr std::size_t kNameDigits = 40;
constexpr std::array<std::string_view, 3> kOutcomeNames = {"open", "in_doubt",
                                                           "done"};

std::optional<ClaimOutcome> OutcomeOf(std::string_view name) {
  for (std::size_t n = 0; n < kOutcomeNames.size(); ++n) {
    if (kOutcomeNames[n] == name)
      return static_cast<ClaimOutcome>(n);
  }
  return std::nullopt;
}

}  // namespace

std::string ClaimName(std::string_view team, std::string_view key) {
  return kClaimPrefix + TargetKey(team, key);
}

std::string TargetKey(std::string_view team, std::string_view key) {
  std::string text(team);
  text += '\n';
  text += key;
  return Sha256Hex(text).substr(0, kNameDigits);
}

std::string ToJson(const ClaimRecord& record) {
  json::object value = {
      {"owner", record.owner},
      {"body", record.body_digest},
      {"started_ms", record.started_ms},
      {"deadline_ms", record.deadline_ms},
      {"outcome", kOutcomeNames[static_cast<std::size_t>(record.outcome)]}};
  if (record.outcome == ClaimOutcome::kDone) {
    value["status"] = record.status;
    value["content_type"] = record.content_type;
    if (record.answer)
      value["answer"] = *record.answer;
  }
  return json::serialize(value);
}

std::optional<ClaimRecord> ParseClaimRecord(std::string_view text) {
  std::optional<json::value> value = ParseJson(text);
  const json::object* object = value ? value->if_object() : nullptr;
  if (!object)
    return std::nullopt;
  std::optional<ClaimOutcome> outcome =
      OutcomeOf(StringField(*object, "outcome").value_or(""));
  std::optional<std::string> owner = StringField(*object, "owner");
  std::optional<std::string> body = StringField(*object, "body");
  if (!outcome || !owner || !body)
    return std::nullopt;
  ClaimRecord record;
  record.owner = *owner;
  record.body_digest = *body;
  record.started_ms = IntField(*object, "started_ms").value_or(0);
  record.deadline_ms = IntField(*object, "deadline_ms").value_or(0);
  record.outcome = *outcome;
  record.status =
      static_cast<int>(IntField(*object, "status").value_or(record.status));
  record.content_type = StringField(*object, "content_type").value_or("");
  record.answer = StringField(*object, "answer");
  return record;
}

bool IsExpired(const ClaimRecord& record, std::int64_t now_ms) {
  const std::int64_t retention =
      std::chrono::milliseconds(kClaimRetention).count();
  return now_ms - record.started_ms > retention;
}

}  // namespace turmericwinch
