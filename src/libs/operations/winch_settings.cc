#include "libs/operations/winch_settings.h"

namespace turmericwinch {

const std::vector<SettingSpec>& WinchSettingSpecs() {
  static const std::vector<SettingSpec> specs = {
      {.name = "platform",
       .type = SettingType::kEndpoint,
       .label = "address of the platform's object API",
       .unit = "IP:PORT",
       .default_value = "127.0.0.1:7000"},
      {.name = "daemon",
       .type = SettingType::kEndpoint,
       .label = "operators' address of one daemon",
       .unit = "IP:PORT",
       .default_value = "127.0.0.1:8081"},
      {.name = "daemons",
       .type = SettingType::kEndpointList,
       .label = "operators' addresses of all daemons, for status and explain",
       .unit = "IP:PORT,..."},
      {.name = "operator-token",
       .label = "token for the operators' address",
       .secret = true},
      {.name = "output",
       .label = "form of the output",
       .default_value = "table",
       .choices = {"table", "json"}},
      {.name = "author",
       .label = "name recorded with a publication",
       .default_value = "operator"},
      {.name = "id",
       .label = "id of a top-up; one that is repeated counts once"},
      {.name = "request", .label = "bills of this request only"},
      {.name = "team", .label = "bills of this team only"},
      {.name = "since", .label = "bills from this time of UTC on"},
      {.name = "until", .label = "bills before this time of UTC"},
      {.name = "process-ended",
       .type = SettingType::kFlag,
       .label = "the operator's word that the released process has ended",
       .default_value = "false"},
      {.name = "dry-run",
       .type = SettingType::kFlag,
       .label = "show what would change, and change nothing",
       .default_value = "false"},
      {.name = "help",
       .type = SettingType::kFlag,
       .label = "print help, then exit",
       .default_value = "false"},
  };
  return specs;
}

}  // namespace turmericwinch
