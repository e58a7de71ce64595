// Entry point of every test program.

#include <CppUTest/CommandLineTestRunner.h>

#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

namespace {

// Marks the line of KNOWN-RED.txt that names a test, as GROUP.TEST.
constexpr char kKnownRedPrefix[] = "test: ";

// Arguments that exclude the tests of the file named by
// TURMERICWINCH_KNOWN_RED.
std::vector<std::string> KnownRedArguments() {
  std::vector<std::string> arguments;
  const char* path = std::getenv("TURMERICWINCH_KNOWN_RED");
  std::ifstream file(path ? path : "");
  const std::string prefix = kKnownRedPrefix;
  for (std::string line; std::getline(file, line);) {
    const std::size_t dot = line.find('.');
    if (!line.starts_with(prefix) || dot == std::string::npos)
      continue;
    arguments.push_back("-xsn");
    arguments.push_back(line.substr(dot + 1));
  }
  return arguments;
}

}  // namespace

int main(int argc, char** argv) {
  // Libraries keep caches that CppUTest would report as leaks; the sanitizers
  // find the true ones.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  const std::vector<std::string> known_red = KnownRedArguments();
  std::vector<const char*> arguments(argv, argv + argc);
  for (const std::string& it : known_red)
    arguments.push_back(it.c_str());
  return CommandLineTestRunner::RunAllTests(static_cast<int>(arguments.size()),
                                            arguments.data());
}
