// Divides the requests that a cold target takes between the hosts. Free of
// clocks and I/O.

#ifndef SRC_LIBS_ROUTING_COLD_SENDERS_H_
#define SRC_LIBS_ROUTING_COLD_SENDERS_H_

#include <string>
#include <vector>

namespace turmericwinch {

// Limit of the requests that all hosts together may send to a cold target.
struct ColdLimit {
  // Requests per second that the target takes.
  double per_second = 0;
  // Bound of the requests in any second: a factor of `per_second`, and a number
  // beyond.
  double overshoot = 1;
  double tolerance = 0;
};

// Requests that all hosts together aim at in any second: half of the bound, so
// that two views of the fleet without a common host keep it together; at least
// one.
int ColdRequestsPerSecond(const ColdLimit& limit);

// Requests per second that `host` may send to a cold target; 0 if it may send
// none. Answers the load of many hosts that see the same idle target at once:
// hosts with the same list of `hosts` reach shares that sum up to
// ColdRequestsPerSecond(), without telling each other. `target` identifies the
// target and its incarnation.
int ColdShareOf(const std::string& host,
                const std::string& target,
                const ColdLimit& limit,
                const std::vector<std::string>& hosts);

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_COLD_SENDERS_H_
