#include "libs/routing/target_queue.h"

#include <algorithm>
#include <set>
#include <utility>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

std::optional<TargetChoice> TargetQueue::BeginOrEnqueue(
    const RoutingRequest& wish,
    TimePoint deadline,
    TimePoint now,
    std::optional<QueueTicket>* ticket,
    Reason* reason) {
  Queue& queue = queues_[wish.service];
  // Teams that wait are over their share, or there is no room for any.
  if (!queue.order.Waits(wish.team)) {
    std::optional<TargetChoice> choice =
        table_.BeginAttempt(wish, {}, now, reason);
    if (choice || reason->code != ResultCode::kOverloaded)
      return choice;
  }
  // A short prompt's answer takes its time too: it counts as a whole turn.
  const std::int64_t tokens =
      std::max(wish.prompt_tokens, static_cast<std::int64_t>(kTurnTokens));
  std::optional<std::uint64_t> request =
      queue.order.Add(wish.team, wish.share, tokens, deadline, now, reason);
  if (request) {
    queue.wishes.emplace(*request, wish);
    *ticket = QueueTicket{wish.service, *request};
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
  while (std::optional<std::uint64_t> request = queue.order.Front(blocked)) {
    const RoutingRequest& wish = queue.wishes.at(*request);
    Reason reason;
    std::optional<TargetChoice> choice =
        table_.BeginAttempt(wish, {}, now, &reason);
    if (!choice) {
      // Room that is missing for a team within its share is missing for all.
      if (!table_.IsOverShare(wish, now))
        return;
      blocked.insert(wish.team);
      continue;
    }
    starts.push_back({{service, *request}, std::move(*choice)});
    queue.order.Start(*request, now);
    queue.wishes.erase(*request);
  }
}

void TargetQueue::Remove(const QueueTicket& ticket) {
  auto it = queues_.find(ticket.service);
  if (it == queues_.end())
    return;
  it->second.order.Remove(ticket.request);
  it->second.wishes.erase(ticket.request);
}

std::map<std::string, std::size_t> TargetQueue::Sizes() const {
  std::map<std::string, std::size_t> sizes;
  for (const auto& [service, queue] : queues_)
    sizes[service] = queue.order.size();
  return sizes;
}

}  // namespace turmericwinch
