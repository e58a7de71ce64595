// Stands in for a model engine.

#include "libs/standin/engine_stand_in.h"
#include "libs/standin/stand_in_runner.h"

namespace turmericwinch {

namespace {

constexpr std::int64_t kMostMicroseconds = 60'000'000;
constexpr std::int64_t kMostSlots = 10'000;

std::vector<SettingSpec> EngineSpecs() {
  return {
      {.name = "name",
       .label = "name of this engine",
       .default_value = "engine"},
      {.name = "first-token",
       .type = SettingType::kInteger,
       .label = "time to the first token",
       .unit = "us",
       .default_value = "1000",
       .least = 0,
       .most = kMostMicroseconds},
      {.name = "between-tokens",
       .type = SettingType::kInteger,
       .label = "time between tokens",
       .unit = "us",
       .default_value = "1000",
       .least = 0,
       .most = kMostMicroseconds},
      {.name = "slots",
       .type = SettingType::kInteger,
       .label = "requests that run at once, 0 for no bound",
       .unit = "requests",
       .default_value = "0",
       .least = 0,
       .most = kMostSlots},
  };
}

HttpHandler MakeEngine(boost::asio::io_context& context,
                       const SettingsTable& settings) {
  EngineSpeed speed;
  speed.first_token =
      std::chrono::microseconds(settings.Integer("first-token"));
  speed.between_tokens =
      std::chrono::microseconds(settings.Integer("between-tokens"));
  speed.slots = settings.Integer("slots");
  return EngineStandIn(context, settings.Text("name"), speed).Handler();
}

}  // namespace

}  // namespace turmericwinch

int main(int argc, char** argv) {
  return turmericwinch::RunStandIn(argc, argv, turmericwinch::EngineSpecs(),
                                   turmericwinch::MakeEngine);
}
