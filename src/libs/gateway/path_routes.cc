#include "libs/gateway/path_routes.h"

#include <algorithm>

#include "libs/base/soft_assert.h"

namespace turmericwinch {

namespace {

std::string NormalizeHost(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char it) {
    return static_cast<char>(std::tolower(it));
  });
  return name;
}

}  // namespace

void PathRoutes::AddRoute(PathRoute route) {
  auto& routes = hosts_[NormalizeHost(route.host)];
  std::string prefix = route.path_prefix;
  size_ += routes.insert_or_assign(std::move(prefix), std::move(route)).second;
}

const PathRoute* PathRoutes::FindRoute(std::string_view host,
                                       std::string_view path) const {
  auto routes = hosts_.find(NormalizeHost(host));
  if (routes == hosts_.end())
    return nullptr;
  // Every prefix ends with a slash, so only these lengths can match.
  for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    auto it = routes->second.find(std::string(path.substr(0, end + 1)));
    if (it != routes->second.end())
      return &it->second;
  }
  return nullptr;
}

const std::string& ChooseService(const PathRoute& route, std::uint32_t random) {
  static const std::string none;
  TW_SOFT_ASSERT(!route.services.empty(), return none);
  std::int64_t total_weight = 0;
  for (const WeightedService& it : route.services)
    total_weight += std::max(it.weight, 0);
  if (total_weight == 0)
    return route.services.front().service;
  std::int64_t position = static_cast<std::int64_t>(random) % total_weight;
  for (const WeightedService& it : route.services) {
    position -= std::max(it.weight, 0);
    if (position < 0)
      return it.service;
  }
  return route.services.back().service;
}

}  // namespace turmericwinch
