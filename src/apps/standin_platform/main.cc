// Stands in for the platform.

#include "libs/standin/platform_stand_in.h"
#include "libs/standin/stand_in_runner.h"

namespace turmericwinch {

namespace {

std::vector<SettingSpec> PlatformSpecs() {
  return {{.name = "domain-listen",
           .label = "addresses that failure domains reach the platform by",
           .unit = "DOMAIN=IP:PORT,..."}};
}

// The listeners of "DOMAIN=IP:PORT,...".
std::vector<StandInListener> DomainListeners(PlatformStandIn& platform,
                                             std::string_view text) {
  std::vector<StandInListener> listeners;
  while (!text.empty()) {
    const std::string_view item = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), item.size() + 1));
    const std::size_t equals = item.find('=');
    const std::string domain(item.substr(0, equals));
    std::string endpoint;
    if (equals != std::string_view::npos)
      endpoint = item.substr(equals + 1);
    listeners.push_back({domain, endpoint, platform.Handler(domain)});
  }
  return listeners;
}

int RunPlatform(int argc, const char* const* argv) {
  std::optional<PlatformStandIn> platform;
  return RunStandIn(
      argc, argv, PlatformSpecs(),
      [&](boost::asio::io_context& context, const SettingsTable&) {
        return platform.emplace(context).Handler();
      },
      [&](const SettingsTable& settings) {
        return DomainListeners(*platform, settings.Text("domain-listen"));
      });
}

}  // namespace

}  // namespace turmericwinch

int main(int argc, char** argv) {
  return turmericwinch::RunPlatform(argc, argv);
}
