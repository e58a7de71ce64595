#include "libs/peer/store_news_wire.h"

#include <algorithm>
#include <array>

#include "libs/peer/version_wire.h"

namespace turmericwinch {

namespace {

// One version of the news: its packed field and the number of this field.
struct VersionField {
  std::int16_t number;
  std::int64_t wire::StoreNews::*packed;
  StoreVersion StoreNews::*version;
};

constexpr std::array<VersionField, 7> kVersionFields{{
    {4, &wire::StoreNews::config, &StoreNews::config},
    {5, &wire::StoreNews::quarantine, &StoreNews::quarantine},
    {6, &wire::StoreNews::targets, &StoreNews::targets},
    {7, &wire::StoreNews::targets_changed, &StoreNews::targets_changed},
    {8, &wire::StoreNews::changes_from, &StoreNews::changes_from},
    {10, &wire::StoreNews::outage, &StoreNews::outage},
    {11, &wire::StoreNews::evacuations, &StoreNews::evacuations},
}};

}  // namespace

wire::StoreNews ToWire(const StoreNews& news) {
  wire::StoreNews result;
  result.host = news.host;
  result.sent_ms = news.sent.count();
  result.age_ms = news.age.count();
  result.changes = news.changes;
  result.evacuated = news.evacuated;
  WideVersions wide;
  for (const VersionField& it : kVersionFields)
    result.*it.packed = ToWire(news.*it.version, it.number, wide);
  if (!wide.empty())
    result.__set_wide(wide);
  return result;
}

std::optional<StoreNews> StoreNewsOf(const wire::StoreNews& wire) {
  if (wire.host.empty() || wire.sent_ms < 0 || wire.age_ms < 0)
    return std::nullopt;
  StoreNews news;
  news.host = wire.host;
  news.sent = std::chrono::milliseconds(wire.sent_ms);
  news.age = std::chrono::milliseconds(wire.age_ms);
  news.changes = wire.changes;
  news.evacuated = wire.evacuated;
  for (const VersionField& it : kVersionFields) {
    const std::optional<StoreVersion> version =
        VersionOf(wire.*it.packed, it.number, wire.wide);
    if (!version)
      return std::nullopt;
    news.*it.version = *version;
  }
  if (news.targets_changed > news.targets ||
      news.changes_from > news.targets_changed)
    return std::nullopt;
  return news;
}

}  // namespace turmericwinch
