#include "libs/load/load_settings.h"

#include <boost/algorithm/string/split.hpp>
#include <charconv>

#include "libs/http/http_client.h"

namespace turmericwinch {

namespace {

using Endpoints = std::vector<boost::asio::ip::tcp::endpoint>;

constexpr std::int64_t kMaxRate = 100'000;
constexpr std::int64_t kMaxClosedLoops = 20'000;
constexpr std::int64_t kMaxMs = 3'600'000;
constexpr std::int64_t kMaxTokens = 100'000;
constexpr std::int64_t kMaxPercent = 100;
constexpr std::size_t kProfileFieldCount = 4;

SettingSpec IntegerSetting(std::string name,
                           std::string label,
                           std::string unit,
                           std::string default_value,
                           std::int64_t max_value) {
  return {.name = std::move(name),
          .type = SettingType::kInteger,
          .label = std::move(label),
          .unit = std::move(unit),
          .default_value = std::move(default_value),
          .least = 0,
          .most = max_value};
}

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  if (!text.empty()) {
    boost::algorithm::split(parts, text,
                            [separator](char it) { return it == separator; });
  }
  return parts;
}

Endpoints ParseEndpoints(const std::vector<std::string>& texts) {
  Endpoints endpoints;
  for (const std::string& it : texts) {
    if (auto endpoint = ParseEndpoint(it))
      endpoints.push_back(*endpoint);
  }
  return endpoints;
}

std::optional<std::vector<CallerProfile>> ParseProfiles(const std::string& text,
                                                        Reason* reason) {
  std::vector<CallerProfile> profiles;
  for (const std::string& it : Split(text, ',')) {
    const std::vector<std::string> parts = Split(it, ':');
    if (parts.size() != kProfileFieldCount) {
      return Fail(reason, ResultCode::kSettingsInvalid,
                  "--callers: '" + it +
                      "' is not of the form KEY:MODEL:WRITE_PATH:READ_PATH\n");
    }
    profiles.push_back({parts[0], parts[1], parts[2], parts[3]});
  }
  return profiles;
}

std::optional<std::array<int, 4>> ParseMix(const std::string& text,
                                           Reason* reason) {
  const std::vector<std::string> parts = Split(text, ',');
  std::array<int, 4> mix{};
  bool valid = parts.size() == mix.size();
  for (std::size_t n = 0; valid && n < mix.size(); ++n) {
    const char* end = parts[n].data() + parts[n].size();
    valid =
        std::from_chars(parts[n].data(), end, mix[n]).ptr == end && mix[n] >= 0;
  }
  if (!valid || mix[0] + mix[1] + mix[2] + mix[3] == 0) {
    return Fail(reason, ResultCode::kSettingsInvalid,
                "--mix: '" + text +
                    "' is not a list of four weights of at least 0 with a "
                    "positive sum\n");
  }
  return mix;
}

}  // namespace

const std::vector<SettingSpec>& LoadSettingSpecs() {
  static const std::vector<SettingSpec> specs = {
      {.name = "hosts",
       .type = SettingType::kEndpointList,
       .label = "entry hosts",
       .unit = "IP:PORT,...",
       .required = true},
      {.name = "callers",
       .label = "keys, models and paths of the teams' callers",
       .unit = "KEY:MODEL:WRITE_PATH:READ_PATH,...",
       .required = true},
      {.name = "mix",
       .label = "weights of streamed chats, whole chats, writes and reads",
       .default_value = "5,1,2,2"},
      IntegerSetting("rate", "arrival rate", "requests/s", "50", kMaxRate),
      IntegerSetting("closed-loops",
                     "callers in closed loops, used instead of the rate",
                     "callers", "0", kMaxClosedLoops),
      IntegerSetting("duration", "time during which requests are sent", "ms",
                     "5000", kMaxMs),
      IntegerSetting("give-up",
                     "maximum wait for bytes and maximum time for retries",
                     "ms", "10000", kMaxMs),
      IntegerSetting("settle-time", "maximum wait for the bills", "ms", "10000",
                     kMaxMs),
      IntegerSetting("attempts", "maximum attempts of a request", "attempts",
                     "4", 100),
      IntegerSetting("max-tokens", "maximum output tokens of a chat", "tokens",
                     "16", kMaxTokens),
      IntegerSetting("chat-keys", "share of chats with an Idempotency-Key",
                     "percent", "100", kMaxPercent),
      IntegerSetting("call-tokens", "token price of a plain call", "tokens",
                     "5", kMaxTokens),
      IntegerSetting("seed", "seed of arrivals, kinds and ids", "", "1",
                     kMaxMs),
      {.name = "platform",
       .label = "platform to reconcile with; without it nothing is reconciled",
       .unit = "IP:PORT"},
      {.name = "engines",
       .label = "model engines whose runs are reconciled",
       .unit = "IP:PORT,..."},
      {.name = "services",
       .label = "plain services whose runs are reconciled",
       .unit = "IP:PORT,..."},
      {.name = "lost-hosts",
       .label = "entry hosts that are killed during the run",
       .unit = "NAME=IP:PORT,..."},
      {.name = "svg", .label = "file for a plot of the run", .unit = "FILE"},
      {.name = "help",
       .type = SettingType::kFlag,
       .label = "print this help, then exit",
       .default_value = "false"},
  };
  return specs;
}

std::optional<LoadSettings> ParseLoadSettings(const SettingsTable& table,
                                              Reason* reason) {
  auto profiles = ParseProfiles(table.Text("callers"), reason);
  auto mix = ParseMix(table.Text("mix"), reason);
  if (!profiles || !mix)
    return std::nullopt;
  LoadSettings settings;
  settings.hosts = ParseEndpoints(table.List("hosts"));
  settings.profiles = std::move(*profiles);
  settings.mix = *mix;
  settings.rate = table.Integer("rate");
  settings.closed_loops = table.Integer("closed-loops");
  settings.duration = std::chrono::milliseconds(table.Integer("duration"));
  settings.give_up = std::chrono::milliseconds(table.Integer("give-up"));
  settings.settle_time =
      std::chrono::milliseconds(table.Integer("settle-time"));
  settings.attempts = static_cast<int>(table.Integer("attempts"));
  settings.max_tokens = table.Integer("max-tokens");
  settings.chat_key_percent = table.Integer("chat-keys");
  settings.call_tokens = table.Integer("call-tokens");
  settings.seed = static_cast<std::uint64_t>(table.Integer("seed"));
  settings.platform = ParseEndpoint(table.Text("platform"));
  settings.engines = ParseEndpoints(Split(table.Text("engines"), ','));
  settings.services = ParseEndpoints(Split(table.Text("services"), ','));
  for (const std::string& it : Split(table.Text("lost-hosts"), ',')) {
    const std::size_t equals = it.find('=');
    if (equals != std::string::npos)
      settings.lost_hosts[it.substr(equals + 1)] = it.substr(0, equals);
  }
  settings.svg_file = table.Text("svg");
  return settings;
}

}  // namespace turmericwinch
