// Sends requests at an open arrival rate or in closed loops.

#ifndef SRC_LIBS_LOAD_LOAD_DRIVER_H_
#define SRC_LIBS_LOAD_LOAD_DRIVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <vector>

#include "libs/load/call_record.h"
#include "libs/load/load_settings.h"

namespace turmericwinch {

// Sends requests until the duration is over, waits until every request has
// ended, and returns one record for each. The seed determines the arrivals,
// kinds, teams and first hosts.
boost::asio::awaitable<std::vector<CallRecord>> DriveLoad(
    boost::asio::io_context& context,
    const LoadSettings& settings);

}  // namespace turmericwinch

#endif  // SRC_LIBS_LOAD_LOAD_DRIVER_H_
