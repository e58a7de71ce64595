// What the stand-ins of the targets ran.

#ifndef SRC_LIBS_LOAD_TARGET_RUNS_H_
#define SRC_LIBS_LOAD_TARGET_RUNS_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "libs/http/http_client.h"
#include "libs/load/load_settings.h"

namespace turmericwinch {

// Runs by request id; of plain calls with a key, by that key.
struct TargetRuns {
  std::map<std::string, std::int64_t> chats;
  std::map<std::string, std::int64_t> plain_calls;
};

// Asks all engines and services; nothing if one did not answer.
boost::asio::awaitable<std::optional<TargetRuns>> FetchTargetRuns(
    HttpClient& client,
    const LoadSettings& settings,
    Reason* reason);

}  // namespace turmericwinch

#endif  // SRC_LIBS_LOAD_TARGET_RUNS_H_
