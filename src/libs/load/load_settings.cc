#include "libs/load/load_settings.h"

#include <boost/algorithm/string/split.hpp>
#include <charconv>

#include "libs/http/http_client.h"

namespace turmericwinch {

namespace {

using Endpoints = std::vector<boost::asio::ip::tcp::endpoint>;

constexpr std::int64_t kMostRate = 100'000;
constexpr std::int64_t kMostLoops = 20'000;
constexpr std::int64_t kMostMs = 3'600'000;
constexpr std::int64_t kMostTokens = 100'000;
constexpr std::int64_t kMostPercent = 100;
constexpr std::size_t kProfileParts = 4;

SettingSpec Number(std::string name,
                   std::string label,
                   std::string unit,
                   std::string default_value,
                   std::int64_t most) {
  return {.name = std::move(name),
          .type = SettingType::kInteger,
          .label = std::move(label),
          .unit = std::move(unit),
          .default_value = std::move(default_value),
          .least = 0,
          .most = most};
}

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  if (!text.empty()) {
    boost::algorithm::split(parts, text,
                            [separator](char it) { return it == separator; });
  }
  return parts;
}

Endpoints EndpointsOf(const std::vector<std::string>& texts) {
  Endpoints endpoints;
  for (const std::string& it : texts) {
    if (auto endpoint = ParseEndpoint(it))
      endpoints.push_back(*endpoint);
  }
  return endpoints;
}

std::optional<std::vector<CallerProfile>> ProfilesOf(const std::string& text,
                                                     Reason* reason) {
  std::vector<CallerProfile> profiles;
  for (const std::string& it : Split(text, ',')) {
    const std::vector<std::string> parts = Split(it, ':');
    if (parts.size() != kProfileParts) {
      return Fail(reason, ResultCode::kSettingsInvalid,
                  "--callers: '" + it + "' is not KEY:MODEL:WRITE:READ\n");
    }
    profiles.push_back({parts[0], parts[1], parts[2], parts[3]});
  }
  return profiles;
}

std::optional<std::array<int, 4>> MixOf(const std::string& text,
                                        Reason* reason) {
  const std::vector<std::string> parts = Split(text, ',');
  std::array<int, 4> mix{};
  bool sound = parts.size() == mix.size();
  for (std::size_t n = 0; sound && n < mix.size(); ++n) {
    const char* end = parts[n].data() + parts[n].size();
    sound =
        std::from_chars(parts[n].data(), end, mix[n]).ptr == end && mix[n] >= 0;
  }
  if (!sound || mix[0] + mix[1] + mix[2] + mix[3] == 0) {
    return Fail(reason, ResultCode::kSettingsInvalid,
                "--mix: '" + text + "' is not four weights\n");
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
       .label = "teams' keys and what they call",
       .unit = "KEY:MODEL:WRITE_PATH:READ_PATH,...",
       .required = true},
      {.name = "mix",
       .label = "weights of streamed chats, whole chats, writes and reads",
       .default_value = "5,1,2,2"},
      Number("rate", "arrivals", "requests/s", "50", kMostRate),
      Number("closed-loops", "callers in closed loops in place of the rate",
             "callers", "0", kMostLoops),
      Number("duration", "time of sending", "ms", "5000", kMostMs),
      Number("give-up", "time after which a request is not tried again", "ms",
             "10000", kMostMs),
      Number("settle-time", "longest wait for the bills", "ms", "10000",
             kMostMs),
      Number("attempts", "attempts of a request at most", "attempts", "4", 100),
      Number("max-tokens", "output tokens of a chat", "tokens", "16",
             kMostTokens),
      Number("chat-keys", "share of chats with an Idempotency-Key", "percent",
             "100", kMostPercent),
      Number("call-tokens", "tokens that a plain call costs", "tokens", "5",
             kMostTokens),
      Number("seed", "seed of arrivals, kinds and ids", "", "1", kMostMs),
      {.name = "platform",
       .label = "platform to reconcile with; nothing is reconciled without",
       .unit = "IP:PORT"},
      {.name = "engines",
       .label = "model engines to ask what they ran",
       .unit = "IP:PORT,..."},
      {.name = "services",
       .label = "plain services to ask what they ran",
       .unit = "IP:PORT,..."},
      {.name = "lost-hosts",
       .label = "entry hosts that are killed during the run",
       .unit = "NAME=IP:PORT,..."},
      {.name = "svg", .label = "file for a plot", .unit = "FILE"},
      {.name = "help",
       .type = SettingType::kFlag,
       .label = "print this help, then exit",
       .default_value = "false"},
  };
  return specs;
}

std::optional<LoadSettings> LoadSettingsOf(const SettingsTable& table,
                                           Reason* reason) {
  auto profiles = ProfilesOf(table.Text("callers"), reason);
  auto mix = MixOf(table.Text("mix"), reason);
  if (!profiles || !mix)
    return std::nullopt;
  LoadSettings settings;
  settings.hosts = EndpointsOf(table.List("hosts"));
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
  settings.engines = EndpointsOf(Split(table.Text("engines"), ','));
  settings.services = EndpointsOf(Split(table.Text("services"), ','));
  for (const std::string& it : Split(table.Text("lost-hosts"), ',')) {
    const std::size_t equals = it.find('=');
    if (equals != std::string::npos)
      settings.lost_hosts[it.substr(equals + 1)] = it.substr(0, equals);
  }
  settings.svg_file = table.Text("svg");
  return settings;
}

}  // namespace turmericwinch
