#include "libs/operations/winch.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <iostream>

#include "libs/http/http_client.h"
#include "libs/operations/help_text.h"
#include "libs/operations/winch_commands.h"
#include "libs/operations/winch_settings.h"
#include "libs/platform/http_platform_client.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

// Finds the verb that `arguments` start with and removes the words of its name.
const WinchVerb* TakeVerb(std::vector<std::string>& arguments) {
  for (std::size_t n = std::min<std::size_t>(2, arguments.size()); n > 0; --n) {
    const std::string name =
        n == 2 ? arguments[0] + " " + arguments[1] : arguments[0];
    for (const WinchVerb& it : WinchVerbs()) {
      if (it.name != name)
        continue;
      arguments.erase(arguments.begin(),
                      arguments.begin() + static_cast<long>(n));
      return &it;
    }
  }
  return nullptr;
}

int ReportResult(const Reason& reason) {
  if (reason.code != ResultCode::kOk)
    std::cerr << ErrorText(reason);
  return InfoOf(reason.code).exit_code;
}

}  // namespace

int RunWinch(int argc, const char* const* argv) {
  Reason reason;
  std::optional<SettingsTable> settings = SettingsTable::Read(
      WinchSettingSpecs(), argc, argv, ProcessEnvironment(), &reason);
  if (!settings)
    return ReportResult(reason);
  std::vector<std::string> arguments = settings->arguments();
  const WinchVerb* verb = TakeVerb(arguments);
  if (settings->Flag("help")) {
    std::cout << (verb ? HelpText(*verb) : HelpText());
    return 0;
  }
  if (!verb) {
    return ReportResult({ResultCode::kBadRequest,
                         "no such verb; `winch --help` lists all of them"});
  }
  if (arguments.size() < verb->min_arguments) {
    return ReportResult(
        {ResultCode::kBadRequest, "'" + std::string(verb->name) + "' needs " +
                                      std::string(verb->arguments)});
  }
  asio::io_context io(1);
  HttpPlatformClient platform(io, *ParseEndpoint(settings->Text("platform")));
  WinchContext context{&io, &platform, &*settings, std::move(arguments), ""};
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        reason = co_await verb->action(context);
      },
      [](std::exception_ptr error) {
        if (error)
          std::rethrow_exception(error);
      });
  io.run();
  std::cout << context.out;
  return ReportResult(reason);
}

}  // namespace turmericwinch
