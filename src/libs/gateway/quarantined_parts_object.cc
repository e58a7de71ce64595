#include "libs/gateway/quarantined_parts_object.h"

#include <boost/json.hpp>
#include <charconv>

#include "libs/base/json_fields.h"
#include "libs/gateway/gateway_call.h"
#include "libs/gateway/gateway_constants.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

constexpr int kHexBase = 16;

std::optional<PromptPartId> ParsePartId(std::string_view text) {
  PromptPartId part = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), part, kHexBase);
  if (ec != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return part;
}

}  // namespace

std::optional<QuarantinedPartsObject> QuarantinedPartsObject::Parse(
    const std::string& text,
    Reason* reason) {
  const std::optional<json::value> value = ParseJson(text);
  const json::object* object = value ? value->if_object() : nullptr;
  const json::object* rows =
      object ? ObjectField(*object, "until_ms") : nullptr;
  if (!rows) {
    return Fail(reason, ResultCode::kPlatformRejected,
                "the object of quarantined prompt parts has no table until_ms");
  }
  QuarantinedPartsObject result;
  for (const auto& [name, until] : *rows) {
    const std::optional<PromptPartId> part = ParsePartId(name);
    const std::int64_t* until_ms = until.if_int64();
    if (!part || !until_ms) {
      return Fail(reason, ResultCode::kPlatformRejected,
                  "the quarantined prompt part " + std::string(name) +
                      " is not a hexadecimal id with a time");
    }
    result.until_ms_[*part] = *until_ms;
  }
  return result;
}

std::string QuarantinedPartsObject::ToText() const {
  json::object rows;
  for (const auto& [part, until] : until_ms_)
    rows[PartIdsText({part})] = until;
  return json::serialize(json::object{{"until_ms", std::move(rows)}});
}

bool QuarantinedPartsObject::Apply(const std::vector<QuarantinedPart>& changes,
                                   std::int64_t now_ms) {
  bool changed = std::erase_if(until_ms_, [now_ms](const auto& it) {
                   return it.second <= now_ms;
                 }) > 0;
  for (const QuarantinedPart& it : changes) {
    if (it.hold.count() == 0) {
      changed = until_ms_.erase(it.part) > 0 || changed;
      continue;
    }
    const std::int64_t until = now_ms + it.hold.count();
    auto [row, is_new] = until_ms_.try_emplace(it.part, until);
    // Hosts that learnt the verdict from each other differ by little.
    if (is_new || row->second + kStoredHoldSlack.count() < until) {
      row->second = until;
      changed = true;
    }
  }
  return changed;
}

std::vector<QuarantinedPart> QuarantinedPartsObject::Parts(
    std::int64_t now_ms) const {
  std::vector<QuarantinedPart> parts;
  for (const auto& [part, until] : until_ms_) {
    if (until > now_ms)
      parts.push_back({part, std::chrono::milliseconds(until - now_ms)});
  }
  return parts;
}

}  // namespace turmericwinch
