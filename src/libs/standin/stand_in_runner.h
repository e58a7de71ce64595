// Runs a stand-in as a process of its own.

#ifndef SRC_LIBS_STANDIN_STAND_IN_RUNNER_H_
#define SRC_LIBS_STANDIN_STAND_IN_RUNNER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

#include "libs/base/settings_table.h"
#include "libs/http/http_server.h"

namespace turmericwinch {

// Makes the handler of a stand-in that runs on `context`.
using StandInFactory =
    std::function<HttpHandler(boost::asio::io_context& context,
                              const SettingsTable& settings)>;

// Reads `--listen` and the settings of `specs`, serves until SIGTERM, and
// answers the process's exit code. The bound address is printed first.
int RunStandIn(int argc,
               const char* const* argv,
               std::vector<SettingSpec> specs,
               const StandInFactory& factory);

}  // namespace turmericwinch

#endif  // SRC_LIBS_STANDIN_STAND_IN_RUNNER_H_
