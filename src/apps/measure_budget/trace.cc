#include "apps/measure_budget/trace.h"

#include <cmath>
#include <numeric>

#include "apps/measure_budget/model_constants.h"

namespace turmericwinch {

Trace::Trace(const FleetSize& size) : size_(size), random_(size.seed) {
  for (std::size_t n = 0; n < size.budgets; ++n) {
    names_.push_back("team-" + std::to_string(n));
    shares_.push_back(
        1 / std::pow(static_cast<double>(n + 1), kPopularityExponent));
  }
  const double sum = std::accumulate(shares_.begin(), shares_.end(), 0.0);
  for (double& it : shares_)
    it /= sum;
  popularity_ =
      std::discrete_distribution<std::size_t>(shares_.begin(), shares_.end());
}

std::size_t Trace::Below(std::size_t n) {
  return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
}

std::size_t Trace::DomainFor(std::size_t budget) {
  const bool busy = static_cast<double>(budget) <
                    kBusyShare * static_cast<double>(size_.budgets);
  if (busy || Uniform() < size_.stray_share)
    return Below(size_.domains);
  return budget % size_.domains;
}

TraceRequest Trace::NextRequest() {
  ++last_.id;
  last_.arrival -= std::log(1 - Uniform()) / size_.rate;
  last_.budget = popularity_(random_);
  const std::size_t domain = DomainFor(last_.budget);
  last_.host = domain + size_.domains * Below(size_.HostsIn(domain));
  const double bound = kMinBound + Uniform() * (kMaxBound - kMinBound);
  const double share = kMinUse + Uniform() * (kMaxUse - kMinUse);
  last_.bound = static_cast<std::int64_t>(bound);
  last_.used = static_cast<std::int64_t>(bound * share);
  return last_;
}

double Trace::DemandOf(std::size_t budget) const {
  return shares_[budget] * size_.rate * kMeanUsedTokens;
}

}  // namespace turmericwinch
