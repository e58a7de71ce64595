// Faults that a stand-in can be told to show.

#ifndef SRC_LIBS_STANDIN_FAULT_SWITCHES_H_
#define SRC_LIBS_STANDIN_FAULT_SWITCHES_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "libs/http/http_message.h"
#include "libs/http/http_server.h"

namespace turmericwinch {

// Set by PUT /faults with a JSON object of these names; absent ones are reset.
// Used on one thread.
struct FaultSwitches {
  // Answers nothing and closes the connection.
  bool down = false;
  // Answers nothing and leaves the connection open.
  bool silent = false;
  // Milliseconds before each answer.
  std::int64_t delay_ms = 0;
  // Writes whose answer is lost after they took effect.
  std::int64_t lose_write_answers = 0;
  // Ends the process when a request's body contains this text.
  std::string crash_on;
};

// Reads switches from JSON text; nothing if it is not an object.
std::optional<FaultSwitches> FaultSwitchesOf(std::string_view text);

// Whether `request` sets the switches. If so it is answered.
boost::asio::awaitable<bool> HandleFaultRequest(FaultSwitches& faults,
                                                const HttpRequest& request,
                                                HttpExchange& exchange);

// Shows the faults that come before an answer. False if there is to be none.
boost::asio::awaitable<bool> PassFaults(const FaultSwitches& faults,
                                        const HttpRequest& request,
                                        HttpExchange& exchange);

}  // namespace turmericwinch

#endif  // SRC_LIBS_STANDIN_FAULT_SWITCHES_H_
