#include "libs/budget/ended_holders.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "libs/base/json_fields.h"
#include "libs/budget/budget_constants.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

std::optional<EndedHolder> EndOf(const json::value& value) {
  const json::array* pair = value.if_array();
  if (!pair || pair->size() != 2 || !(*pair)[0].is_int64() ||
      !(*pair)[1].is_bool())
    return std::nullopt;
  return EndedHolder{(*pair)[0].get_int64(), (*pair)[1].get_bool()};
}

std::optional<std::set<std::string>> NamesOf(const json::value& value) {
  const json::array* items = value.if_array();
  if (!items)
    return std::nullopt;
  std::set<std::string> names;
  for (const json::value& it : *items) {
    if (!it.is_string())
      return std::nullopt;
    names.emplace(it.get_string());
  }
  return names;
}

std::optional<EndedHolders> EndsOf(const json::object& object) {
  const json::object* ended = ObjectField(object, "ended");
  const json::object* acknowledged = ObjectField(object, "acknowledged");
  if (!ended || !acknowledged)
    return std::nullopt;
  EndedHolders ends;
  for (const auto& it : *ended) {
    std::optional<EndedHolder> end = EndOf(it.value());
    if (!end)
      return std::nullopt;
    ends.ended.emplace(it.key(), *end);
  }
  for (const auto& it : *acknowledged) {
    std::optional<std::set<std::string>> names = NamesOf(it.value());
    if (!names)
      return std::nullopt;
    ends.acknowledged.emplace(it.key(), std::move(*names));
  }
  return ends;
}

}  // namespace

std::set<std::string> EndedHolders::OpenBorrowers(
    const std::string& lender,
    const std::set<std::string>& borrowers) const {
  std::set<std::string> open;
  for (const std::string& it : borrowers) {
    auto closed = acknowledged.find(it);
    const bool acknowledges =
        closed != acknowledged.end() && closed->second.contains(lender);
    if (!ended.contains(it) && !acknowledges)
      open.insert(it);
  }
  return open;
}

bool EndedHolders::RemoveExpired(std::int64_t now_ms) {
  const auto old = [&](const auto& it) {
    return it.second.closed &&
           now_ms - it.second.time_ms > kEndedHolderRetention.count();
  };
  bool changed = std::erase_if(ended, old) > 0;
  for (auto it = acknowledged.begin(); it != acknowledged.end();) {
    changed |= std::erase_if(it->second, [&](const std::string& lender) {
                 auto end = ended.find(lender);
                 return end == ended.end() || end->second.closed;
               }) > 0;
    it = it->second.empty() ? acknowledged.erase(it) : std::next(it);
  }
  return changed;
}

std::string ToJson(const EndedHolders& ends) {
  json::object ended;
  for (const auto& [name, it] : ends.ended)
    ended[name] = json::array{it.time_ms, it.closed};
  json::object acknowledged;
  for (const auto& [name, lenders] : ends.acknowledged) {
    json::array names;
    for (const std::string& it : lenders)
      names.emplace_back(it);
    acknowledged[name] = std::move(names);
  }
  return json::serialize(
      json::object{{"ended", ended}, {"acknowledged", acknowledged}});
}

std::optional<EndedHolders> ParseEndedHolders(std::string_view text,
                                              Reason* reason) {
  std::optional<json::value> value = ParseJson(text);
  const json::object* object = value ? value->if_object() : nullptr;
  std::optional<EndedHolders> ends;
  if (object)
    ends = EndsOf(*object);
  if (!ends) {
    return Fail(reason, ResultCode::kPlatformRejected,
                "the ended holders of a domain are malformed");
  }
  return ends;
}

std::string EndedHoldersObjectName(std::string_view domain) {
  return kEndedHoldersPrefix + std::string(domain);
}

}  // namespace turmericwinch
