// The order in which the hosts of a failure domain take on duties for it. Free
// of clocks and I/O.

#ifndef SRC_LIBS_BUDGET_RANKED_HOSTS_H_
#define SRC_LIBS_BUDGET_RANKED_HOSTS_H_

#include <string>
#include <vector>

#include "libs/budget/fleet_account.h"

namespace turmericwinch {

struct RankedHost {
  // Name of the host, and of its process in the account.
  std::string host;
  std::string holder;
  std::string address;
};

// Hosts of `domain` that the account lists with an address. Those with the
// widest network links come first, as duties add to the traffic of a link;
// among equal ones the order is that of a hash of the name, so that it does not
// change when a process restarts.
std::vector<RankedHost> RankHosts(const FleetAccount& account,
                                  const std::string& domain);

// Names of the hosts in the account, sorted; each host once.
std::vector<std::string> HostNames(const FleetAccount& account);

// Hosts of a domain that list others in the account. They keep stocks, so they
// write the account anyway.
inline constexpr std::size_t kIntroducersOfDomain = 2;

// Address of the host that lists `holder`, of `domain`, in the account with its
// own next write: one of the first in rank of the domain, if the account lists
// any, so that hosts that start together ask the same few. Empty if the account
// lists no other host.
std::string FindIntroducer(const FleetAccount& account,
                           const std::string& holder,
                           const std::string& domain);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_RANKED_HOSTS_H_
