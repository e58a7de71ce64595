#include "libs/node/shared_targets.h"

namespace turmericwinch {

namespace {

using Clock = std::chrono::steady_clock;

}  // namespace

SharedTargets::SharedTargets(std::string failure_domain,
                             const std::string& host)
    : table_(std::move(failure_domain), host) {}

void SharedTargets::Update(const HostList& list, const ConfigSnapshot& config) {
  std::lock_guard lock(mutex_);
  table_.Update(list, config, Clock::now());
}

std::optional<TargetChoice> SharedTargets::Begin(
    const std::string& service,
    const std::set<std::string>& excluded,
    Reason* reason) {
  return Begin(TargetWish{service}, excluded, reason);
}

std::optional<TargetChoice> SharedTargets::Begin(
    const TargetWish& wish,
    const std::set<std::string>& excluded,
    Reason* reason) {
  std::lock_guard lock(mutex_);
  return table_.Begin(wish, excluded, Clock::now(), reason);
}

void SharedTargets::FirstToken(TargetChoice& choice,
                               std::chrono::duration<double> elapsed) {
  std::lock_guard lock(mutex_);
  table_.FirstToken(choice, elapsed, Clock::now());
}

void SharedTargets::End(const TargetChoice& choice,
                        TargetAnswer answer,
                        std::chrono::duration<double> token_time) {
  std::lock_guard lock(mutex_);
  table_.End(choice, answer, token_time, Clock::now());
}

std::vector<TargetFigures> SharedTargets::Figures() const {
  std::lock_guard lock(mutex_);
  return table_.Figures(Clock::now());
}

}  // namespace turmericwinch
