#include "libs/operations/evacuation_report.h"

#include <boost/algorithm/string/join.hpp>
#include <boost/json.hpp>

#include "libs/base/json_fields.h"
#include "libs/operations/text_table.h"

namespace turmericwinch {

namespace json = boost::json;

EvacuationRow ParseEvacuations(std::string address, const std::string& dump) {
  EvacuationRow row;
  row.address = std::move(address);
  std::optional<json::value> value = ParseJson(dump);
  const json::object* top = value ? value->if_object() : nullptr;
  if (!top) {
    row.state = "invalid dump";
    return row;
  }
  row.host = StringField(*top, "host").value_or("");
  const json::object* known = ObjectField(*top, "evacuations");
  if (!known) {
    row.state = "not enabled";
    return row;
  }
  if (const json::array* domains = ArrayField(*known, "domains")) {
    for (const json::value& it : *domains) {
      if (const json::string* name = it.if_string())
        row.domains.emplace_back(*name);
    }
  }
  const std::uint64_t version = UintField(*known, "version").value_or(0);
  // Dumps of earlier releases have no era of their own.
  const std::optional<std::uint64_t> era = UintField(*known, "era");
  row.version = era ? StoreVersion{*era, version} : UnpackVersion(version);
  row.age_ms = IntField(*known, "age_ms");
  row.state = row.age_ms ? "known" : "unknown";
  return row;
}

std::string FormatEvacuations(const std::vector<EvacuationRow>& rows) {
  TextRows table = {
      {"DAEMON", "HOST", "EVACUATED", "VERSION", "AGE MS", "STATE"}};
  for (const EvacuationRow& it : rows) {
    const std::string domains = boost::algorithm::join(it.domains, ",");
    table.push_back({it.address, it.host, domains.empty() ? "-" : domains,
                     ToText(it.version),
                     it.age_ms ? std::to_string(*it.age_ms) : "-", it.state});
  }
  return FormatTable(table);
}

json::array EvacuationsJson(const std::vector<EvacuationRow>& rows) {
  json::array items;
  for (const EvacuationRow& it : rows) {
    json::object row = {
        {"daemon", it.address},
        {"host", it.host},
        {"domains", json::array(it.domains.begin(), it.domains.end())},
        {"version", it.version.revision},
        {"era", it.version.era},
        {"age_ms", nullptr},
        {"state", it.state}};
    if (it.age_ms)
      row["age_ms"] = *it.age_ms;
    items.push_back(std::move(row));
  }
  return items;
}

}  // namespace turmericwinch
