// Fills deploy/system.toml as the platform does, from deployments of many
// kinds, and reads the settings that the gateway is started with.

#include <CppUTest/TestHarness.h>

#include <boost/json.hpp>
#include <fstream>
#include <iterator>
#include <sstream>

#include "libs/gateway/gateway_settings.h"

namespace turmericwinch::platform {

namespace {

namespace json = boost::json;

std::string RunCommand() {
  std::ifstream file(TW_SOURCE_DIR "/deploy/system.toml");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with("run = \""))
      return line.substr(7, line.size() - 8);
  }
  return "";
}

// The value of the field `path`, whose names are separated by dots; null if
// there is none.
const json::value* FieldOf(const json::value& fields, const std::string& path) {
  const json::value* value = &fields;
  std::istringstream names(path);
  for (std::string it; value && std::getline(names, it, '.');) {
    if (value->is_array()) {
      const std::size_t n = std::stoul(it);
      value = n < value->as_array().size() ? &value->as_array()[n] : nullptr;
    } else {
      value = value->is_object() ? value->as_object().if_contains(it) : nullptr;
    }
  }
  return value;
}

std::string TextOf(const json::value* value) {
  if (!value || value->is_null())
    return "";
  return value->is_string() ? std::string(value->as_string())
                            : json::serialize(*value);
}

// Replaces all `from` in `text` by `to`.
void ReplaceAll(std::string& text,
                std::string_view from,
                const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size()))
    text.replace(at, from.size(), to);
}

// Renders `entry` once for each entry of the table `path`.
std::string SectionOf(const json::value& fields,
                      const std::string& path,
                      const std::string& entry) {
  std::string text;
  const json::value* table = FieldOf(fields, path);
  if (!table || !table->is_object())
    return text;
  const json::object& rows = table->as_object();
  for (auto it = rows.begin(); it != rows.end(); ++it) {
    std::string row = entry;
    ReplaceAll(row, "{{@}}", std::string(it->key()));
    ReplaceAll(row, "{{.}}", TextOf(&it->value()));
    ReplaceAll(row, "{{,}}", std::next(it) == rows.end() ? "" : ",");
    text += row;
  }
  return text;
}

// Replaces the sections that are rendered for each entry of a table, then all
// places.
std::string Fill(std::string word, const json::value& fields) {
  constexpr std::string_view kOpen = "{{";
  constexpr std::string_view kClose = "}}";
  for (std::size_t start = word.find(kOpen); start != std::string::npos;
       start = word.find(kOpen)) {
    const std::size_t name = start + kOpen.size();
    std::size_t end = word.find(kClose, name);
    std::string path = word.substr(name, end - name);
    end += kClose.size();
    if (path.starts_with("#")) {
      path.erase(0, 1);
      const std::string closing = "{{/" + path + "}}";
      const std::size_t section_end = word.find(closing, end);
      CHECK(section_end != std::string::npos);
      word.replace(
          start, section_end + closing.size() - start,
          SectionOf(fields, path, word.substr(end, section_end - end)));
    } else {
      word.replace(start, end - start, TextOf(FieldOf(fields, path)));
    }
  }
  return word;
}

std::optional<GatewaySettings> SettingsFor(const json::value& fields,
                                           Reason* reason) {
  std::vector<std::string> words;
  std::istringstream command(RunCommand());
  for (std::string it; command >> it;)
    words.push_back(Fill(it, fields));
  std::vector<const char*> argv;
  for (const std::string& it : words)
    argv.push_back(it.c_str());
  const auto table =
      SettingsTable::Read(GatewaySettingSpecs(), static_cast<int>(argv.size()),
                          argv.data(), {}, reason);
  if (!table)
    return std::nullopt;
  return GatewaySettingsOf(*table);
}

json::value Deployment() {
  return json::parse(R"({
    "node_name": "edge-a-1", "zone": "a", "ip": "10.1.0.19",
    "zones": {"a": "east", "b": "east", "c": "east"},
    "listen": {"frontend": "10.1.0.19:8740", "readiness": "10.1.0.19:8749"},
    "port_range": [7200, 7215],
    "limits": {"link_mbps": 750.0},
    "bounds": {"retry_budget_ratio": 0.2, "budget_slack": 56},
    "platform": {"address": "10.200.1.7:8742", "writes_per_s": 400,
                 "reads_per_s": 2000}})");
}

// `path` has two names, separated by a dot.
json::value With(const std::string& path, const json::value& value) {
  json::value fields = Deployment();
  const std::size_t dot = path.find('.');
  fields.as_object()[path.substr(0, dot)].as_object()[path.substr(dot + 1)] =
      value;
  return fields;
}

}  // namespace

TEST_GROUP(DeploySettings){};

TEST(DeploySettings, TheFileNamesSettingsOfTheGateway) {
  Reason reason;
  const auto settings = SettingsFor(Deployment(), &reason);
  STRCMP_EQUAL("", reason.text.c_str());
  STRCMP_EQUAL("edge-a-1", settings->host.c_str());
  LONGS_EQUAL(3, settings->failure_domains.size());
  LONGS_EQUAL(7215, settings->peer_listen.port());
  DOUBLES_EQUAL(56, settings->retry_slack, 1e-9);
  DOUBLES_EQUAL(2000, settings->store_rates.reads, 1e-9);
}

TEST(DeploySettings, ADeploymentMayHaveEvacuationsAndColdTargets) {
  Reason reason;
  auto settings = SettingsFor(Deployment(), &reason);
  LONGS_EQUAL(0, settings->evacuate_time.count());
  DOUBLES_EQUAL(1, settings->cold_overshoot, 1e-9);
  DOUBLES_EQUAL(0, settings->cold_tolerance, 1e-9);
  LONGS_EQUAL(3, settings->domain_regions.size());
  STRCMP_EQUAL("east", settings->domain_regions.at("b").c_str());
  json::value fields = Deployment();
  json::object& bounds = fields.as_object()["bounds"].as_object();
  bounds["evacuate_ms"] = 5000;
  bounds["cold_overshoot"] = 1.5;
  bounds["cold_tolerance"] = 5;
  settings = SettingsFor(fields, &reason);
  LONGS_EQUAL(5000, settings->evacuate_time.count());
  DOUBLES_EQUAL(1.5, settings->cold_overshoot, 1e-9);
  DOUBLES_EQUAL(5, settings->cold_tolerance, 1e-9);
}

TEST(DeploySettings, NumbersMayBeWholeFractionalOrLarge) {
  for (const char* path : {"bounds.budget_slack", "limits.link_mbps",
                           "platform.reads_per_s", "platform.writes_per_s",
                           "bounds.retry_budget_ratio", "bounds.evacuate_ms",
                           "bounds.cold_overshoot", "bounds.cold_tolerance"}) {
    for (const char* number : {"1", "33.1578947368421", "300.0", "1E3"}) {
      Reason reason;
      CHECK(SettingsFor(With(path, json::parse(number)), &reason).has_value());
      STRCMP_EQUAL("", reason.text.c_str());
    }
  }
  Reason reason;
  const auto settings =
      SettingsFor(With("bounds.budget_slack", 33.1578947368421), &reason);
  DOUBLES_EQUAL(33.1578947368421, settings->retry_slack, 1e-6);
}

TEST(DeploySettings, BoundsMayBeZero) {
  for (const char* path : {"bounds.budget_slack", "bounds.retry_budget_ratio",
                           "bounds.evacuate_ms", "bounds.cold_overshoot",
                           "bounds.cold_tolerance"}) {
    Reason reason;
    CHECK(SettingsFor(With(path, 0), &reason).has_value());
  }
}

TEST(DeploySettings, AbsentNumbersHaveTheirDefaults) {
  for (const char* path :
       {"bounds.budget_slack", "limits.link_mbps", "platform.reads_per_s",
        "platform.writes_per_s", "bounds.retry_budget_ratio"}) {
    Reason reason;
    const auto settings = SettingsFor(With(path, nullptr), &reason);
    CHECK(settings.has_value());
    CHECK(settings->store_rates.reads > 0);
    CHECK(settings->store_rates.writes > 0);
    CHECK(settings->retry_ratio > 0);
    CHECK(settings->retry_slack > 0);
  }
}

TEST(DeploySettings, ADeploymentMayHaveOneFailureDomainOrTwenty) {
  for (int n : {1, 20}) {
    json::value fields = Deployment();
    json::object domains;
    for (int i = 0; i < n; ++i)
      domains["domain-" + std::to_string(i)] = "east";
    fields.as_object()["zones"] = domains;
    Reason reason;
    const auto settings = SettingsFor(fields, &reason);
    CHECK(settings.has_value());
    LONGS_EQUAL(n, settings->failure_domains.size());
  }
  json::value fields = Deployment();
  fields.as_object().erase("zones");
  Reason reason;
  const auto settings = SettingsFor(fields, &reason);
  LONGS_EQUAL(1, settings->failure_domains.size());
  STRCMP_EQUAL("a", settings->failure_domains.front().c_str());
}

TEST(DeploySettings, AValueThatMakesNoSenseIsNamed) {
  struct Case {
    const char* path;
    json::value value;
    const char* error;
  };
  const Case cases[] = {
      {"bounds.budget_slack", -1, "--retry-slack"},
      {"bounds.budget_slack", "many", "is not a number: 'many'"},
      {"bounds.retry_budget_ratio", "0.2x", "--retry-ratio"},
      {"limits.link_mbps", "nan", "--link-mbps"},
      {"platform.reads_per_s", 0, "--store-reads"},
      {"platform.address", "store", "--store (TURMERICWINCH_STORE)"},
      {"listen.frontend", nullptr, "is required and has no value"},
  };
  for (const Case& it : cases) {
    Reason reason;
    CHECK(!SettingsFor(With(it.path, it.value), &reason).has_value());
    STRCMP_CONTAINS(it.error, reason.text.c_str());
  }
}

}  // namespace turmericwinch::platform
