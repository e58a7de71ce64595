// Sends one request, retries it where a retry can succeed, and records the
// outcome.

#ifndef SRC_LIBS_LOAD_LOAD_CALLER_H_
#define SRC_LIBS_LOAD_LOAD_CALLER_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstddef>

#include "libs/http/http_client.h"
#include "libs/load/call_record.h"
#include "libs/load/load_settings.h"

namespace turmericwinch {

// A request to send. The first attempt goes to the host at index `first_host`.
struct PlannedCall {
  CallRecord record;
  const CallerProfile* profile = nullptr;
  std::size_t first_host = 0;
};

// Sends `call` and retries it with the same id and key at the next host after a
// temporary refusal or a failure, within the limits of `settings`. The record's
// `start` is relative to `run_start`.
boost::asio::awaitable<CallRecord> SendCall(
    HttpClient& client,
    const LoadSettings& settings,
    PlannedCall call,
    std::chrono::steady_clock::time_point run_start);

}  // namespace turmericwinch

#endif  // SRC_LIBS_LOAD_LOAD_CALLER_H_
