#include "libs/gateway/target_source.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "libs/base/log.h"
#include "libs/gateway/gateway_constants.h"
#include "libs/routing/host_list_change.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr LogCategory kLog{"targets"};

}  // namespace

TargetSource::TargetSource(PlatformClient& platform, Sink on_list)
    : platform_(platform), on_list_(std::move(on_list)) {}

void TargetSource::Take(const PlatformHosts& hosts, bool after_outage) {
  Reason reason;
  version_ = hosts.version;
  if (hosts.text.empty())
    return;
  HostList next = list_;
  if (hosts.is_whole) {
    std::optional<HostList> whole = HostListOf(hosts.text, &reason);
    if (!whole) {
      LogEvent(kLog, Severity::kError, "list_unreadable",
               {{"reason", reason.text}});
      return;
    }
    next = std::move(*whole);
    Sort(&next);
  } else {
    std::optional<std::vector<HostListChange>> changes =
        HostListChangesOf(hosts.text, &reason);
    if (!changes) {
      LogEvent(kLog, Severity::kError, "changes_unreadable",
               {{"reason", reason.text}});
      return;
    }
    Apply(*changes, &next);
  }
  for (const HostListChange& it : DiffOf(list_, next)) {
    if (it.gone && after_outage) {
      lapsed_.emplace(it.member.name, Clock::now() + kLapsedHold);
      continue;
    }
    LogEvent(kLog, Severity::kInfo, it.gone ? "target_gone" : "target_listed",
             {{"target", it.member.name},
              {"address", it.member.address},
              {"class", it.member.target_class},
              {"leaving", it.member.leaving},
              {"version", version_}});
  }
  for (const ListedMember& it : list_.targets) {
    if (lapsed_.contains(it.name) &&
        std::none_of(next.targets.begin(), next.targets.end(),
                     [&](const ListedMember& other) {
                       return other.name == it.name ||
                              other.address == it.address;
                     }))
      next.targets.push_back(it);
    else
      lapsed_.erase(it.name);
  }
  Sort(&next);
  list_ = std::move(next);
  Publish();
}

void TargetSource::DropLapsed() {
  const Clock::time_point now = Clock::now();
  const auto n = std::erase_if(list_.targets, [&](const ListedMember& it) {
    auto hold = lapsed_.find(it.name);
    return hold != lapsed_.end() && now >= hold->second;
  });
  std::erase_if(lapsed_, [&](const auto& it) { return now >= it.second; });
  if (n == 0)
    return;
  LogEvent(kLog, Severity::kInfo, "lapsed_dropped", {{"targets", n}});
  Publish();
}

void TargetSource::Publish() {
  on_list_(list_);
}

asio::awaitable<void> TargetSource::Run() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  bool outage = false;
  for (;;) {
    Reason reason;
    const std::chrono::milliseconds wait =
        lapsed_.empty() ? kWatchWait : kStorePause;
    std::optional<PlatformHosts> hosts =
        co_await platform_.HostsSince(version_, wait, &reason);
    DropLapsed();
    if (hosts) {
      Take(*hosts, outage);
      if (outage)
        LogEvent(kLog, Severity::kInfo, "store_regained",
                 {{"targets", list_.targets.size()}, {"version", version_}});
      outage = false;
      continue;
    }
    if (!outage) {
      LogEvent(kLog, Severity::kWarning, "store_lost",
               {{"targets", list_.targets.size()},
                {"version", version_},
                {"code", static_cast<int>(reason.code)},
                {"reason", reason.text}});
    }
    outage = true;
    // What went missing meanwhile is only seen in a whole list.
    version_ = 0;
    timer.expires_after(kStorePause);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

}  // namespace turmericwinch
