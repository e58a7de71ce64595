// Simulates the platform as hosts reach it, with latency, outages, partitions
// and lost answers.

#ifndef SRC_APPS_MEASURE_BUDGET_PLATFORM_MODEL_H_
#define SRC_APPS_MEASURE_BUDGET_PLATFORM_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "apps/measure_budget/event_queue.h"
#include "apps/measure_budget/fleet_size.h"
#include "budget/fake_platform.h"

namespace turmericwinch {

// Calls that reached the platform.
struct PlatformLoad {
  std::uint64_t account_writes = 0;
  std::uint64_t shard_writes = 0;
  std::uint64_t bill_writes = 0;
  std::uint64_t reads = 0;

  std::uint64_t Writes() const {
    return account_writes + shard_writes + bill_writes;
  }
  PlatformLoad operator-(const PlatformLoad& before) const {
    return {account_writes - before.account_writes,
            shard_writes - before.shard_writes,
            bill_writes - before.bill_writes, reads - before.reads};
  }
};

class PlatformModel {
 public:
  using Done = std::function<void(const PlatformAnswer&)>;

  PlatformModel(EventQueue& queue, const FleetSize& size);

  // Makes a call for a host. `done` is called later with the answer.
  void Call(std::size_t host, PlatformCall call, Done done);
  // Partitions a failure domain from the platform, or reconnects it.
  void SetPartitioned(std::size_t domain, bool partitioned);
  bool IsPartitioned(std::size_t domain) const {
    return partitioned_domains_.contains(domain);
  }
  // Whether calls of the host reach the platform now.
  bool IsReachable(std::size_t host) const {
    return !store_.down && !IsPartitioned(size_.DomainOf(host));
  }
  // Ends all faults for the rest of the run.
  void EndFaults();

  FakePlatform& store() { return store_; }
  const FakePlatform& store() const { return store_; }
  // Tokens of all written bills, by budget.
  const std::map<std::string, std::int64_t>& billed() const { return billed_; }
  const PlatformLoad& load() const { return load_; }
  // Bytes of the calls and answers of each host.
  const std::vector<std::uint64_t>& host_bytes() const { return host_bytes_; }

 private:
  PlatformFault NextFault();
  void OnArrival(std::size_t host, const PlatformCall& call, const Done& done);
  void CountCall(const PlatformCall& call);
  void CountBills(const PlatformCall& call);

  EventQueue& queue_;
  FleetSize size_;
  std::mt19937_64 random_;
  double loss_share_;
  FakePlatform store_;
  std::set<std::size_t> partitioned_domains_;
  PlatformLoad load_;
  std::map<std::string, std::int64_t> billed_;
  std::vector<std::uint64_t> host_bytes_;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_PLATFORM_MODEL_H_
