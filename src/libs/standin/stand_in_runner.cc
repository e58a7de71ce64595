#include "libs/standin/stand_in_runner.h"

#include <boost/asio.hpp>
#include <csignal>
#include <iostream>

#include "libs/http/http_client.h"
#include "libs/http/http_constants.h"

namespace turmericwinch {

namespace {

constexpr std::size_t kMostConnections = 50'000;

}  // namespace

int RunStandIn(int argc,
               const char* const* argv,
               std::vector<SettingSpec> specs,
               const StandInFactory& factory) {
  specs.push_back({.name = "listen",
                   .type = SettingType::kEndpoint,
                   .label = "address to serve on",
                   .unit = "IP:PORT",
                   .default_value = "127.0.0.1:0"});
  Reason reason;
  std::optional<SettingsTable> settings =
      SettingsTable::Read(specs, argc, argv, ProcessEnvironment(), &reason);
  if (!settings) {
    std::cerr << reason.text << SettingsHelp(specs);
    return InfoOf(reason.code).exit_code;
  }
  boost::asio::io_context context(1);
  HttpServer server({&context}, {kHttpMostBodyBytes, kMostConnections},
                    factory(context, *settings));
  auto endpoint =
      server.Listen(*ParseEndpoint(settings->Text("listen")), &reason);
  if (!endpoint) {
    std::cerr << reason.text << "\n";
    return InfoOf(reason.code).exit_code;
  }
  std::cout << ToText(*endpoint) << std::endl;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](auto, auto) { context.stop(); });
  context.run();
  return 0;
}

}  // namespace turmericwinch
