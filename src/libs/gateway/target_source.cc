#include "libs/gateway/target_source.h"

#include <boost/asio.hpp>

#include "libs/base/log.h"
#include "libs/gateway/gateway_constants.h"
#include "libs/gateway/watch_pacer.h"
#include "libs/platform/store_version.h"
#include "libs/routing/host_list_change.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr LogCategory kLog{"targets"};

}  // namespace

TargetSource::TargetSource(PlatformClient& platform, Sink on_list)
    : platform_(platform), on_list_(std::move(on_list)) {}

ListOrigin TargetSource::OriginOf(std::uint64_t version,
                                  bool after_outage) const {
  if (era_ > 0 && EraOf(version) != era_)
    return ListOrigin::kRestoredStore;
  return after_outage ? ListOrigin::kOutage : ListOrigin::kAvailableStore;
}

void TargetSource::HandleHosts(const PlatformHosts& hosts, ListOrigin origin) {
  Reason reason;
  version_ = hosts.version;
  era_ = EraOf(version_);
  if (hosts.is_whole) {
    std::optional<HostList> whole = ParseHostList(hosts.text, &reason);
    if (whole) {
      Publish(targets_.UpdateFromList(std::move(*whole), origin,
                                      std::chrono::steady_clock::now()));
    }
  } else if (!hosts.text.empty()) {
    std::optional<std::vector<HostListChange>> changes =
        ParseHostListChanges(hosts.text, &reason);
    if (changes)
      Publish(targets_.UpdateFromChanges(*changes,
                                         std::chrono::steady_clock::now()));
  }
  if (reason.code != ResultCode::kOk) {
    LogEvent(kLog, Severity::kError, "list_unreadable",
             {{"version", version_}, {"reason", reason.text}});
  }
}

void TargetSource::Publish(const std::vector<HostListChange>& changes) {
  for (const HostListChange& it : changes) {
    LogEvent(kLog, Severity::kInfo,
             it.removed ? "target_gone" : "target_listed",
             {{"target", it.member.name},
              {"address", it.member.address},
              {"class", it.member.target_class},
              {"leaving", it.member.leaving},
              {"version", version_}});
  }
  on_list_(targets_.list());
}

asio::awaitable<void> TargetSource::Run() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  bool outage = false;
  WatchPacer pacer(kMinWatchInterval);
  for (;;) {
    timer.expires_at(pacer.NextStart(std::chrono::steady_clock::now()));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    Reason reason;
    const std::chrono::milliseconds wait =
        targets_.has_timed_entries() ? kStoreRetryPause : kMaxWatchWait;
    std::optional<PlatformHosts> hosts =
        co_await platform_.HostsSince(version_, wait, &reason);
    if (hosts) {
      last_contact_ = std::chrono::steady_clock::now();
      HandleHosts(*hosts, OriginOf(hosts->version, outage));
      const std::vector<HostListChange> timed =
          targets_.UpdateTimed(std::chrono::steady_clock::now());
      if (!timed.empty())
        Publish(timed);
      if (outage) {
        LogEvent(kLog, Severity::kInfo, "store_regained",
                 {{"targets", targets_.list().targets.size()},
                  {"lapsed", targets_.has_expired_entries()},
                  {"version", version_}});
      }
      outage = false;
      continue;
    }
    if (!outage) {
      LogEvent(kLog, Severity::kWarning, "store_lost",
               {{"targets", targets_.list().targets.size()},
                {"version", version_},
                {"code", static_cast<int>(reason.code)},
                {"reason", reason.text}});
    }
    outage = true;
    // Version 0 requests the whole list; only it shows which targets were
    // removed during the outage.
    version_ = 0;
    timer.expires_after(kStoreRetryPause);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

}  // namespace turmericwinch
