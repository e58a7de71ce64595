// The operators' client winch.

#ifndef SRC_LIBS_OPERATIONS_WINCH_H_
#define SRC_LIBS_OPERATIONS_WINCH_H_

namespace turmericwinch {

// Runs one command line and returns the exit code from the result-code table.
int RunWinch(int argc, const char* const* argv);

}  // namespace turmericwinch

#endif  // SRC_LIBS_OPERATIONS_WINCH_H_
