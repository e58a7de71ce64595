#include "libs/gateway/evacuation_source.h"

#include <boost/algorithm/string/join.hpp>
#include <boost/asio.hpp>

#include "libs/base/log.h"
#include "libs/gateway/gateway_constants.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr LogCategory kLog{"evacuations"};
constexpr char kKind[] = "evacuations";

}  // namespace

EvacuationSource::EvacuationSource(PlatformClient& platform,
                                   StoreNewsExchange& news,
                                   const std::vector<std::string>& domains,
                                   Sink on_change)
    : platform_(platform),
      news_(news),
      on_change_(std::move(on_change)),
      evacuations_(domains) {
  news_.SetEvacuationsHandler(
      [this](const EvacuationNews& it) { HandleNews(it); });
}

void EvacuationSource::Publish() {
  const std::set<std::string>& domains = evacuations_.domains();
  LogEvent(kLog, domains.empty() ? Severity::kInfo : Severity::kWarning,
           "domains_evacuated",
           {{"domains", boost::algorithm::join(domains, ",")},
            {"version", ToText(evacuations_.version())}});
  on_change_(evacuations_.domains());
}

void EvacuationSource::LogUnknownNames() {
  for (const std::string& it : evacuations_.TakeUnknownNames()) {
    LogEvent(kLog, Severity::kError, "evacuation_ignored",
             {{"domain", it},
              {"reason", "the deployment has no such failure domain"}});
  }
}

void EvacuationSource::HandleNews(const EvacuationNews& news) {
  const bool was_known = evacuations_.is_known();
  const bool changed = evacuations_.ApplyNews(
      news.domains, news.version, news.age, std::chrono::steady_clock::now());
  LogUnknownNames();
  if (changed || was_known != evacuations_.is_known())
    Publish();
}

void EvacuationSource::SetStoreAvailable(bool available, const Reason& reason) {
  if (available == store_available_)
    return;
  store_available_ = available;
  LogEvent(kLog, available ? Severity::kInfo : Severity::kWarning,
           available ? "store_regained" : "store_lost",
           {{"object", kKind},
            {"version", ToText(evacuations_.version())},
            {"code", static_cast<int>(reason.code)},
            {"reason", reason.text}});
}

asio::awaitable<void> EvacuationSource::Run() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  for (;;) {
    // News may bring a newer version while this host waits.
    while (!co_await news_.WaitUntilReadIsDue(
        StoreTopic::kEvacuations, evacuations_.version(), kMaxNewsWait)) {
    }
    co_await news_.PaceRead(StoreTopic::kEvacuations);
    Reason reason;
    const std::optional<PlatformNames> names = co_await platform_.NamesSince(
        PlatformDuty::kConfig, kKind, evacuations_.version(), news_.WatchWait(),
        &reason);
    SetStoreAvailable(names.has_value(), reason);
    if (!names) {
      timer.expires_after(kStoreRetryPause);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
      continue;
    }
    const bool was_known = evacuations_.is_known();
    const bool changed =
        evacuations_.ApplyNames(*names, std::chrono::steady_clock::now());
    LogUnknownNames();
    news_.RecordEvacuations(evacuations_.domains(), evacuations_.version());
    if (changed || !was_known)
      Publish();
  }
}

}  // namespace turmericwinch
