// Keeps all hosts from sending requests again that crash targets.

#ifndef SRC_LIBS_GATEWAY_REQUEST_QUARANTINE_H_
#define SRC_LIBS_GATEWAY_REQUEST_QUARANTINE_H_

#include <atomic>
#include <mutex>
#include <string>

#include "libs/delivery/quarantine.h"
#include "libs/gateway/gateway_peers.h"
#include "libs/gateway/pending_losses.h"

namespace turmericwinch {

// Thread-safe, except that OnTargetList() is called on the control thread only.
class RequestQuarantine {
 public:
  RequestQuarantine(boost::asio::io_context& control, GatewayPeers& peers);

  // Whether any request is suspected. If not, no digest has to be computed.
  bool HasSuspects() const { return suspects_ > 0; }
  bool IsQuarantined(const std::string& digest) const;
  // Called when the response to a request at `loss.target` was lost.
  void OnLost(TargetLoss loss);
  // Called when a target has answered the request.
  void OnAnswered(const std::string& digest);
  // Counts the losses of targets that have ended, and notifies the other hosts.
  void OnTargetList(const HostList& list);

 private:
  // Returns whether the frame was a quarantine notice.
  bool HandleFrame(const PeerFrame& frame);
  void RecordLoss(const std::string& digest, const std::string& target);

  boost::asio::io_context& control_;
  GatewayPeers& peers_;
  mutable std::mutex mutex_;
  PendingLosses pending_;
  Quarantine quarantine_;
  std::atomic<std::size_t> suspects_{0};
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_REQUEST_QUARANTINE_H_
