#include "libs/peer/store_news_wire.h"

#include <algorithm>

namespace turmericwinch {

wire::StoreNews ToWire(const StoreNews& news) {
  wire::StoreNews result;
  result.host = news.host;
  result.sent_ms = news.sent.count();
  result.age_ms = news.age.count();
  result.config = static_cast<std::int64_t>(news.config);
  result.quarantine = static_cast<std::int64_t>(news.quarantine);
  result.targets = static_cast<std::int64_t>(news.targets);
  result.targets_changed = static_cast<std::int64_t>(news.targets_changed);
  result.changes_from = static_cast<std::int64_t>(news.changes_from);
  result.changes = news.changes;
  result.outage = static_cast<std::int64_t>(news.outage);
  result.evacuations = static_cast<std::int64_t>(news.evacuations);
  result.evacuated = news.evacuated;
  return result;
}

std::optional<StoreNews> StoreNewsOf(const wire::StoreNews& wire) {
  const std::int64_t least = std::min(
      {wire.sent_ms, wire.age_ms, wire.config, wire.quarantine, wire.targets,
       wire.targets_changed, wire.changes_from, wire.outage, wire.evacuations});
  if (wire.host.empty() || least < 0 || wire.targets_changed > wire.targets ||
      wire.changes_from > wire.targets_changed)
    return std::nullopt;
  StoreNews news;
  news.host = wire.host;
  news.sent = std::chrono::milliseconds(wire.sent_ms);
  news.age = std::chrono::milliseconds(wire.age_ms);
  news.config = static_cast<std::uint64_t>(wire.config);
  news.quarantine = static_cast<std::uint64_t>(wire.quarantine);
  news.targets = static_cast<std::uint64_t>(wire.targets);
  news.targets_changed = static_cast<std::uint64_t>(wire.targets_changed);
  news.changes_from = static_cast<std::uint64_t>(wire.changes_from);
  news.changes = wire.changes;
  news.outage = static_cast<std::uint64_t>(wire.outage);
  news.evacuations = static_cast<std::uint64_t>(wire.evacuations);
  news.evacuated = wire.evacuated;
  return news;
}

}  // namespace turmericwinch
