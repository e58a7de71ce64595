#include "apps/measure_budget/peer_model.h"

#include <utility>

#include "apps/measure_budget/model_constants.h"
#include "libs/base/digest.h"

namespace turmericwinch {

namespace {

// Bytes of the numbers in a request item and in a grant, and of a string's
// header.
constexpr std::size_t kItemNumberBytes = 6 * 5;
constexpr std::size_t kGrantNumberBytes = 3 * 5;
constexpr std::size_t kStringHeaderBytes = 2;

std::size_t MessageBytes(const LoanRequest& request) {
  std::size_t bytes = kMessageBytes + request.borrower.size() +
                      request.lender.size() + request.reply_to.size();
  for (const LoanRequestItem& it : request.items)
    bytes += it.budget.size() + kStringHeaderBytes + kItemNumberBytes;
  return bytes;
}

std::size_t MessageBytes(const LoanResponse& response) {
  std::size_t bytes =
      kMessageBytes + response.lender.size() + response.borrower.size();
  for (const LoanGrant& it : response.grants)
    bytes += it.budget.size() + kStringHeaderBytes + kGrantNumberBytes;
  return bytes;
}

}  // namespace

PeerModel::PeerModel(EventQueue& queue, const FleetSize& size)
    : queue_(queue), size_(size), host_bytes_(size.hosts) {}

std::string PeerModel::AddressOf(std::size_t host) {
  return std::to_string(host);
}

std::size_t PeerModel::LenderHost(std::size_t domain,
                                  std::uint64_t bucket) const {
  std::size_t best = domain;
  std::uint64_t best_weight = 0;
  for (std::size_t n = domain; n < size_.hosts; n += size_.domains) {
    const std::uint64_t weight = Hash64(AddressOf(n), bucket);
    if (weight < best_weight)
      continue;
    best = n;
    best_weight = weight;
  }
  return best;
}

void PeerModel::Send(std::size_t from,
                     const std::string& address,
                     PeerMessage message) {
  const auto to = static_cast<std::size_t>(std::stoul(address));
  const std::size_t bytes =
      std::visit([](const auto& it) { return MessageBytes(it); }, message);
  host_bytes_[from] += bytes;
  host_bytes_[to] += bytes;
  queue_.After(
      Seconds(kPeerLatencySeconds),
      [this, to, message = std::move(message)] { on_message(to, message); });
}

}  // namespace turmericwinch
