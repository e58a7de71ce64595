// Keeps requests that crash targets from being sent again, by any host.

#ifndef SRC_LIBS_GATEWAY_REQUEST_QUARANTINE_H_
#define SRC_LIBS_GATEWAY_REQUEST_QUARANTINE_H_

#include <atomic>
#include <mutex>
#include <string>

#include "libs/delivery/quarantine.h"
#include "libs/gateway/gateway_peers.h"
#include "libs/gateway/pending_losses.h"

namespace turmericwinch {

// Safe from any thread, but for OnTargets(), which is for the control thread.
class RequestQuarantine {
 public:
  RequestQuarantine(boost::asio::io_context& control, GatewayPeers& peers);

  // Whether any request is suspected; else none needs a digest.
  bool HasSuspects() const { return suspects_ > 0; }
  bool IsQuarantined(const std::string& digest) const;
  // The answer of a request to `loss.target` was lost.
  void OnLost(TargetLoss loss);
  // A target answered the request.
  void OnAnswered(const std::string& digest);
  // Counts the losses of targets that have ended, and tells the other hosts.
  void OnTargets(const HostList& list);

 private:
  bool Receive(const PeerFrame& frame);
  void Count(const std::string& digest, const std::string& target);

  boost::asio::io_context& control_;
  GatewayPeers& peers_;
  mutable std::mutex mutex_;
  PendingLosses pending_;
  Quarantine quarantine_;
  std::atomic<std::size_t> suspects_{0};
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_REQUEST_QUARANTINE_H_
