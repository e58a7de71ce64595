// One published generation, indexed for lookups by the traffic threads.
// Immutable.

#ifndef SRC_LIBS_CONFIG_CONFIG_SNAPSHOT_H_
#define SRC_LIBS_CONFIG_CONFIG_SNAPSHOT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libs/config/config_set.h"

namespace turmericwinch {

enum class ServiceProtocol { kModel, kPlain };

struct TeamConfig {
  std::string name;
  int priority = 5;
  int share = 1;
  // Regions whose targets may get the team's requests; all if empty.
  std::vector<std::string> regions;
};

struct BudgetConfig {
  std::string name;
  std::string team;
  std::int64_t tokens = 0;
  std::vector<std::string> services;
  int reserve_percent = 50;
};

struct ServiceConfig {
  std::string name;
  ServiceProtocol protocol = ServiceProtocol::kModel;
  std::int64_t call_tokens = 1;
  std::int64_t most_output_tokens = 1024;
  std::chrono::milliseconds deadline{60'000};
};

struct RouteConfig {
  std::string name;
  std::string service;
  std::string path;
  std::vector<std::string> methods;
  bool repeatable = false;
  std::chrono::milliseconds deadline{60'000};
  std::vector<std::string> teams;
  // Regions whose targets may get the calls; all if empty.
  std::vector<std::string> regions;
};

struct TargetClassConfig {
  std::string name;
  std::string service;
  std::int64_t tokens_per_second = 50;
  std::int64_t most_in_flight = 64;
  // Time for which a target is cold after its start; 0 if it never is.
  std::chrono::milliseconds cold_time{0};
  // Requests per second that a cold target takes from all hosts together; 0 if
  // there is no limit.
  double cold_requests_per_second = 0;
  // Tokens of the requests that a target can hold at once; 0 if unknown.
  std::int64_t memory_tokens = 0;
};

struct FailureDomainConfig {
  std::string name;
  std::string region;
  std::vector<std::string> overflow;
  // Domains whose targets are considered equally with those of this domain.
  std::vector<std::string> near;
};

// A limit of 0 means unlimited.
struct LimitConfig {
  std::string name;
  std::string team;
  std::string service;
  std::int64_t requests_per_second = 0;
  std::int64_t most_in_flight = 0;
  std::int64_t most_tokens = 0;
};

// Built from a validated set; safe to read from any thread.
class ConfigSnapshot {
 public:
  ConfigSnapshot(std::uint64_t generation,
                 std::string digest,
                 const ConfigSet& set);

  std::uint64_t generation() const { return generation_; }
  const std::string& digest() const { return digest_; }

  // Team that has an API key with the SHA-256 hash `key_hash`, or null. The
  // lookup uses the hash, so its timing reveals nothing about the key.
  const TeamConfig* TeamOfKeyHash(const std::string& key_hash) const;
  const ServiceConfig* Service(const std::string& name) const;
  // Route with the longest path prefix that matches the call, or null.
  const RouteConfig* Route(const std::string& service,
                           std::string_view path,
                           std::string_view method) const;
  // Budgets of `team` that pay for `service`, ordered by name.
  std::vector<const BudgetConfig*> Budgets(const std::string& team,
                                           const std::string& service) const;
  // Limits that apply to calls of `team` to `service`.
  std::vector<const LimitConfig*> Limits(const std::string& team,
                                         const std::string& service) const;
  const TargetClassConfig* TargetClass(const std::string& name) const;
  const FailureDomainConfig* FailureDomain(const std::string& name) const;
  // Region of each failure domain that has one.
  const std::map<std::string, std::string>& domain_regions() const {
    return domain_regions_;
  }
  const std::map<std::string, BudgetConfig>& budgets() const {
    return budgets_;
  }
  const std::map<std::string, TeamConfig>& teams() const { return teams_; }
  const std::map<std::string, ServiceConfig>& services() const {
    return services_;
  }

 private:
  void AddObject(const ConfigObject& object);

  std::uint64_t generation_;
  std::string digest_;
  std::map<std::string, TeamConfig> teams_;
  std::unordered_map<std::string, std::string> team_of_key_;
  std::map<std::string, BudgetConfig> budgets_;
  std::unordered_map<std::string, std::vector<std::string>> budgets_of_team_;
  std::map<std::string, ServiceConfig> services_;
  std::map<std::string, std::vector<RouteConfig>> routes_of_service_;
  std::map<std::string, TargetClassConfig> target_classes_;
  std::map<std::string, FailureDomainConfig> failure_domains_;
  std::map<std::string, std::string> domain_regions_;
  std::unordered_map<std::string, std::vector<LimitConfig>> limits_of_team_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_CONFIG_CONFIG_SNAPSHOT_H_
