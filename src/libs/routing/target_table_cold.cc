// The cold targets in the table.

#include "libs/routing/cold_senders.h"
#include "libs/routing/target_table_private.h"

namespace turmericwinch {

void TargetTable::Private::UpdateCold(Target& target,
                                      const ListedMember& member,
                                      const TargetClassConfig& settings,
                                      TimePoint now) {
  const bool is_new = target.member.name.empty();
  const bool is_fresh = is_new || target.member != member;
  target.cold_time = settings.cold_time;
  // Targets of the first list may have run for long.
  if (is_fresh && member.cold_for)
    target.cold.RecordReport(*member.cold_for, now);
  else if (is_new && target.joined_at)
    target.cold.PresumeCold(target.cold_time, now);
  if (!is_new &&
      target.cold_requests_per_second == settings.cold_requests_per_second)
    return;
  target.cold_requests_per_second = settings.cold_requests_per_second;
  UpdateColdShare(target, member);
}

void TargetTable::Private::UpdateColdShare(Target& target,
                                           const ListedMember& member) const {
  if (target.cold_requests_per_second <= 0) {
    target.cold.SetUnlimited();
    return;
  }
  target.cold.SetShare(ColdShareOf(
      host, member.name + "/" + member.incarnation,
      {target.cold_requests_per_second, cold_overshoot, cold_tolerance},
      fleet));
}

}  // namespace turmericwinch
