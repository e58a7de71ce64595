#include "libs/standin/stand_in_runner.h"

#include <boost/asio.hpp>
#include <csignal>
#include <iostream>

#include "libs/http/http_client.h"
#include "libs/http/http_constants.h"

namespace turmericwinch {

namespace {

constexpr std::size_t kMostConnections = 50'000;
constexpr HttpServerLimits kLimits{kHttpMostBodyBytes, kMostConnections};

// Binds `listeners` and prints name and address of each; their servers.
std::optional<std::vector<std::unique_ptr<HttpServer>>> ListenOnAll(
    boost::asio::io_context& context,
    const std::vector<StandInListener>& listeners,
    Reason* reason) {
  std::vector<std::unique_ptr<HttpServer>> servers;
  for (const StandInListener& it : listeners) {
    std::optional<boost::asio::ip::tcp::endpoint> wanted =
        ParseEndpoint(it.endpoint);
    if (!wanted) {
      return Fail(reason, ResultCode::kSettingsInvalid,
                  it.endpoint + " is not IP:PORT");
    }
    servers.push_back(std::make_unique<HttpServer>(
        std::vector<boost::asio::io_context*>{&context}, kLimits, it.handler));
    auto bound = servers.back()->Listen(*wanted, reason);
    if (!bound)
      return std::nullopt;
    std::cout << it.name << (it.name.empty() ? "" : " ") << ToText(*bound)
              << std::endl;
  }
  return servers;
}

}  // namespace

int RunStandIn(int argc,
               const char* const* argv,
               std::vector<SettingSpec> specs,
               const StandInFactory& factory,
               const StandInListenersFactory& more_listeners) {
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
  std::vector<StandInListener> listeners = {
      {"", settings->Text("listen"), factory(context, *settings)}};
  if (more_listeners) {
    for (StandInListener& it : more_listeners(*settings))
      listeners.push_back(std::move(it));
  }
  auto servers = ListenOnAll(context, listeners, &reason);
  if (!servers) {
    std::cerr << reason.text << "\n";
    return InfoOf(reason.code).exit_code;
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](auto, auto) { context.stop(); });
  context.run();
  return 0;
}

}  // namespace turmericwinch
