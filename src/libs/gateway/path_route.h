// A route from a host name and a path to a service.

#ifndef SRC_LIBS_GATEWAY_PATH_ROUTE_H_
#define SRC_LIBS_GATEWAY_PATH_ROUTE_H_

#include <chrono>
#include <string>
#include <vector>

namespace turmericwinch {

// What may be done with a request again once a target may have run it.
enum class RouteKind {
  // Nothing.
  kOnce,
  // Send it to another target.
  kRepeatable,
  // A stream that may not run twice.
  kStreamOnce,
  // A stream that another target can go on with after its last event.
  kStreamResumable,
};

inline bool IsStream(RouteKind kind) {
  return kind == RouteKind::kStreamOnce || kind == RouteKind::kStreamResumable;
}

// One of the services that share a route's requests; weights are relative.
struct RouteShare {
  std::string service;
  int weight = 1;
};

// `path_prefix` begins and ends with a slash. `first_goal` is the time in which
// an answer, of a stream its first event, is on time. Rank 0 goes first.
struct PathRoute {
  std::string name;
  std::string host;
  std::string path_prefix;
  RouteKind kind = RouteKind::kOnce;
  std::vector<RouteShare> shares;
  std::chrono::milliseconds timeout{30'000};
  std::chrono::milliseconds first_goal{1'000};
  int rank = 0;
  int most_attempts = 1;
  // Open to callers without a key.
  bool is_public = false;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_PATH_ROUTE_H_
