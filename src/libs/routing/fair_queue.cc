#include "libs/routing/fair_queue.h"

#include <algorithm>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

std::list<FairQueue::Team>::iterator FairQueue::Find(const std::string& team) {
  return std::find_if(teams_.begin(), teams_.end(),
                      [&](const Team& it) { return it.name == team; });
}

std::chrono::duration<double> FairQueue::ExpectedWait(const std::string& team,
                                                      int share) const {
  int shares = share;
  std::size_t ahead = 0;
  for (const Team& it : teams_) {
    if (it.name == team)
      ahead = it.waiting.size();
    else
      shares += it.share;
  }
  const double turns = static_cast<double>(shares) / std::max(share, 1);
  const double starts = std::min(static_cast<double>(ahead + 1) * turns,
                                 static_cast<double>(size() + 1));
  return std::chrono::duration<double>(starts * start_interval_);
}

std::optional<std::uint64_t> FairQueue::Add(const std::string& team,
                                            int share,
                                            std::int64_t tokens,
                                            TimePoint deadline,
                                            TimePoint now,
                                            Reason* reason) {
  auto found = Find(team);
  const std::size_t own = found == teams_.end() ? 0 : found->waiting.size();
  if (size() >= kMostWaiting || own >= kMostWaitingOfTeam) {
    return Fail(reason, ResultCode::kOverloaded,
                "too many requests wait for a target");
  }
  if (ExpectedWait(team, share) > deadline - now) {
    return Fail(reason, ResultCode::kOverloaded,
                "the wait for a target would pass the deadline");
  }
  if (found == teams_.end())
    found = teams_.insert(teams_.end(), Team{team});
  found->share = std::max(share, 1);
  const std::uint64_t request = next_++;
  found->waiting.push_back({request, static_cast<double>(tokens)});
  team_of_[request] = team;
  return request;
}

bool FairQueue::Waits(const std::string& team) const {
  return std::any_of(teams_.begin(), teams_.end(),
                     [&](const Team& it) { return it.name == team; });
}

std::optional<std::uint64_t> FairQueue::Front(
    const std::set<std::string>& blocked) {
  if (std::all_of(teams_.begin(), teams_.end(),
                  [&](const Team& it) { return blocked.contains(it.name); }))
    return std::nullopt;
  // Ends, since each pass adds to the deficit of every team that may start.
  for (;;) {
    Team& first = teams_.front();
    if (!blocked.contains(first.name)) {
      if (first.deficit < first.waiting.front().tokens)
        first.deficit += kTurnTokens * first.share;
      if (first.deficit >= first.waiting.front().tokens)
        return first.waiting.front().request;
    }
    teams_.splice(teams_.end(), teams_, teams_.begin());
  }
}

void FairQueue::Start(std::uint64_t request, TimePoint now) {
  auto team = team_of_.find(request);
  if (team == team_of_.end())
    return;
  auto found = Find(team->second);
  for (const Waiting& it : found->waiting) {
    if (it.request == request)
      found->deficit -= it.tokens;
  }
  if (last_start_) {
    const std::chrono::duration<double> gap = now - *last_start_;
    start_interval_ += kSpeedWeight * (gap.count() - start_interval_);
  }
  last_start_ = now;
  const bool turn_over =
      found->waiting.size() < 2 || found->deficit < found->waiting[1].tokens;
  if (turn_over)
    teams_.splice(teams_.end(), teams_, found);
  Remove(request);
}

void FairQueue::Remove(std::uint64_t request) {
  auto team = team_of_.find(request);
  if (team == team_of_.end())
    return;
  auto found = Find(team->second);
  std::erase_if(found->waiting,
                [&](const Waiting& it) { return it.request == request; });
  team_of_.erase(team);
  if (found->waiting.empty())
    teams_.erase(found);
  // Gaps without a queue say nothing of the time between starts.
  if (team_of_.empty())
    last_start_.reset();
}

}  // namespace turmericwinch
