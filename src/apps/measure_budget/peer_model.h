// Simulates messages between hosts of one failure domain.

#ifndef SRC_APPS_MEASURE_BUDGET_PEER_MODEL_H_
#define SRC_APPS_MEASURE_BUDGET_PEER_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "apps/measure_budget/event_queue.h"
#include "apps/measure_budget/fleet_size.h"
#include "libs/budget/loan_message.h"

namespace turmericwinch {

using PeerMessage = std::variant<LoanRequest, LoanResponse>;

// Delivers each message to the incarnation that runs at the address when the
// message arrives.
class PeerModel {
 public:
  PeerModel(EventQueue& queue, const FleetSize& size);

  static std::string AddressOf(std::size_t host);
  // Index of the host of `domain` that lends the tokens of a bucket.
  std::size_t LenderHost(std::size_t domain, std::uint64_t bucket) const;
  void Send(std::size_t from, const std::string& address, PeerMessage message);

  // Called with each message delivered to a host.
  std::function<void(std::size_t host, const PeerMessage&)> on_message;
  // Bytes that each host sent and received.
  const std::vector<std::uint64_t>& host_bytes() const { return host_bytes_; }

 private:
  EventQueue& queue_;
  FleetSize size_;
  std::vector<std::uint64_t> host_bytes_;
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_PEER_MODEL_H_
