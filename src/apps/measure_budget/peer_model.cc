#include "apps/measure_budget/peer_model.h"

#include <utility>

#include "apps/measure_budget/model_constants.h"
#include "libs/base/digest.h"

namespace turmericwinch {

namespace {

// Bytes of the numbers of an item, and what encloses a string.
constexpr std::size_t kWishNumbers = 6 * 5;
constexpr std::size_t kGrantNumbers = 3 * 5;
constexpr std::size_t kTextBytes = 2;

std::size_t SizeOf(const LoanRequest& ask) {
  std::size_t bytes = kMessageBytes + ask.borrower.size() + ask.lender.size() +
                      ask.reply_to.size();
  for (const LoanRequestItem& it : ask.items)
    bytes += it.budget.size() + kTextBytes + kWishNumbers;
  return bytes;
}

std::size_t SizeOf(const LoanResponse& answer) {
  std::size_t bytes =
      kMessageBytes + answer.lender.size() + answer.borrower.size();
  for (const LoanGrant& it : answer.grants)
    bytes += it.budget.size() + kTextBytes + kGrantNumbers;
  return bytes;
}

}  // namespace

PeerModel::PeerModel(EventQueue& queue, const FleetSize& size)
    : queue_(queue), size_(size), host_bytes_(size.hosts) {}

std::string PeerModel::AddressOf(std::size_t host) {
  return std::to_string(host);
}

std::size_t PeerModel::AnsweringHost(std::size_t domain,
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
      std::visit([](const auto& it) { return SizeOf(it); }, message);
  host_bytes_[from] += bytes;
  host_bytes_[to] += bytes;
  queue_.After(Seconds(kPeerSeconds), [this, to, message = std::move(message)] {
    on_message(to, message);
  });
}

}  // namespace turmericwinch
