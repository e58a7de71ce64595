#include "libs/routing/fair_queue.h"

#include <algorithm>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

std::list<FairQueue::Team>::iterator FairQueue::FindTeam(
    const std::string& team) {
  return std::find_if(teams_.begin(), teams_.end(),
                      [&](const Team& it) { return it.name == team; });
}

std::chrono::duration<double> FairQueue::ExpectedWait(const std::string& team,
                                                      int share) const {
  int shares = share;
  std::size_t queued = 0;
  for (const Team& it : teams_) {
    if (it.name == team)
      queued = it.waiting.size();
    else
      shares += it.share;
  }
  const double rounds = static_cast<double>(shares) / std::max(share, 1);
  const double starts = std::min(static_cast<double>(queued + 1) * rounds,
                                 static_cast<double>(size() + 1));
  return std::chrono::duration<double>(starts * start_interval_seconds_);
}

std::optional<std::uint64_t> FairQueue::Enqueue(const std::string& team,
                                                int share,
                                                std::int64_t tokens,
                                                TimePoint deadline,
                                                TimePoint now,
                                                Reason* reason) {
  auto found = FindTeam(team);
  const std::size_t own = found == teams_.end() ? 0 : found->waiting.size();
  if (size() >= kMaxQueued || own >= kMaxQueuedPerTeam) {
    return Fail(reason, ResultCode::kOverloaded,
                "the queue for a target is full");
  }
  if (ExpectedWait(team, share) > deadline - now) {
    return Fail(reason, ResultCode::kOverloaded,
                "the expected wait for a target exceeds the deadline");
  }
  if (found == teams_.end())
    found = teams_.insert(teams_.end(), Team{team});
  found->share = std::max(share, 1);
  const std::uint64_t request = next_id_++;
  found->waiting.push_back({request, static_cast<double>(tokens)});
  team_by_request_[request] = team;
  return request;
}

bool FairQueue::HasWaiting(const std::string& team) const {
  return std::any_of(teams_.begin(), teams_.end(),
                     [&](const Team& it) { return it.name == team; });
}

std::optional<std::uint64_t> FairQueue::Front(
    const std::set<std::string>& blocked) {
  if (std::all_of(teams_.begin(), teams_.end(),
                  [&](const Team& it) { return blocked.contains(it.name); }))
    return std::nullopt;
  // The loop ends, because each pass over the list adds to the deficit of every
  // team that is not blocked.
  for (;;) {
    Team& first = teams_.front();
    if (!blocked.contains(first.name)) {
      if (first.deficit < first.waiting.front().tokens)
        first.deficit += kQuantumTokens * first.share;
      if (first.deficit >= first.waiting.front().tokens)
        return first.waiting.front().request;
    }
    teams_.splice(teams_.end(), teams_, teams_.begin());
  }
}

void FairQueue::RemoveStarted(std::uint64_t request, TimePoint now) {
  auto team = team_by_request_.find(request);
  if (team == team_by_request_.end())
    return;
  auto found = FindTeam(team->second);
  for (const Entry& it : found->waiting) {
    if (it.request == request)
      found->deficit -= it.tokens;
  }
  if (last_start_) {
    const std::chrono::duration<double> gap = now - *last_start_;
    start_interval_seconds_ +=
        kMovingAverageWeight * (gap.count() - start_interval_seconds_);
  }
  last_start_ = now;
  const bool is_round_over =
      found->waiting.size() < 2 || found->deficit < found->waiting[1].tokens;
  if (is_round_over)
    teams_.splice(teams_.end(), teams_, found);
  Remove(request);
}

void FairQueue::Remove(std::uint64_t request) {
  auto team = team_by_request_.find(request);
  if (team == team_by_request_.end())
    return;
  auto found = FindTeam(team->second);
  std::erase_if(found->waiting,
                [&](const Entry& it) { return it.request == request; });
  team_by_request_.erase(team);
  if (found->waiting.empty())
    teams_.erase(found);
  // The gap until the next start would include the time of an empty queue.
  if (team_by_request_.empty())
    last_start_.reset();
}

}  // namespace turmericwinch
