#include "libs/gateway/store_readers.h"

#include <algorithm>

#include "libs/budget/ranked_hosts.h"
#include "libs/gateway/gateway_constants.h"

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;

StoreVersion VersionIn(const StoreNews& news, StoreTopic topic) {
  switch (topic) {
    case StoreTopic::kConfig:
      return news.config;
    case StoreTopic::kQuarantine:
      return news.quarantine;
    case StoreTopic::kTargets:
      return news.targets_changed;
    case StoreTopic::kEvacuations:
      return news.evacuations;
  }
  return {};
}

}  // namespace

void StoreReaders::SetHosts(const FleetAccount& account,
                            const std::string& domain) {
  members_.clear();
  for (const RankedHost& it : RankHosts(account, domain))
    members_.try_emplace(it.host, Member{it.address, members_.size()});
  std::erase_if(records_,
                [&](const auto& it) { return !members_.contains(it.first); });
}

bool StoreReaders::HasReaders() const {
  return members_.size() >= kMinHostsForReaders && members_.contains(host_);
}

bool StoreReaders::RecordNews(const StoreNews& news, TimePoint now) {
  if (!HasReaders() || news.host == host_ || !members_.contains(news.host))
    return false;
  const milliseconds offset =
      std::chrono::duration_cast<milliseconds>(now.time_since_epoch()) -
      news.sent;
  auto [it, is_new] = records_.try_emplace(news.host);
  Record& record = it->second;
  // A sender that rebooted counts its time from 0 again.
  if (is_new || news.sent < record.news.sent)
    record.least_offset = offset;
  record.least_offset = std::min(record.least_offset, offset);
  record.news = news;
  record.news.changes.clear();
  const milliseconds delay = offset - record.least_offset;
  record.valid_until = now + kMaxNewsAge - news.age - delay;
  return true;
}

bool StoreReaders::HasSenderBefore(std::size_t position, TimePoint now) const {
  return std::any_of(records_.begin(), records_.end(), [&](const auto& it) {
    auto member = members_.find(it.first);
    return it.second.valid_until > now && member != members_.end() &&
           member->second.position < position;
  });
}

bool StoreReaders::UpdateRole(TimePoint now) {
  is_sender_ = false;
  if (!HasReaders())
    return false;
  const std::size_t position = members_.at(host_).position;
  if (HasSenderBefore(position, now)) {
    lacking_since_.reset();
    return false;
  }
  if (!lacking_since_)
    lacking_since_ = now;
  is_sender_ = now - *lacking_since_ >=
               kTakeOverDelay * static_cast<std::int64_t>(position);
  return is_sender_;
}

bool StoreReaders::IsNextInRank(TimePoint now) const {
  return HasReaders() && !NewsValidUntil(now) &&
         members_.at(host_).position <= kNextReaders;
}

std::optional<StoreReaders::TimePoint> StoreReaders::NewsValidUntil(
    TimePoint now) const {
  std::optional<TimePoint> until;
  if (is_sender_ || !HasReaders())
    return until;
  for (const auto& [host, record] : records_) {
    if (record.valid_until > now)
      until = std::max(until.value_or(now), record.valid_until);
  }
  return until;
}

StoreVersion StoreReaders::NewestOf(
    const std::function<StoreVersion(const StoreNews&)>& value,
    TimePoint now) const {
  StoreVersion newest;
  for (const auto& [host, record] : records_) {
    if (record.valid_until > now)
      newest = std::max(newest, value(record.news));
  }
  return newest;
}

StoreVersion StoreReaders::NewestVersion(StoreTopic topic,
                                         TimePoint now) const {
  return NewestOf(
      [topic](const StoreNews& news) { return VersionIn(news, topic); }, now);
}

StoreVersion StoreReaders::LastOutage(TimePoint now) const {
  return NewestOf([](const StoreNews& news) { return news.outage; }, now);
}

std::vector<std::string> StoreReaders::Listeners() const {
  std::vector<std::string> addresses;
  if (!HasReaders())
    return addresses;
  for (const auto& [name, member] : members_) {
    if (name != host_)
      addresses.push_back(member.address);
  }
  return addresses;
}

}  // namespace turmericwinch
