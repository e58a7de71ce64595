#include "libs/gateway/target_source.h"

#include <boost/asio.hpp>

#include "libs/base/log.h"
#include "libs/base/store_version.h"
#include "libs/gateway/gateway_constants.h"
#include "libs/routing/host_list_change.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr LogCategory kLog{"targets"};

}  // namespace

TargetSource::TargetSource(PlatformClient& platform,
                           StoreNewsExchange& news,
                           Sink on_list)
    : platform_(platform), news_(news), on_list_(std::move(on_list)) {
  news_.SetTargetsHandler([this](const TargetListNews& it) { HandleNews(it); });
}

ListOrigin TargetSource::OriginOf(StoreVersion version,
                                  bool after_outage) const {
  if (era_ > 0 && version.era != era_)
    return ListOrigin::kRestoredStore;
  return after_outage ? ListOrigin::kOutage : ListOrigin::kAvailableStore;
}

void TargetSource::HandleHosts(const PlatformHosts& hosts, ListOrigin origin) {
  // News may have come while the store was called.
  if (!hosts.is_whole && hosts.version < version_)
    return;
  Reason reason;
  version_ = hosts.version;
  era_ = version_.era;
  if (hosts.is_whole) {
    std::optional<HostList> whole = ParseHostList(hosts.text, &reason);
    if (whole) {
      Publish(targets_.UpdateFromList(std::move(*whole), origin,
                                      std::chrono::steady_clock::now()));
    }
  } else if (!hosts.text.empty()) {
    ApplyChanges(hosts.text, &reason);
  }
  if (reason.code != ResultCode::kOk) {
    LogEvent(kLog, Severity::kError, "list_unreadable",
             {{"version", ToText(version_)}, {"reason", reason.text}});
  }
}

void TargetSource::ApplyChanges(const std::string& text, Reason* reason) {
  std::optional<std::vector<HostListChange>> changes =
      ParseHostListChanges(text, reason);
  if (changes)
    Publish(
        targets_.UpdateFromChanges(*changes, std::chrono::steady_clock::now()));
}

void TargetSource::HandleNews(const TargetListNews& news) {
  version_ = outage_ ? StoreVersion() : news_.ConfirmedTargets(version_);
  if (!version_.IsSet() || news.to.era != era_ || news.from > version_ ||
      news.to <= version_)
    return;
  Reason reason;
  version_ = news.to;
  news_.RecordAppliedTargets(version_);
  ApplyChanges(news.text, &reason);
  if (reason.code == ResultCode::kOk)
    return;
  // The store is called for the whole list.
  version_ = {};
  LogEvent(kLog, Severity::kError, "list_unreadable",
           {{"version", ToText(news.to)}, {"reason", reason.text}});
}

void TargetSource::PublishTimed() {
  const std::vector<HostListChange> timed =
      targets_.UpdateTimed(std::chrono::steady_clock::now());
  if (!timed.empty())
    Publish(timed);
}

void TargetSource::Publish(const std::vector<HostListChange>& changes) {
  for (const HostListChange& it : changes) {
    LogEvent(kLog, Severity::kInfo,
             it.removed ? "target_gone" : "target_listed",
             {{"target", it.member.name},
              {"address", it.member.address},
              {"class", it.member.target_class},
              {"leaving", it.member.leaving},
              {"version", ToText(version_)}});
  }
  on_list_(targets_.list());
}

asio::awaitable<void> TargetSource::WaitUntilReadIsDue() {
  for (bool is_due = outage_; !is_due;) {
    is_due = co_await news_.WaitUntilReadIsDue(
        StoreTopic::kTargets, version_,
        targets_.has_timed_entries() ? kStoreRetryPause : kMaxNewsWait);
    if (version_.IsSet())
      version_ = news_.ConfirmedTargets(version_);
    PublishTimed();
  }
  // Entries may be missing from the list although their targets live.
  if (version_.IsSet() && news_.HadOutageSince(version_))
    outage_ = true;
  // Only the whole list shows which targets were removed during the outage.
  if (outage_)
    version_ = {};
}

void TargetSource::HandleFailedCall(const Reason& reason) {
  if (!outage_) {
    LogEvent(kLog, Severity::kWarning, "store_lost",
             {{"targets", targets_.list().targets.size()},
              {"version", ToText(version_)},
              {"code", static_cast<int>(reason.code)},
              {"reason", reason.text}});
  }
  outage_ = true;
}

asio::awaitable<void> TargetSource::Run() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  for (;;) {
    co_await WaitUntilReadIsDue();
    co_await news_.PaceRead(StoreTopic::kTargets);
    Reason reason;
    const std::chrono::milliseconds wait =
        targets_.has_timed_entries() ? kStoreRetryPause : news_.WatchWait();
    std::optional<PlatformHosts> hosts =
        co_await platform_.HostsSince(version_, wait, &reason);
    if (!hosts) {
      HandleFailedCall(reason);
      timer.expires_after(kStoreRetryPause);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
      continue;
    }
    last_contact_ = std::chrono::steady_clock::now();
    const bool was_outage = std::exchange(outage_, false);
    HandleHosts(*hosts, OriginOf(hosts->version, was_outage));
    news_.RecordTargets(*hosts, was_outage);
    PublishTimed();
    if (was_outage) {
      LogEvent(kLog, Severity::kInfo, "store_regained",
               {{"targets", targets_.list().targets.size()},
                {"lapsed", targets_.has_expired_entries()},
                {"version", ToText(version_)}});
    }
  }
}

}  // namespace turmericwinch
