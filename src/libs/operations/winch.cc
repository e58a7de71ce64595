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

// The verb that `words` start with; its words are removed.
const WinchVerb* TakeVerb(std::vector<std::string>& words) {
  for (std::size_t n = std::min<std::size_t>(2, words.size()); n > 0; --n) {
    const std::string name = n == 2 ? words[0] + " " + words[1] : words[0];
    for (const WinchVerb& it : WinchVerbs()) {
      if (it.name != name)
        continue;
      words.erase(words.begin(), words.begin() + static_cast<long>(n));
      return &it;
    }
  }
  return nullptr;
}

int Report(const Reason& reason) {
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
    return Report(reason);
  std::vector<std::string> words = settings->arguments();
  const WinchVerb* verb = TakeVerb(words);
  if (settings->Flag("help")) {
    std::cout << (verb ? HelpText(*verb) : HelpText());
    return 0;
  }
  if (!verb) {
    return Report({ResultCode::kBadRequest,
                   "no such verb; `winch --help` lists all of them"});
  }
  if (words.size() < verb->word_count) {
    return Report({ResultCode::kBadRequest, "'" + std::string(verb->name) +
                                                "' needs " +
                                                std::string(verb->words)});
  }
  asio::io_context io(1);
  HttpPlatformClient platform(io, *ParseEndpoint(settings->Text("platform")));
  WinchContext context{&io, &platform, &*settings, std::move(words), ""};
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
  return Report(reason);
}

}  // namespace turmericwinch
