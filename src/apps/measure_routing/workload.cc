#include "apps/measure_routing/workload.h"

#include <cmath>
#include <vector>

#include "apps/measure_routing/model_constants.h"

namespace turmericwinch {

Workload::Workload(std::uint64_t seed, std::size_t hosts)
    : random_(seed), hosts_(hosts) {
  std::vector<double> weights;
  for (std::size_t n = 0; n < kManifests; ++n)
    weights.push_back(1 / std::sqrt(static_cast<double>(n + 1)));
  manifests_ =
      std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
}

Job Workload::Next(double now, double rate) {
  Job job;
  job.arrival = now - std::log(1 - Uniform()) / rate;
  job.lookup = Uniform() < kLookupShare;
  job.manifest = manifests_(random_);
  const double size = 0.5 + Uniform();
  job.shared = job.lookup ? kManifestTokens : 0;
  job.prompt = job.shared + size * (job.lookup ? kSheetTokens : kChatTokens);
  const double output =
      (0.5 + Uniform()) * (job.lookup ? kLookupOutput : kChatOutput);
  job.output = static_cast<int>(output);
  job.host = static_cast<std::size_t>(Uniform() * static_cast<double>(hosts_));
  return job;
}

}  // namespace turmericwinch
