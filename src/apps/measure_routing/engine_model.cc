#include "apps/measure_routing/engine_model.h"

#include <algorithm>

#include "apps/measure_routing/model_constants.h"

namespace turmericwinch {

bool EngineModel::TouchPrefix(std::size_t manifest) {
  auto it = std::find(prefixes_.begin(), prefixes_.end(), manifest);
  const bool hit = it != prefixes_.end();
  if (hit)
    prefixes_.erase(it);
  prefixes_.push_front(manifest);
  if (prefixes_.size() > kCachedPrefixes)
    prefixes_.pop_back();
  return hit;
}

double EngineModel::ReadPrompts() {
  const auto slots = static_cast<std::size_t>(kFullSpeedSlots * speed_);
  double left = kStepPromptTokens;
  while (left > 0 && !waiting_.empty() &&
         running_.size() + read_.size() < slots) {
    Job* job = waiting_.front();
    if (!job->cache_known) {
      job->cache_known = true;
      job->cache_hit = job->lookup && TouchPrefix(job->manifest);
      job->unread = job->prompt - (job->cache_hit ? job->shared : 0);
    }
    const double piece = std::min(left, job->unread);
    job->unread -= piece;
    left -= piece;
    if (job->unread > 0)
      break;
    read_.push_back(job);
    waiting_.pop_front();
  }
  return kStepPromptTokens - left;
}

std::optional<double> EngineModel::StartStep(double now) {
  if (busy_ || InFlight() == 0)
    return std::nullopt;
  busy_ = true;
  const double read = ReadPrompts();
  const auto running = static_cast<double>(running_.size());
  return now + (kStepSeconds + kStepSecondsPerRequest * running +
                kStepSecondsPerPromptToken * read) /
                   speed_;
}

EngineModel::StepResult EngineModel::FinishStep(double now) {
  busy_ = false;
  StepResult result;
  for (Job* it : read_) {
    it->first = now;
    result.first.push_back(it);
    running_.push_back(it);
  }
  read_.clear();
  for (Job* it : running_) {
    it->last = now;
    if (++it->produced >= it->output)
      result.done.push_back(it);
  }
  std::erase_if(running_,
                [](const Job* it) { return it->produced >= it->output; });
  return result;
}

double EngineModel::WaitingPrompt() const {
  double tokens = 0;
  for (const Job* it : waiting_)
    tokens += it->cache_known ? it->unread : it->prompt;
  return tokens;
}

}  // namespace turmericwinch
