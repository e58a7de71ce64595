// Help and shell completion of winch, generated from the tables of verbs and
// settings.

#ifndef SRC_LIBS_OPERATIONS_HELP_TEXT_H_
#define SRC_LIBS_OPERATIONS_HELP_TEXT_H_

#include <string>

namespace turmericwinch {

struct WinchVerb;

// Help on all verbs and settings.
std::string HelpText();

// Help on one verb and the settings that it reads.
std::string HelpText(const WinchVerb& verb);

// A bash script that completes verbs, flags and the choices of flags.
std::string CompletionScript();

}  // namespace turmericwinch

#endif  // SRC_LIBS_OPERATIONS_HELP_TEXT_H_
