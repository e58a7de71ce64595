// The daemon of an entry host.

#include <iostream>

#include "libs/base/log.h"
#include "libs/node/node.h"
#include "libs/node/node_settings.h"

namespace turmericwinch {

namespace {

bool AsksForHelp(int argc, char** argv) {
  for (int n = 1; n < argc; ++n) {
    if (std::string_view(argv[n]) == "--help")
      return true;
  }
  return false;
}

int RunNode(const SettingsTable& table) {
  NodeSettings settings = NodeSettingsOf(table);
  StartLogging(settings.host, SeverityOf(settings.log_level));
  Node node(std::move(settings));
  Reason reason;
  if (!node.Start(&reason)) {
    std::cerr << ErrorText(reason);
    return InfoOf(reason.code).exit_code;
  }
  return node.Run();
}

int RunDaemon(int argc, char** argv) {
  if (AsksForHelp(argc, argv)) {
    std::cout << "turmericwinchd: the daemon of an entry host\n"
              << SettingsHelp(NodeSettingSpecs());
    return 0;
  }
  Reason reason;
  std::optional<SettingsTable> table = SettingsTable::Read(
      NodeSettingSpecs(), argc, argv, ProcessEnvironment(), &reason);
  if (!table) {
    std::cerr << ErrorText(reason);
    return InfoOf(reason.code).exit_code;
  }
  if (table->Flag("print-settings")) {
    std::cout << table->Print();
    return 0;
  }
  return RunNode(*table);
}

}  // namespace

}  // namespace turmericwinch

int main(int argc, char** argv) {
  return turmericwinch::RunDaemon(argc, argv);
}
