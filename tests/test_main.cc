// Entry point of every test program.

#include <CppUTest/CommandLineTestRunner.h>

int main(int argc, char** argv) {
  // Libraries keep caches that CppUTest would report as leaks; the sanitizers
  // find the true ones.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
