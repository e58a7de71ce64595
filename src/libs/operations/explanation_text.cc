#include "libs/operations/explanation_text.h"

#include <boost/json.hpp>

#include "libs/base/json_fields.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;

std::string AttemptsText(const json::object& record) {
  const json::array* attempts = ArrayField(record, "attempts");
  if (!attempts || attempts->empty())
    return "  sent to no target\n";
  std::string text;
  for (const json::value& it : *attempts) {
    const json::object* attempt = it.if_object();
    if (!attempt)
      continue;
    const std::string failure = StringField(*attempt, "failure").value_or("");
    text += "  sent to " + StringField(*attempt, "target").value_or("?") +
            (failure.empty() ? ", which answered" : ", which " + failure) +
            "\n";
  }
  return text;
}

std::string RecordText(const json::object& record) {
  auto text_of = [&](const char* field) {
    return StringField(record, field).value_or("");
  };
  auto number_of = [&](const char* field) {
    return IntField(record, field).value_or(0);
  };
  std::string text =
      "request " + text_of("request_id") + ": " + text_of("result") + " (" +
      std::to_string(number_of("code")) + ") after " +
      std::to_string(number_of("elapsed_us") / kMicrosecondsPerMillisecond) +
      " ms\n";
  if (!text_of("reason").empty())
    text += "  reason: " + text_of("reason") + "\n";
  text += "  path " + text_of("path") + ", team " + text_of("team") +
          ", configuration " + std::to_string(number_of("generation")) + "\n";
  if (!text_of("budget").empty()) {
    text += "  budget " + text_of("budget") + ": reserved " +
            std::to_string(number_of("reserved_tokens")) + ", billed " +
            std::to_string(number_of("billed_tokens")) + "\n";
  }
  return text + AttemptsText(record);
}

}  // namespace

std::string ExplanationText(const json::array& records) {
  std::string text;
  for (const json::value& it : records) {
    if (const json::object* record = it.if_object())
      text += RecordText(*record);
  }
  return text;
}

}  // namespace turmericwinch
