#include "libs/routing/host_list.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <cstdint>

#include "libs/base/json_fields.h"
#include "libs/base/lenient_json.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

std::vector<ListedMember> MembersOf(const json::object& top,
                                    std::string_view name) {
  std::vector<ListedMember> members;
  const json::array* items = ArrayField(top, name);
  if (!items)
    return members;
  for (const json::value& it : *items) {
    const json::object* entry = it.if_object();
    if (!entry)
      continue;
    members.push_back(ParseListedMember(*entry));
  }
  return members;
}

}  // namespace

ListedMember ParseListedMember(const json::object& row) {
  const auto text = [&](std::string_view field) {
    return StringField(row, field).value_or("");
  };
  ListedMember member{text("name"),    text("failure_domain"),
                      text("address"), text("incarnation"),
                      text("class"),   text("state") == "leaving"};
  if (const std::optional<std::int64_t> cold_ms = IntField(row, "cold_ms"))
    member.cold_for =
        std::chrono::milliseconds(std::max<std::int64_t>(*cold_ms, 0));
  member.cold_version = text("cold_version");
  return member;
}

std::optional<HostList> ParseHostList(std::string_view text, Reason* reason) {
  std::optional<json::value> value = ParseJson(text);
  if (!value)
    value = ParseJsonLeniently(text, {});
  const json::object* top = value->if_object();
  if (!top) {
    return Fail(reason, ResultCode::kPlatformRejected,
                "the host list is not a JSON object");
  }
  return HostList{MembersOf(*top, "hosts"), MembersOf(*top, "targets")};
}

}  // namespace turmericwinch
