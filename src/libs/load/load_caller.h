// Sends one request, again where that helps, and records what came back.

#ifndef SRC_LIBS_LOAD_LOAD_CALLER_H_
#define SRC_LIBS_LOAD_LOAD_CALLER_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstddef>

#include "libs/http/http_client.h"
#include "libs/load/call_record.h"
#include "libs/load/load_settings.h"

namespace turmericwinch {

// A request to be sent, first to the host at index `first_host`.
struct PlannedCall {
  CallRecord record;
  const CallerProfile* profile = nullptr;
  std::size_t first_host = 0;
};

// Sends `call`, and repeats it with the same id and key at the next host if it
// was refused for now or failed, within the bounds of `settings`. Times are
// taken against `run_start`.
boost::asio::awaitable<CallRecord> SendCall(
    HttpClient& client,
    const LoadSettings& settings,
    PlannedCall call,
    std::chrono::steady_clock::time_point run_start);

}  // namespace turmericwinch

#endif  // SRC_LIBS_LOAD_LOAD_CALLER_H_
