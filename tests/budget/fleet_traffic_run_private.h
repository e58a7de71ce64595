// Data of FleetTrafficRun, internal to the simulation.

#ifndef TESTS_BUDGET_FLEET_TRAFFIC_RUN_PRIVATE_H_
#define TESTS_BUDGET_FLEET_TRAFFIC_RUN_PRIVATE_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fleet_traffic_host.h"
#include "fleet_traffic_run.h"

namespace turmericwinch {

inline constexpr int kTeams = 24;
inline constexpr std::int64_t kMaxCost = 10'000;
inline constexpr std::chrono::seconds kEnd{15};
inline constexpr std::chrono::seconds kOutageStart{8};
inline constexpr std::chrono::seconds kTimeAfterOutage{6};
inline constexpr std::chrono::milliseconds kMessageTime{1};
inline constexpr std::int64_t kLinkMbps = 10;
inline constexpr std::int64_t kStrongLinkMbps = 200;

inline std::string TeamName(int n) {
  return "team-" + std::to_string(n);
}

class FleetTrafficRun::Private {
 public:
  explicit Private(const FleetTrafficOptions& options)
      : options(options), random(options.seed) {
    for (int n = 0; n < options.hosts; ++n) {
      hosts.push_back(std::make_unique<FleetTrafficHost>(
          n, "domain-" + std::to_string(n % options.domains),
          n < options.strong_hosts ? kStrongLinkMbps : kLinkMbps));
    }
  }

  void At(std::chrono::microseconds delay, std::function<void()> action) {
    events.emplace(now + delay, std::move(action));
  }
  MonotonicTime Time() const { return MonotonicTime(now); }
  BootTime Boot() const {
    return std::chrono::duration_cast<BootTime>(now) + BootTime(1'000'000);
  }
  bool IsStoreAway() const {
    return now >= kOutageStart && now < kOutageStart + options.outage;
  }
  std::chrono::microseconds End() const {
    return options.outage.count() == 0
               ? std::chrono::microseconds(kEnd)
               : kOutageStart + options.outage + kTimeAfterOutage;
  }
  // Lists an earlier incarnation of each host in the account, with tokens.
  void AddEarlierIncarnations();
  std::chrono::microseconds TransferTime(const FleetTrafficHost& host) const;
  // Ends a sync whose call the store does not answer.
  void FailCall(FleetTrafficHost& host);
  // Asks another host to list `host` in the account. Returns whether one was
  // asked.
  bool RequestIntroduction(FleetTrafficHost& host);
  void OpenAll(FleetTrafficHost& host);
  void Tick(FleetTrafficHost& host);
  void RequestSync(FleetTrafficHost& host);
  void Read(FleetTrafficHost& host, int conflicts);
  void Plan(FleetTrafficHost& host, int conflicts);
  void Write(FleetTrafficHost& host, int conflicts);
  void EndSync(FleetTrafficHost& host, bool done);
  bool PlanWrite(FleetTrafficHost& host);
  void Arrive(FleetTrafficHost& host);
  bool Start(FleetTrafficHost& host, const WaitingRequest& request);
  void Wake(FleetTrafficHost& host);
  bool MustDraw(const FleetTrafficHost& host,
                const WaitingRequest& request) const;
  void BorrowInDomain(FleetTrafficHost& host);
  void BorrowInFleet(FleetTrafficHost& host);
  void StartSearch(FleetTrafficHost& host,
                   const WaitingRequest& request,
                   LoanScope scope,
                   std::vector<LenderEndpoint> lenders);
  void SendLoanRequests(FleetTrafficHost& host);
  FleetTrafficHost* FindHost(const std::string& address);
  void HandleLoanRequest(FleetTrafficHost& lender, const LoanRequest& request);
  void SendLoanResponse(const LoanRequest& request,
                        const LoanResponse& response);
  void ScheduleArrival(FleetTrafficHost& host);

  FleetTrafficOptions options;
  std::mt19937_64 random;
  std::chrono::microseconds now{0};
  std::multimap<std::chrono::microseconds, std::function<void()>> events;
  std::vector<std::unique_ptr<FleetTrafficHost>> hosts;
  FleetAccount account;
  std::uint64_t version = 1;
  int next_request = 0;
  std::map<std::string, std::int64_t> used;
  FleetTrafficResult result;
};

}  // namespace turmericwinch

#endif  // TESTS_BUDGET_FLEET_TRAFFIC_RUN_PRIVATE_H_
