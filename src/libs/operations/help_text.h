// What winch says of itself: help and shell completion, both made from the
// tables of verbs and settings.

#ifndef SRC_LIBS_OPERATIONS_HELP_TEXT_H_
#define SRC_LIBS_OPERATIONS_HELP_TEXT_H_

#include <string>

namespace turmericwinch {

struct WinchVerb;

// All verbs and settings.
std::string HelpText();

// One verb, with the settings that it looks at.
std::string HelpText(const WinchVerb& verb);

// A script for bash that completes verbs, flags and their choices.
std::string CompletionScript();

}  // namespace turmericwinch

#endif  // SRC_LIBS_OPERATIONS_HELP_TEXT_H_
