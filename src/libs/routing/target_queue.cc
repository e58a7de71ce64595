#include "libs/routing/target_queue.h"

#include <algorithm>
#include <set>
#include <utility>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

namespace {

// A character that no name of a team or failure domain contains.
constexpr char kLaneSeparator = '\n';

// The name under which the request queues: its team, its allowed domains and
// its excluded targets.
std::string LaneOf(const RoutingRequest& request,
                   const std::set<std::string>& excluded) {
  std::string lane = request.team;
  if (!request.domains && excluded.empty())
    return lane;
  lane += kLaneSeparator;
  if (request.domains) {
    for (const std::string& it : *request.domains)
      lane += it + kLaneSeparator;
  }
  lane += kLaneSeparator;
  for (const std::string& it : excluded)
    lane += it + kLaneSeparator;
  // An empty set of domains differs from none.
  lane += request.domains ? '1' : '0';
  return lane;
}

// Whether a queued request can't be served although targets are listed. One
// whose targets are all missing waits, because a list may be replaced at once.
bool EndsWait(ResultCode code) {
  return code == ResultCode::kDomainEvacuated ||
         code == ResultCode::kNoAllowedTarget;
}

}  // namespace

std::optional<TargetChoice> TargetQueue::BeginOrEnqueue(
    const RoutingRequest& request,
    TimePoint deadline,
    TimePoint now,
    std::optional<QueueTicket>* ticket,
    Reason* reason,
    const std::set<std::string>& excluded) {
  Queue& queue = queues_[request.service];
  const std::string lane = LaneOf(request, excluded);
  // If requests of the lane are queued, the team is over its share or no target
  // of the allowed domains has room, so the new request can't start either.
  if (!queue.order.HasWaiting(lane)) {
    std::optional<TargetChoice> choice =
        table_.BeginAttempt(request, excluded, now, reason);
    if (choice || reason->code != ResultCode::kOverloaded)
      return choice;
  }
  // A request with a short prompt still occupies the target for its output, so
  // it costs at least one quantum.
  const std::int64_t tokens = std::max(
      request.prompt_tokens, static_cast<std::int64_t>(kQuantumTokens));
  std::optional<std::uint64_t> id =
      queue.order.Enqueue(lane, request.share, tokens, deadline, now, reason);
  if (id) {
    queue.requests.emplace(*id, Waiting{request, excluded});
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
    const auto& [request, excluded] = queue.requests.at(*id);
    Reason reason;
    std::optional<TargetChoice> choice =
        table_.BeginAttempt(request, excluded, now, &reason);
    if (!choice && EndsWait(reason.code)) {
      starts.push_back({{service, *id}, std::nullopt, std::move(reason)});
      queue.order.Remove(*id);
      queue.requests.erase(*id);
      continue;
    }
    if (!choice) {
      // If a team within its share finds no room at any target, no other team
      // does either. Targets that this request may not reach may have room.
      if (!request.domains && excluded.empty() &&
          !table_.IsOverShare(request, now))
        return;
      blocked.insert(LaneOf(request, excluded));
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
