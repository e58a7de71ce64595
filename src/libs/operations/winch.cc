#include "libs/operations/winch.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <iostream>

#include "libs/http/http_client.h"
#include "libs/operations/winch_commands.h"
#include "libs/operations/winch_settings.h"
#include "libs/platform/http_platform_client.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

void PrintHelp(std::ostream& out) {
  out << "winch: the operators' client of turmericwinch\n\nVerbs:\n";
  for (const WinchVerb& it : WinchVerbs())
    out << "  winch " << it.name << " " << it.words << "\n      " << it.help
        << "\n";
  out << "\nSettings:\n" << SettingsHelp(WinchSettingSpecs());
}

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
  if (reason.code != ResultCode::kOk) {
    std::cerr << reason.text << "\nerror " << static_cast<int>(reason.code)
              << " " << NameOf(reason.code) << "\n";
  }
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
  if (settings->Flag("help")) {
    PrintHelp(std::cout);
    return 0;
  }
  const WinchVerb* verb = TakeVerb(words);
  if (!verb || words.size() < verb->word_count) {
    PrintHelp(std::cerr);
    return Report({ResultCode::kBadRequest,
                   verb ? "'" + std::string(verb->name) + "' needs " +
                              std::string(verb->words)
                        : "no such verb"});
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
