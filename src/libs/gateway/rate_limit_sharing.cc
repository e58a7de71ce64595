#include "libs/gateway/rate_limit_sharing.h"

#include <boost/asio.hpp>

#include "libs/base/log.h"
#include "libs/gateway/gateway_constants.h"
#include "libs/gateway/run_periodically.h"
#include "libs/routing/routing_constants.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr LogCategory kLog{"gateway"};

}  // namespace

RateLimitSharing::RateLimitSharing(asio::io_context& control,
                                   GatewayPeers& peers,
                                   SharedTargets& targets,
                                   ServiceDemand& demand)
    : control_(control), peers_(peers), targets_(targets), demand_(demand) {
  peers_.AddHandler(
      [this](const PeerFrame& frame) { return HandleFrame(frame); });
}

asio::awaitable<void> RateLimitSharing::Run() {
  return RunPeriodically(control_, kRateShareInterval, [this] { Update(); });
}

void RateLimitSharing::Update() {
  targets_.SetFirstRateShare(1.0 / static_cast<double>(peers_.size() + 1));
  const std::vector<RateLimitStatus> limits = targets_.RateLimits();
  if (limits.empty())
    return;
  const std::map<std::string, double> own_demands = demand_.Rates(Clock::now());
  SendNotice(limits, own_demands);
  UpdateShares(limits, own_demands);
}

void RateLimitSharing::SendNotice(
    const std::vector<RateLimitStatus>& limits,
    const std::map<std::string, double>& own_demands) {
  RateLimitNotice notice{peers_.address(), own_demands, {}};
  for (const RateLimitStatus& it : limits) {
    notice.limits.push_back(
        {it.target, it.incarnation, it.limit,
         std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               it.heard_at)});
  }
  peers_.SendToAll(notice);
}

void RateLimitSharing::UpdateShares(
    const std::vector<RateLimitStatus>& limits,
    const std::map<std::string, double>& own_demands) {
  std::map<std::string, std::vector<HostDemand>> by_service;
  for (const RateLimitStatus& it : limits) {
    if (!it.limit)
      continue;
    auto [entry, is_new] = by_service.try_emplace(it.service);
    std::vector<HostDemand>& demands = entry->second;
    if (is_new) {
      auto own = own_demands.find(it.service);
      demands =
          DemandsFor(it.service, own == own_demands.end() ? 0 : own->second);
    }
    double share = RateShareOf(peers_.address(), it.target, *it.limit, demands);
    if (Clock::now() - it.heard_at > kRateLimitStale)
      share = 1.0 / static_cast<double>(demands.size());
    targets_.SetRateShare(it.target, share);
  }
}

std::vector<HostDemand> RateLimitSharing::DemandsFor(const std::string& service,
                                                     double own) const {
  const Clock::time_point now = Clock::now();
  std::vector<HostDemand> demands = {{peers_.address(), own}};
  std::vector<std::string> silent;
  double sum = own;
  for (const std::string& address : peers_.addresses()) {
    auto it = known_peers_.find(address);
    if (it == known_peers_.end() ||
        now - it->second.heard_at > kPeerDemandHold) {
      silent.push_back(address);
      continue;
    }
    auto rate = it->second.demands.find(service);
    demands.push_back(
        {address, rate == it->second.demands.end() ? 0 : rate->second});
    sum += demands.back().rate;
  }
  const double mean = sum / static_cast<double>(demands.size());
  for (const std::string& it : silent)
    demands.push_back({it, mean});
  return demands;
}

bool RateLimitSharing::HandleFrame(const PeerFrame& frame) {
  const auto* notice = std::get_if<RateLimitNotice>(&frame);
  if (!notice)
    return false;
  const Clock::time_point now = Clock::now();
  known_peers_[notice->peer] = {notice->demands, now};
  std::erase_if(known_peers_, [now](const auto& it) {
    return now - it.second.heard_at > kPeerDemandHold;
  });
  for (const NamedRateLimit& it : notice->limits) {
    const bool changed = targets_.RecordRateLimitNotice(
        {it.target, it.incarnation, "", it.limit, now - it.age});
    if (changed) {
      LogEvent(kLog, Severity::kInfo, "target_rate_limit",
               {{"peer", notice->peer},
                {"target", it.target},
                {"per_second", it.limit ? std::to_string(*it.limit) : "none"}});
    }
  }
  return true;
}

}  // namespace turmericwinch
