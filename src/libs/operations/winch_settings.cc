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
       .label = "operator address of one daemon",
       .unit = "IP:PORT",
       .default_value = "127.0.0.1:8081"},
      {.name = "daemons",
       .type = SettingType::kEndpointList,
       .label = "operator addresses of all daemons, for status and explain",
       .unit = "IP:PORT,..."},
      {.name = "operator-token",
       .label = "token for the operator address",
       .secret = true},
      {.name = "output",
       .label = "output format",
       .default_value = "table",
       .choices = {"table", "json"}},
      {.name = "author",
       .label = "author recorded with a published generation",
       .default_value = "operator"},
      {.name = "id",
       .label = "id of a top-up; a repeated id is applied only once"},
      {.name = "request", .label = "show only bills of this request"},
      {.name = "team", .label = "show only bills of this team"},
      {.name = "since", .label = "show only bills from this UTC time on"},
      {.name = "until", .label = "show only bills before this UTC time"},
      {.name = "process-ended",
       .type = SettingType::kFlag,
       .label = "confirm that the process of the released holder has ended",
       .default_value = "false"},
      {.name = "dry-run",
       .type = SettingType::kFlag,
       .label = "show the differences without publishing",
       .default_value = "false"},
      {.name = "help",
       .type = SettingType::kFlag,
       .label = "print help, then exit",
       .default_value = "false"},
  };
  return specs;
}

}  // namespace turmericwinch
