// A route from a host name and a path to a service.

#ifndef SRC_LIBS_GATEWAY_PATH_ROUTE_H_
#define SRC_LIBS_GATEWAY_PATH_ROUTE_H_

#include <chrono>
#include <string>
#include <vector>

namespace turmericwinch {

// Whether a request may be sent again after a target may have run it.
enum class RouteKind {
  // The request must not be sent again.
  kOnce,
  // The request may be sent to another target.
  kRepeatable,
  // A stream that must not run twice.
  kStreamOnce,
  // A stream that another target can resume after the last event.
  kStreamResumable,
};

inline bool IsStream(RouteKind kind) {
  return kind == RouteKind::kStreamOnce || kind == RouteKind::kStreamResumable;
}

// Whether the request may run at more than one target.
inline bool IsRepeatable(RouteKind kind) {
  return kind == RouteKind::kRepeatable || kind == RouteKind::kStreamResumable;
}

// A service that gets a part of a route's requests, by its relative weight.
struct WeightedService {
  std::string service;
  int weight = 1;
};

// `path_prefix` begins and ends with a slash. `first_byte_goal` is the latency
// objective of a response or of the first event of a stream. Requests of
// priority 0 are served first.
struct PathRoute {
  std::string name;
  std::string host;
  std::string path_prefix;
  RouteKind kind = RouteKind::kOnce;
  std::vector<WeightedService> services;
  std::chrono::milliseconds timeout{30'000};
  std::chrono::milliseconds first_byte_goal{1'000};
  int priority = 0;
  int max_attempts = 1;
  // Whether callers without an API key are allowed.
  bool is_public = false;
  // Regions whose targets may get the requests; all if empty.
  std::vector<std::string> regions;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_PATH_ROUTE_H_
