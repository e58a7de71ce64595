#include <CppUTest/TestHarness.h>
#include <sys/wait.h>
#include <unistd.h>

#include "libs/base/log.h"

namespace turmericwinch {

namespace {

constexpr LogCategory kLog{"test"};
// More lines than the pipe, the buffer and the rate limit hold together.
constexpr int kLines = 50'000;

// Writes log lines into a pipe that is never read, then exits the process.
[[noreturn]] void LogToUnreadPipe(int pipe_end) {
  dup2(pipe_end, STDOUT_FILENO);
  StartLogging("host", Severity::kInfo, LogOutput::kStandardOutput);
  for (int n = 0; n < kLines; ++n)
    LogEvent(kLog, Severity::kInfo, "line", {{"number", n}});
  _exit(0);
}

}  // namespace

TEST_GROUP(LogOutput){};

TEST(LogOutput, LoggingDoesNotBlockOnAnUnreadPipe) {
  int ends[2];
  LONGS_EQUAL(0, pipe(ends));
  const pid_t child = fork();
  if (child == 0)
    LogToUnreadPipe(ends[1]);
  int status = 1;
  LONGS_EQUAL(child, waitpid(child, &status, 0));
  LONGS_EQUAL(0, status);
  close(ends[0]);
  close(ends[1]);
}

}  // namespace turmericwinch
