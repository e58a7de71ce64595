#include "libs/gateway/stored_quarantine.h"

#include <boost/json.hpp>

#include "libs/base/json_fields.h"
#include "libs/base/parse_number.h"
#include "libs/gateway/gateway_call.h"
#include "libs/gateway/gateway_constants.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

constexpr int kHexBase = 16;

// Changes the end of one quarantine. Returns whether that changed anything.
template <typename Key>
bool ApplyHold(std::map<Key, std::int64_t>& until_ms,
               const Key& key,
               std::chrono::milliseconds hold,
               std::int64_t now_ms) {
  if (hold.count() == 0)
    return until_ms.erase(key) > 0;
  const std::int64_t until = now_ms + hold.count();
  auto [row, is_new] = until_ms.try_emplace(key, until);
  // Hosts that learnt the verdict from each other differ by little.
  if (!is_new && row->second + kStoredHoldSlack.count() >= until)
    return false;
  row->second = until;
  return true;
}

template <typename Key>
bool RemoveEnded(std::map<Key, std::int64_t>& until_ms, std::int64_t now_ms) {
  return std::erase_if(until_ms, [now_ms](const auto& it) {
           return it.second <= now_ms;
         }) > 0;
}

}  // namespace

std::optional<StoredQuarantine> StoredQuarantine::Parse(const std::string& text,
                                                        Reason* reason) {
  const std::optional<json::value> value = ParseJson(text);
  const json::object* object = value ? value->if_object() : nullptr;
  const json::object* rows =
      object ? ObjectField(*object, "until_ms") : nullptr;
  if (!rows) {
    return Fail(reason, ResultCode::kPlatformRejected,
                "the stored quarantine has no table until_ms");
  }
  StoredQuarantine result;
  for (const auto& [name, until] : *rows) {
    const std::optional<PromptPartId> part =
        ParseNumber<PromptPartId>(name, kHexBase);
    const std::int64_t* until_ms = until.if_int64();
    if (!part || !until_ms) {
      return Fail(reason, ResultCode::kPlatformRejected,
                  "the quarantined prompt part " + std::string(name) +
                      " is not a hexadecimal id with a time");
    }
    result.parts_until_ms_[*part] = *until_ms;
  }
  // Hosts of an earlier version store no requests.
  const json::object* requests = ObjectField(*object, "requests_until_ms");
  if (!requests)
    return result;
  for (const auto& [digest, until] : *requests) {
    const std::int64_t* until_ms = until.if_int64();
    if (!until_ms) {
      return Fail(
          reason, ResultCode::kPlatformRejected,
          "the quarantined request " + std::string(digest) + " has no time");
    }
    result.requests_until_ms_[digest] = *until_ms;
  }
  return result;
}

std::string StoredQuarantine::ToText() const {
  json::object parts;
  for (const auto& [part, until] : parts_until_ms_)
    parts[PartIdsText({part})] = until;
  json::object requests;
  for (const auto& [digest, until] : requests_until_ms_)
    requests[digest] = until;
  return json::serialize(
      json::object{{"until_ms", std::move(parts)},
                   {"requests_until_ms", std::move(requests)}});
}

bool StoredQuarantine::Apply(const QuarantineVerdicts& changes,
                             std::int64_t now_ms) {
  bool changed = RemoveEnded(parts_until_ms_, now_ms);
  changed = RemoveEnded(requests_until_ms_, now_ms) || changed;
  for (const QuarantinedPart& it : changes.parts)
    changed = ApplyHold(parts_until_ms_, it.part, it.hold, now_ms) || changed;
  for (const QuarantineVerdict& it : changes.requests) {
    changed =
        ApplyHold(requests_until_ms_, it.digest, it.hold, now_ms) || changed;
  }
  return changed;
}

QuarantineVerdicts StoredQuarantine::Verdicts(std::int64_t now_ms) const {
  QuarantineVerdicts verdicts;
  for (const auto& [part, until] : parts_until_ms_) {
    if (until > now_ms) {
      verdicts.parts.push_back(
          {part, std::chrono::milliseconds(until - now_ms)});
    }
  }
  for (const auto& [digest, until] : requests_until_ms_) {
    if (until > now_ms) {
      verdicts.requests.push_back(
          {digest, std::chrono::milliseconds(until - now_ms)});
    }
  }
  return verdicts;
}

}  // namespace turmericwinch
