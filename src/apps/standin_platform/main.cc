// Stands in for the platform.

#include "libs/standin/platform_stand_in.h"
#include "libs/standin/stand_in_runner.h"

int main(int argc, char** argv) {
  using turmericwinch::PlatformStandIn;
  return turmericwinch::RunStandIn(argc, argv, {},
                                   [](boost::asio::io_context& context,
                                      const turmericwinch::SettingsTable&) {
                                     return PlatformStandIn(context).Handler();
                                   });
}
