// The routes of one configuration, indexed by host name and path.

#ifndef SRC_LIBS_GATEWAY_PATH_ROUTES_H_
#define SRC_LIBS_GATEWAY_PATH_ROUTES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libs/gateway/path_route.h"

namespace turmericwinch {

// Immutable once filled; safe to read from any thread.
class PathRoutes {
 public:
  void Add(PathRoute route);
  // The route of `host` whose prefix is the longest that begins `path`; null if
  // there is none. `host` may carry a port.
  const PathRoute* Find(std::string_view host, std::string_view path) const;
  std::size_t size() const { return size_; }

 private:
  // Routes by host, then by prefix.
  std::unordered_map<std::string, std::unordered_map<std::string, PathRoute>>
      hosts_;
  std::size_t size_ = 0;
};

// The service that takes a request of `route`; `draw` is spread over all its
// values.
const std::string& ServiceOf(const PathRoute& route, std::uint32_t draw);

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_PATH_ROUTES_H_
