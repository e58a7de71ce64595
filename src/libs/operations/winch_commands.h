// The verbs of winch.

#ifndef SRC_LIBS_OPERATIONS_WINCH_COMMANDS_H_
#define SRC_LIBS_OPERATIONS_WINCH_COMMANDS_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/reason.h"
#include "libs/base/settings_table.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// What a verb works with. `words` are the words after the verb.
struct WinchContext {
  boost::asio::io_context* io = nullptr;
  PlatformClient* platform = nullptr;
  const SettingsTable* settings = nullptr;
  std::vector<std::string> words;
  // Collects what goes to standard output.
  std::string out;

  bool json() const { return settings->Text("output") == "json"; }
};

// Runs one verb; answers its result, kOk if all went well.
using WinchAction =
    std::function<boost::asio::awaitable<Reason>(WinchContext&)>;

// One verb; `name` may be of two words. `words` says what follows it, at least
// `word_count` of them; `settings` are those that it looks at.
struct WinchVerb {
  std::string_view name;
  std::string_view words;
  std::string_view help;
  std::size_t word_count;
  std::vector<std::string_view> settings;
  WinchAction action;
};

// All verbs.
const std::vector<WinchVerb>& WinchVerbs();

}  // namespace turmericwinch

#endif  // SRC_LIBS_OPERATIONS_WINCH_COMMANDS_H_
