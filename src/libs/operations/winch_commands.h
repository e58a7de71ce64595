// The table of the verbs of winch.

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

// Input and output of a verb. `arguments` are the words after the verb.
struct WinchContext {
  boost::asio::io_context* io = nullptr;
  PlatformClient* platform = nullptr;
  const SettingsTable* settings = nullptr;
  std::vector<std::string> arguments;
  // Text for standard output.
  std::string out;

  bool json() const { return settings->Text("output") == "json"; }
};

// Runs one verb and returns its result, kOk on success.
using WinchAction =
    std::function<boost::asio::awaitable<Reason>(WinchContext&)>;

// One verb. `name` has one or two words. `arguments` describes the arguments
// for the help text, `min_arguments` is how many of them are required.
// `settings` names the settings that the verb reads.
struct WinchVerb {
  std::string_view name;
  std::string_view arguments;
  std::string_view help;
  std::size_t min_arguments;
  std::vector<std::string_view> settings;
  WinchAction action;
};

// All verbs in the order of the help text.
const std::vector<WinchVerb>& WinchVerbs();

}  // namespace turmericwinch

#endif  // SRC_LIBS_OPERATIONS_WINCH_COMMANDS_H_
