// The routes of one configuration, indexed by host name and path prefix.

#ifndef SRC_LIBS_GATEWAY_PATH_ROUTES_H_
#define SRC_LIBS_GATEWAY_PATH_ROUTES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libs/gateway/path_route.h"

namespace turmericwinch {

// Thread-safe once all routes are added.
class PathRoutes {
 public:
  void AddRoute(PathRoute route);
  // Finds the route of `host` with the longest prefix of `path`; null if there
  // is none. `host` may include a port.
  const PathRoute* FindRoute(std::string_view host,
                             std::string_view path) const;
  std::size_t size() const { return size_; }

 private:
  // Routes by host, then by prefix.
  std::unordered_map<std::string, std::unordered_map<std::string, PathRoute>>
      hosts_;
  std::size_t size_ = 0;
};

// Chooses the service for a request of `route` by weight. `random` is a
// uniformly distributed random number.
const std::string& ChooseService(const PathRoute& route, std::uint32_t random);

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_PATH_ROUTES_H_
