// The daemon of an entry host.

#include <iostream>

#include "libs/base/log.h"
#include "libs/base/program_settings.h"
#include "libs/node/node.h"
#include "libs/node/node_settings.h"

namespace turmericwinch {

namespace {

int RunNode(const SettingsTable& table) {
  NodeSettings settings = NodeSettingsOf(table);
  StartLogging(settings.host, ParseSeverity(settings.log_level));
  Node node(std::move(settings));
  Reason reason;
  if (!node.Start(&reason)) {
    std::cerr << ErrorText(reason);
    return InfoOf(reason.code).exit_code;
  }
  return node.Run();
}

int RunDaemon(int argc, char** argv) {
  int exit_code = 0;
  std::optional<SettingsTable> table =
      ReadProgramSettings("turmericwinchd: the daemon of an entry host",
                          NodeSettingSpecs(), argc, argv, &exit_code);
  return table ? RunNode(*table) : exit_code;
}

}  // namespace

}  // namespace turmericwinch

int main(int argc, char** argv) {
  return turmericwinch::RunDaemon(argc, argv);
}
