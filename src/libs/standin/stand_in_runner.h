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

// One address of a stand-in and what answers there.
struct StandInListener {
  std::string name;
  std::string endpoint;
  HttpHandler handler;
};

// Makes the listeners of a stand-in beside that of `--listen`.
using StandInListenersFactory =
    std::function<std::vector<StandInListener>(const SettingsTable& settings)>;

// Reads `--listen` and the settings of `specs`, serves until SIGTERM, and
// answers the process's exit code. The bound address is printed first, then
// name and address of each further listener, one a line.
int RunStandIn(int argc,
               const char* const* argv,
               std::vector<SettingSpec> specs,
               const StandInFactory& factory,
               const StandInListenersFactory& more_listeners = {});

}  // namespace turmericwinch

#endif  // SRC_LIBS_STANDIN_STAND_IN_RUNNER_H_
