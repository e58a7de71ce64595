#include "libs/routing/target_queue.h"

#include <algorithm>
#include <set>
#include <utility>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

std::optional<TargetChoice> TargetQueue::BeginOrEnqueue(
    const RoutingRequest& request,
    TimePoint deadline,
    TimePoint now,
    std::optional<QueueTicket>* ticket,
    Reason* reason) {
  Queue& queue = queues_[request.service];
  // If requests of the team are queued, the team is over its share or no team
  // finds room, so the new request can't start either.
  if (!queue.order.HasWaiting(request.team)) {
    std::optional<TargetChoice> choice =
        table_.BeginAttempt(request, {}, now, reason);
    if (choice || reason->code != ResultCode::kOverloaded)
      return choice;
  }
  // A request with a short prompt still occupies the target for its output, so
  // it costs at least one quantum.
  const std::int64_t tokens = std::max(
      request.prompt_tokens, static_cast<std::int64_t>(kQuantumTokens));
  std::optional<std::uint64_t> id = queue.order.Enqueue(
      request.team, request.share, tokens, deadline, now, reason);
  if (id) {
    queue.requests.emplace(*id, request);
    *ticket = QueueTicket{request.service, *id};
  }
  return std::nullopt;
}

std::vector<DequeuedRequest> TargetQueue::DequeueReady(TimePoint now) {
  std::vector<DequeuedRequest> starts;
  for (auto& [service, queue] : queues_)
    DequeueReady(service, queue, now, starts);
  return starts;
}

void TargetQueue::DequeueReady(const std::string& service,
                               Queue& queue,
                               TimePoint now,
                               std::vector<DequeuedRequest>& starts) {
  std::set<std::string> blocked;
  while (std::optional<std::uint64_t> id = queue.order.Front(blocked)) {
    const RoutingRequest& request = queue.requests.at(*id);
    Reason reason;
    std::optional<TargetChoice> choice =
        table_.BeginAttempt(request, {}, now, &reason);
    if (!choice && reason.code != ResultCode::kOverloaded) {
      starts.push_back({{service, *id}, std::nullopt, std::move(reason)});
      queue.order.Remove(*id);
      queue.requests.erase(*id);
      continue;
    }
    if (!choice) {
      // If a team within its share finds no room, no other team does either.
      if (!table_.IsOverShare(request, now))
        return;
      blocked.insert(request.team);
      continue;
    }
    starts.push_back({{service, *id}, std::move(choice), {}});
    queue.order.RemoveStarted(*id, now);
    queue.requests.erase(*id);
  }
}

void TargetQueue::Remove(const QueueTicket& ticket) {
  auto it = queues_.find(ticket.service);
  if (it == queues_.end())
    return;
  it->second.order.Remove(ticket.request);
  it->second.requests.erase(ticket.request);
}

std::map<std::string, std::size_t> TargetQueue::Sizes() const {
  std::map<std::string, std::size_t> sizes;
  for (const auto& [service, queue] : queues_)
    sizes[service] = queue.order.size();
  return sizes;
}

}  // namespace turmericwinch
