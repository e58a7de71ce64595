// The cold targets in the table.

#include <array>

#include "libs/routing/cold_senders.h"
#include "libs/routing/target_table_private.h"

namespace turmericwinch {

namespace {

constexpr std::array<std::string_view, 4> kColdCauseNames = {
    "registration", "new", "evacuation_ended", "refused"};

}  // namespace

std::string_view NameOf(ColdCause cause) {
  return kColdCauseNames.at(static_cast<std::size_t>(cause));
}

void TargetTable::Private::UpdateCold(Target& target,
                                      const ListedMember& member,
                                      const TargetClassConfig& settings,
                                      TimePoint now) {
  const bool is_new = target.member.name.empty();
  const bool is_fresh = is_new || target.member != member;
  const bool was_cold = target.cold.IsCold(now);
  ColdCause cause = ColdCause::kRegistration;
  target.cold_time = settings.cold_time;
  if (is_fresh && member.cold_for) {
    target.cold.RecordReport(*member.cold_for, now);
  } else if (is_new && has_listed) {
    // Targets of the first list may have run for long. A later registration may
    // end this.
    target.cold.RecordReport(target.cold_time, now);
    cause = ColdCause::kNew;
  }
  target.member = member;
  if (target.cold_requests_per_second != settings.cold_requests_per_second) {
    target.cold_requests_per_second = settings.cold_requests_per_second;
    target.has_cold_share = false;
  }
  if (!target.cold.IsCold(now))
    return;
  if (!target.has_cold_share)
    UpdateColdShare(target);
  if (!was_cold)
    ReportCold(target, cause, now);
}

void TargetTable::Private::PresumeCold(Target& target,
                                       ColdCause cause,
                                       TimePoint now) {
  const bool was_cold = target.cold.IsCold(now);
  target.cold.PresumeCold(target.cold_time, now);
  if (was_cold || !target.cold.IsCold(now))
    return;
  if (!target.has_cold_share)
    UpdateColdShare(target);
  ReportCold(target, cause, now);
}

void TargetTable::Private::ReportCold(const Target& target,
                                      ColdCause cause,
                                      TimePoint now) const {
  if (!on_cold)
    return;
  on_cold({target.member.name, target.member.incarnation, cause,
           std::chrono::ceil<std::chrono::milliseconds>(
               target.cold.ColdUntil() - now),
           target.cold.share()});
}

void TargetTable::Private::UpdateColdShare(Target& target) const {
  target.has_cold_share = true;
  if (target.cold_requests_per_second <= 0) {
    target.cold.SetUnlimited();
    return;
  }
  target.cold.SetShare(ColdShareOf(
      host, target.member.name + "/" + target.member.incarnation,
      {target.cold_requests_per_second, cold_overshoot, cold_tolerance},
      fleet));
}

void TargetTable::Private::UpdateColdShares() {
  for (auto& [name, it] : targets) {
    it.has_cold_share = false;
    if (it.cold.IsCold(updated_at))
      UpdateColdShare(it);
  }
}

}  // namespace turmericwinch
