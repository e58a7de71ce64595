// Divides the rate limit of a target between the hosts. Free of clocks and I/O.

#ifndef SRC_LIBS_ROUTING_RATE_SHARE_H_
#define SRC_LIBS_ROUTING_RATE_SHARE_H_

#include <string>
#include <vector>

namespace turmericwinch {

// A host and the requests per second that its callers send to a service.
struct HostDemand {
  std::string host;
  double rate = 0;
};

// Returns the part, 0 to 1, of the `limit` (requests per second) of `target`
// that `host` may use. Answers the load of targets that take less than their
// share of the requests: hosts with more callers get more. Each host may save
// a request up, and all may use what they saved at once, so that only
// kMinRateHosts hosts get a share, and one more for each request per second.
// The hosts must have different names.
double RateShareOf(const std::string& host,
                   const std::string& target,
                   double limit,
                   const std::vector<HostDemand>& hosts);

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_RATE_SHARE_H_
