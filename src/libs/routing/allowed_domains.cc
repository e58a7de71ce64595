#include "libs/routing/allowed_domains.h"

#include <algorithm>

namespace turmericwinch {

namespace {

bool Allows(const std::vector<std::string>& regions,
            const std::string& region) {
  return regions.empty() ||
         std::find(regions.begin(), regions.end(), region) != regions.end();
}

}  // namespace

std::shared_ptr<const std::set<std::string>> AllowedDomains(
    const std::vector<std::string>& route_regions,
    const std::vector<std::string>& team_regions,
    const std::map<std::string, std::string>& domain_regions) {
  if (route_regions.empty() && team_regions.empty())
    return nullptr;
  std::set<std::string> domains;
  for (const auto& [domain, region] : domain_regions) {
    if (!region.empty() && Allows(route_regions, region) &&
        Allows(team_regions, region))
      domains.insert(domain);
  }
  return std::make_shared<const std::set<std::string>>(std::move(domains));
}

}  // namespace turmericwinch
