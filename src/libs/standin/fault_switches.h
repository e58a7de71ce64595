// Faults that a stand-in can be told to show.

#ifndef SRC_LIBS_STANDIN_FAULT_SWITCHES_H_
#define SRC_LIBS_STANDIN_FAULT_SWITCHES_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "libs/http/http_message.h"
#include "libs/http/http_server.h"

namespace turmericwinch {

// Set by PUT /faults with a JSON object of these names; absent ones are reset.
// Used on one thread.
struct FaultSwitches {
  // Answers nothing and closes the connection.
  bool down = false;
  // Answer 503 with "X-Leaving: true".
  bool leaving = false;
  // Answers nothing and leaves the connection open.
  bool silent = false;
  // The same, but only on connections older than the one that set the switch.
  bool silent_open = false;
  std::uint64_t silent_below = 0;
  // Failure domains whose listeners are cut off: nothing is answered, and what
  // arrives has no effect.
  std::set<std::string> cut;
  // Milliseconds by which the host list lags.
  std::int64_t lag_hosts_ms = 0;
  // Milliseconds before each answer.
  std::int64_t delay_ms = 0;
  // Writes whose answer is lost after they took effect.
  std::int64_t lose_write_answers = 0;
  // Answers name another request. Model engines have more such faults.
  bool wrong_id = false;
  // Ends the process when a request's body contains this text.
  std::string crash_on;
};

// Reads switches from JSON text; nothing if it is not an object.
std::optional<FaultSwitches> FaultSwitchesOf(std::string_view text);

// Whether `request` sets the switches. If so it is answered.
boost::asio::awaitable<bool> HandleFaultRequest(FaultSwitches& faults,
                                                const HttpRequest& request,
                                                HttpExchange& exchange);

// Shows the faults that come before an answer. False if there is to be none. A
// silent connection is closed once the switch is reset or the caller is gone.
boost::asio::awaitable<bool> PassFaults(const FaultSwitches& faults,
                                        const HttpRequest& request,
                                        HttpExchange& exchange);

// Keeps silent while `domain` is cut off. False if it was: the exchange is over
// then.
boost::asio::awaitable<bool> PassCut(const FaultSwitches& faults,
                                     const std::string& domain,
                                     HttpExchange& exchange);

}  // namespace turmericwinch

#endif  // SRC_LIBS_STANDIN_FAULT_SWITCHES_H_
