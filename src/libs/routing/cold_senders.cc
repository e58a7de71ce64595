#include "libs/routing/cold_senders.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

#include "libs/base/digest.h"
#include "libs/routing/routing_constants.h"

namespace turmericwinch {

int ColdRequestsPerSecond(const ColdLimit& limit) {
  const double bound = limit.per_second * limit.overshoot + limit.tolerance;
  const double aim = std::floor(
      std::min({limit.per_second, bound / 2, kMaxColdRequestsPerSecond}));
  return std::max(static_cast<int>(aim), 1);
}

int ColdShareOf(const std::string& host,
                const std::string& target,
                const ColdLimit& limit,
                const std::vector<std::string>& hosts) {
  const int sum = ColdRequestsPerSecond(limit);
  const int senders = std::min(static_cast<int>(hosts.size()),
                               std::max(sum / kMinColdRequestsPerSender, 1));
  const std::uint64_t seed = Hash64(target);
  const std::pair<std::uint64_t, std::string> own{Hash64(host, seed), host};
  // Position of this host among those with the lowest hashes.
  int position = 0;
  bool is_listed = false;
  for (const std::string& it : hosts) {
    is_listed = is_listed || it == host;
    if (std::pair(Hash64(it, seed), it) < own && ++position >= senders)
      return 0;
  }
  if (!is_listed)
    return 0;
  return sum / senders + (position < sum % senders ? 1 : 0);
}

}  // namespace turmericwinch
