// Stands in for a plain service.

#include "libs/standin/service_stand_in.h"
#include "libs/standin/stand_in_runner.h"

int main(int argc, char** argv) {
  using turmericwinch::ServiceStandIn;
  return turmericwinch::RunStandIn(argc, argv, {},
                                   [](boost::asio::io_context& context,
                                      const turmericwinch::SettingsTable&) {
                                     return ServiceStandIn(context).Handler();
                                   });
}
