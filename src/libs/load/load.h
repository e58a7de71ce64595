// Entry point of the load tool.

#ifndef SRC_LIBS_LOAD_LOAD_H_
#define SRC_LIBS_LOAD_LOAD_H_

namespace turmericwinch {

// Sends the load and reconciles it with runs and bills if a platform is given.
// Returns 0 if nothing was reconciled or no mismatch was found, 8 if one was
// found, and after an error the exit code from the result-code table.
int RunLoad(int argc, const char* const* argv);

}  // namespace turmericwinch

#endif  // SRC_LIBS_LOAD_LOAD_H_
