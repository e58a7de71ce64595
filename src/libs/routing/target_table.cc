#include "libs/routing/target_table.h"

#include <algorithm>

namespace turmericwinch {

namespace {

// Order in which failure domains are tried; the own one is 0.
constexpr int kNotReachable = -1;

struct Target {
  ListedMember member;
  std::string service;
  std::int64_t tokens_per_second = 1;
  std::int64_t most_in_flight = 1;
  std::int64_t in_flight = 0;
  int tier = 0;
};

int TierOf(const std::string& own,
           const std::string& domain,
           const ConfigSnapshot& config) {
  if (own == domain)
    return 0;
  const FailureDomainConfig* settings = config.FailureDomain(own);
  if (!settings)
    return kNotReachable;
  auto it =
      std::find(settings->overflow.begin(), settings->overflow.end(), domain);
  if (it == settings->overflow.end())
    return kNotReachable;
  return 1 + static_cast<int>(it - settings->overflow.begin());
}

// Whether `left` is the better choice for one more request.
bool IsBetter(const Target& left, const Target& right) {
  if (left.tier != right.tier)
    return left.tier < right.tier;
  return (left.in_flight + 1) * right.tokens_per_second <
         (right.in_flight + 1) * left.tokens_per_second;
}

}  // namespace

class TargetTable::Private {
 public:
  explicit Private(std::string failure_domain)
      : failure_domain(std::move(failure_domain)) {}

  std::string failure_domain;
  std::map<std::string, Target> targets;
  std::size_t turn = 0;
};

TargetTable::TargetTable(std::string failure_domain)
    : d_(std::make_unique<Private>(std::move(failure_domain))) {}

TargetTable::~TargetTable() = default;

void TargetTable::Update(const HostList& list, const ConfigSnapshot& config) {
  std::map<std::string, Target> targets;
  for (const ListedMember& it : list.targets) {
    const TargetClassConfig* target_class = config.TargetClass(it.target_class);
    const int tier = TierOf(d_->failure_domain, it.failure_domain, config);
    if (!target_class || tier == kNotReachable)
      continue;
    Target target{it,
                  target_class->service,
                  target_class->tokens_per_second,
                  target_class->most_in_flight,
                  0,
                  tier};
    auto known = d_->targets.find(it.name);
    if (known != d_->targets.end() &&
        known->second.member.incarnation == it.incarnation)
      target.in_flight = known->second.in_flight;
    targets.emplace(it.name, std::move(target));
  }
  d_->targets = std::move(targets);
}

std::optional<TargetChoice> TargetTable::Begin(
    const std::string& service,
    const std::set<std::string>& excluded,
    Reason* reason) {
  Target* best = nullptr;
  bool any_full = false;
  for (auto& [name, target] : d_->targets) {
    if (target.service != service || target.member.leaving ||
        excluded.contains(name))
      continue;
    if (target.in_flight >= target.most_in_flight) {
      any_full = true;
      continue;
    }
    const bool tied = best && !IsBetter(target, *best) &&
                      !IsBetter(*best, target) && ++d_->turn % 2 == 0;
    if (!best || IsBetter(target, *best) || tied)
      best = &target;
  }
  if (!best) {
    return Fail(reason,
                any_full ? ResultCode::kOverloaded : ResultCode::kNoTarget,
                any_full ? "every target of " + service + " is full"
                         : "no target of " + service + " is known");
  }
  ++best->in_flight;
  return TargetChoice{best->member.name, best->member.address,
                      best->member.incarnation};
}

void TargetTable::End(const TargetChoice& choice) {
  auto it = d_->targets.find(choice.name);
  if (it == d_->targets.end() ||
      it->second.member.incarnation != choice.incarnation)
    return;
  it->second.in_flight = std::max<std::int64_t>(it->second.in_flight - 1, 0);
}

std::vector<TargetFigures> TargetTable::Figures() const {
  std::vector<TargetFigures> figures;
  for (const auto& [name, it] : d_->targets) {
    figures.push_back({name, it.member.failure_domain, it.service,
                       it.member.address, it.in_flight, it.member.leaving});
  }
  return figures;
}

}  // namespace turmericwinch
