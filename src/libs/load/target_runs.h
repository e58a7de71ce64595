// Reads from the stand-in targets which requests they ran.

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

// Number of runs by request id. For plain calls with an Idempotency-Key, by
// that key.
struct TargetRuns {
  std::map<std::string, std::int64_t> chats;
  std::map<std::string, std::int64_t> plain_calls;
};

// Reads the runs of all engines and services. Returns nothing if one of them
// does not answer.
boost::asio::awaitable<std::optional<TargetRuns>> FetchTargetRuns(
    HttpClient& client,
    const LoadSettings& settings,
    Reason* reason);

}  // namespace turmericwinch

#endif  // SRC_LIBS_LOAD_TARGET_RUNS_H_
