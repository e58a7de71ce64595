// Divides the rate limits of targets between the hosts.

#ifndef SRC_LIBS_GATEWAY_RATE_LIMIT_SHARING_H_
#define SRC_LIBS_GATEWAY_RATE_LIMIT_SHARING_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "libs/gateway/gateway_peers.h"
#include "libs/gateway/service_demand.h"
#include "libs/node/shared_targets.h"
#include "libs/routing/rate_share.h"

namespace turmericwinch {

// While a target has a rate limit, the hosts tell each other their demand and
// what the target said last. Each host computes its own share by RateShareOf();
// hosts that know the same reach shares that sum up to the limit. Used on the
// control thread.
class RateLimitSharing {
 public:
  RateLimitSharing(boost::asio::io_context& control,
                   GatewayPeers& peers,
                   SharedTargets& targets,
                   ServiceDemand& demand);

  // Updates the shares at intervals. Runs until the process ends.
  boost::asio::awaitable<void> Run();
  // Sends the demand and the limits to the other hosts if any limit is known,
  // and updates the shares of this host.
  void Update();

 private:
  using Clock = std::chrono::steady_clock;

  // What another host said last.
  struct Peer {
    std::map<std::string, double> demands;
    Clock::time_point heard_at;
  };

  // Returns whether the frame was a notice of rate limits.
  bool HandleFrame(const PeerFrame& frame);
  void SendNotice(const std::vector<RateLimitStatus>& limits,
                  const std::map<std::string, double>& own_demands);
  void UpdateShares(const std::vector<RateLimitStatus>& limits,
                    const std::map<std::string, double>& own_demands);
  // The demand for the service at all hosts; `own` is that of this host. A host
  // that was not heard of lately counts with the mean of the others.
  std::vector<HostDemand> DemandsFor(const std::string& service,
                                     double own) const;

  boost::asio::io_context& control_;
  GatewayPeers& peers_;
  SharedTargets& targets_;
  ServiceDemand& demand_;
  std::map<std::string, Peer> known_peers_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_RATE_LIMIT_SHARING_H_
