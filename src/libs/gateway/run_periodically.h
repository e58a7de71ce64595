// Repeats an action at an interval.

#ifndef SRC_LIBS_GATEWAY_RUN_PERIODICALLY_H_
#define SRC_LIBS_GATEWAY_RUN_PERIODICALLY_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

namespace turmericwinch {

// Calls `action` after each `interval`, on the thread of `context`, until the
// context stops.
boost::asio::awaitable<void> RunPeriodically(boost::asio::io_context& context,
                                             std::chrono::milliseconds interval,
                                             std::function<void()> action);

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_RUN_PERIODICALLY_H_
