#include "libs/gateway/path_routes.h"

#include <algorithm>

#include "libs/base/soft_assert.h"

namespace turmericwinch {

namespace {

std::string LowerHostOf(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char it) {
    return static_cast<char>(std::tolower(it));
  });
  return name;
}

}  // namespace

void PathRoutes::Add(PathRoute route) {
  auto& routes = hosts_[LowerHostOf(route.host)];
  std::string prefix = route.path_prefix;
  size_ += routes.insert_or_assign(std::move(prefix), std::move(route)).second;
}

const PathRoute* PathRoutes::Find(std::string_view host,
                                  std::string_view path) const {
  auto routes = hosts_.find(LowerHostOf(host));
  if (routes == hosts_.end())
    return nullptr;
  // Every prefix ends with a slash, so only those lengths can match.
  for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    auto it = routes->second.find(std::string(path.substr(0, end + 1)));
    if (it != routes->second.end())
      return &it->second;
  }
  return nullptr;
}

const std::string& ServiceOf(const PathRoute& route, std::uint32_t draw) {
  static const std::string none;
  TW_SOFT_ASSERT(!route.shares.empty(), return none);
  std::int64_t sum = 0;
  for (const RouteShare& it : route.shares)
    sum += std::max(it.weight, 0);
  if (sum == 0)
    return route.shares.front().service;
  std::int64_t at = static_cast<std::int64_t>(draw) % sum;
  for (const RouteShare& it : route.shares) {
    at -= std::max(it.weight, 0);
    if (at < 0)
      return it.service;
  }
  return route.shares.back().service;
}

}  // namespace turmericwinch
