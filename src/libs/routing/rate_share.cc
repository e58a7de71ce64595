#include "libs/routing/rate_share.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "libs/base/digest.h"
#include "libs/routing/routing_constants.h"

namespace turmericwinch {

namespace {

// A host that may use a part of the limit.
struct Candidate {
  const HostDemand* host = nullptr;
  double weight = 0;
  // Weighted rendezvous hashing: the candidates with the highest rank are
  // chosen, in proportion to their weights over all targets.
  double rank = 0;
};

double RankOf(const std::string& host,
              const std::string& target,
              double weight) {
  const double fraction =
      (static_cast<double>(Hash64(host, Hash64(target))) + 1) /
      (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2);
  return std::log(fraction) / weight;
}

}  // namespace

double RateShareOf(const std::string& host,
                   const std::string& target,
                   double limit,
                   const std::vector<HostDemand>& hosts) {
  double sum = 0;
  for (const HostDemand& it : hosts)
    sum += it.rate;
  const double mean =
      sum / static_cast<double>(std::max<std::size_t>(hosts.size(), 1));
  const double min_weight = mean > 0 ? mean * kMinDemandFraction : 1;
  std::vector<Candidate> candidates;
  for (const HostDemand& it : hosts) {
    const double weight = std::max(it.rate, min_weight);
    candidates.push_back({&it, weight, RankOf(it.host, target, weight)});
  }
  const auto chosen = static_cast<std::size_t>(
      std::min(std::floor(limit) + kMinRateHosts,
               static_cast<double>(candidates.size())));
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(chosen),
                    candidates.end(),
                    [](const Candidate& left, const Candidate& right) {
                      return left.rank > right.rank;
                    });
  candidates.resize(chosen);
  double own = 0;
  double total = 0;
  for (const Candidate& it : candidates) {
    total += it.weight;
    if (it.host->host == host)
      own = it.weight;
  }
  return total > 0 ? own / total : 0;
}

}  // namespace turmericwinch
