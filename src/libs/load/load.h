// The load tool.

#ifndef SRC_LIBS_LOAD_LOAD_H_
#define SRC_LIBS_LOAD_LOAD_H_

namespace turmericwinch {

// Runs one load; answers 0 if all was answered, run and billed as it should
// be, and an exit code of the result-code table otherwise.
int RunLoad(int argc, const char* const* argv);

}  // namespace turmericwinch

#endif  // SRC_LIBS_LOAD_LOAD_H_
