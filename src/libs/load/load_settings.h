// Settings of the load tool.

#ifndef SRC_LIBS_LOAD_LOAD_SETTINGS_H_
#define SRC_LIBS_LOAD_LOAD_SETTINGS_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/settings_table.h"

namespace turmericwinch {

// The callers of one team: the team's key, and the model and paths that they
// request from the entry hosts.
struct CallerProfile {
  std::string key;
  std::string model;
  std::string write_path;
  std::string read_path;
};

// `mix` holds the weights of the call kinds in the order of CallKind. `rate` is
// in requests per second. A positive `closed_loops` replaces the arrival rate
// by that many callers, each of which sends its next request when the previous
// one has ended. `give_up` limits both the wait for more bytes of an answer and
// the time in which a request is retried. Without `platform` nothing is
// reconciled.
struct LoadSettings {
  std::vector<boost::asio::ip::tcp::endpoint> hosts;
  std::vector<CallerProfile> profiles;
  std::array<int, 4> mix{};
  std::int64_t rate = 0;
  std::int64_t closed_loops = 0;
  std::chrono::milliseconds duration{0};
  std::chrono::milliseconds give_up{0};
  std::chrono::milliseconds settle_time{0};
  int attempts = 0;
  std::int64_t max_tokens = 0;
  std::int64_t chat_key_percent = 0;
  std::int64_t call_tokens = 0;
  std::uint64_t seed = 0;
  std::optional<boost::asio::ip::tcp::endpoint> platform;
  std::vector<boost::asio::ip::tcp::endpoint> engines;
  std::vector<boost::asio::ip::tcp::endpoint> services;
  // Names of the entry hosts that are killed during the run, by address.
  std::map<std::string, std::string> lost_hosts;
  std::string svg_file;
};

const std::vector<SettingSpec>& LoadSettingSpecs();
std::optional<LoadSettings> ParseLoadSettings(const SettingsTable& table,
                                              Reason* reason);

}  // namespace turmericwinch

#endif  // SRC_LIBS_LOAD_LOAD_SETTINGS_H_
