#include "libs/gateway/store_news_exchange.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <utility>

#include "libs/base/digest.h"
#include "libs/base/log.h"
#include "libs/base/store_version.h"
#include "libs/budget/ranked_hosts.h"
#include "libs/gateway/gateway_constants.h"
#include "libs/gateway/run_periodically.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr LogCategory kLog{"news"};

}  // namespace

StoreNewsExchange::StoreNewsExchange(asio::io_context& control,
                                     GatewayPeers& peers,
                                     std::string host,
                                     std::string domain,
                                     BootNow now)
    : control_(control),
      peers_(peers),
      readers_(host),
      host_(std::move(host)),
      domain_(std::move(domain)),
      boot_now_(std::move(now)),
      next_receiver_(Hash64(host_)),
      waiters_{Waiter{asio::steady_timer(control)},
               Waiter{asio::steady_timer(control)},
               Waiter{asio::steady_timer(control)},
               Waiter{asio::steady_timer(control)}} {
  peers_.AddHandler(
      [this](const PeerFrame& frame) { return HandleFrame(frame); });
}

StoreNewsExchange::Waiter& StoreNewsExchange::WaiterOf(StoreTopic topic) {
  return waiters_[static_cast<std::size_t>(topic)];
}

StoreNewsExchange::Clock::time_point& StoreNewsExchange::AnsweredAt(
    StoreTopic topic) {
  return answered_at_[static_cast<std::size_t>(topic)];
}

void StoreNewsExchange::SetTargetsHandler(TargetsHandler handler) {
  on_targets_ = std::move(handler);
}

void StoreNewsExchange::SetEvacuationsHandler(EvacuationsHandler handler) {
  on_evacuations_ = std::move(handler);
}

void StoreNewsExchange::SetHosts(const FleetAccount& account) {
  fleet_hosts_ = account.HostCount();
  const std::vector<std::string> names = HostNames(account);
  listed_hosts_ = {names.begin(), names.end()};
  if (peers_.enabled())
    readers_.SetHosts(account, domain_);
}

void StoreNewsExchange::Update() {
  const bool was_sender = readers_.is_sender();
  const bool is_sender = readers_.UpdateRole(Clock::now());
  SendNews("", own_.targets_changed);
  SendEvacuations(kEvacuationListeners);
  if (is_sender == was_sender)
    return;
  LogEvent(kLog, Severity::kInfo,
           was_sender ? "reader_role_ended" : "reader_role_started",
           {{"listeners", readers_.Listeners().size()}});
  // A sender reads for itself, so its waits end.
  for (Waiter& it : waiters_)
    it.timer.cancel();
}

asio::awaitable<void> StoreNewsExchange::Run() {
  return RunPeriodically(control_, kNewsInterval, [this] { Update(); });
}

void StoreNewsExchange::SendNews(std::string changes,
                                 StoreVersion changes_from) {
  if (!readers_.is_sender())
    return;
  Clock::time_point answered = std::min(AnsweredAt(StoreTopic::kConfig),
                                        AnsweredAt(StoreTopic::kTargets));
  if (on_evacuations_)
    answered = std::min(answered, AnsweredAt(StoreTopic::kEvacuations));
  StoreNews news = own_;
  news.host = host_;
  news.sent = boot_now_();
  news.age = std::chrono::duration_cast<std::chrono::milliseconds>(
      Clock::now() - answered);
  news.changes = std::move(changes);
  news.changes_from = changes_from;
  // News this old would not be used.
  if (news.age >= kMaxNewsAge)
    return;
  peers_.SendToEach(readers_.Listeners(), news);
}

void StoreNewsExchange::SendEvacuations(std::size_t count) {
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      Clock::now() - AnsweredAt(StoreTopic::kEvacuations));
  if (!own_.evacuations.IsSet() || age >= kMaxNewsAge)
    return;
  StoreNews news;
  news.host = host_;
  news.sent = boot_now_();
  news.age = age;
  news.evacuations = own_.evacuations;
  news.evacuated = own_.evacuated;
  // The listeners get them with all other news.
  std::vector<std::string> listeners;
  if (readers_.is_sender())
    listeners = readers_.Listeners();
  std::vector<std::string> receivers;
  const std::vector<std::string>& all = peers_.addresses();
  for (std::size_t n = 0; n < std::min(count, all.size()); ++n) {
    const std::string& it = all[next_receiver_++ % all.size()];
    if (std::find(listeners.begin(), listeners.end(), it) == listeners.end())
      receivers.push_back(it);
  }
  peers_.SendToEach(receivers, news);
}

std::chrono::milliseconds StoreNewsExchange::WatchInterval(
    StoreTopic topic) const {
  if (topic != StoreTopic::kTargets || readers_.is_sender())
    return kMinWatchInterval;
  return std::clamp(kWatchIntervalPerHost * fleet_hosts_, kMinWatchInterval,
                    kMaxWatchInterval);
}

void StoreNewsExchange::RecordAnswer(StoreTopic topic, StoreVersion version) {
  AnsweredAt(topic) = Clock::now();
  StoreVersion& known =
      topic == StoreTopic::kConfig ? own_.config : own_.quarantine;
  if (version <= known)
    return;
  known = version;
  SendNews("", own_.targets_changed);
}

void StoreNewsExchange::RecordEvacuations(const std::set<std::string>& domains,
                                          StoreVersion version) {
  AnsweredAt(StoreTopic::kEvacuations) = Clock::now();
  const bool is_first = !std::exchange(evacuations_read_, true);
  const bool is_new = !std::equal(domains.begin(), domains.end(),
                                  own_.evacuated.begin(), own_.evacuated.end());
  own_.evacuations = version;
  own_.evacuated.assign(domains.begin(), domains.end());
  if (is_first || is_new)
    SendNews("", own_.targets_changed);
  // Hosts that start together would all connect to each other.
  if (is_new && !is_first)
    SendEvacuations(peers_.size());
}

void StoreNewsExchange::ApplyEvacuations(const StoreNews& news) {
  if (!news.evacuations.IsSet() || !on_evacuations_)
    return;
  on_evacuations_({news.evacuated, news.evacuations, news.age});
  // The news hold the whole set, so nothing is left to read.
  Waiter& waiter = WaiterOf(StoreTopic::kEvacuations);
  waiter.version = std::max(waiter.version, news.evacuations);
}

void StoreNewsExchange::RecordTargets(const PlatformHosts& hosts,
                                      bool after_outage) {
  AnsweredAt(StoreTopic::kTargets) = Clock::now();
  own_.targets = hosts.version;
  if (after_outage)
    own_.outage = hosts.version;
  if (!hosts.is_whole && hosts.text.empty())
    return;
  const StoreVersion from = std::exchange(own_.targets_changed, hosts.version);
  // Changes in an earlier era do not lead to this list.
  const bool follows = !hosts.is_whole && from.era == hosts.version.era;
  SendNews(follows ? hosts.text : "", follows ? from : hosts.version);
}

bool StoreNewsExchange::HandleFrame(const PeerFrame& frame) {
  const auto* news = std::get_if<StoreNews>(&frame);
  if (!news)
    return false;
  const Clock::time_point now = Clock::now();
  // Also of hosts of other domains, and also if this host reads for others: it
  // may be cut off from the store.
  if (listed_hosts_.contains(news->host) && news->host != host_)
    ApplyEvacuations(*news);
  if (news->IsOfEvacuationsOnly())
    return true;
  if (!readers_.RecordNews(*news, now)) {
    LogEvent(kLog, Severity::kDebug, "news_ignored", {{"peer", news->host}});
    return true;
  }
  if (!news->changes.empty() && on_targets_ && !readers_.is_sender())
    on_targets_({news->changes_from, news->targets_changed, news->changes});
  // Without later changes, the list known here is that of the news.
  Waiter& targets = WaiterOf(StoreTopic::kTargets);
  if (news->targets_changed <= targets.version &&
      news->targets.era == targets.version.era)
    targets.version = std::max(targets.version, news->targets);
  for (std::size_t n = 0; n < kStoreTopics; ++n) {
    Waiter& it = waiters_[n];
    if (it.is_waiting &&
        readers_.NewestVersion(static_cast<StoreTopic>(n), now) > it.version)
      it.timer.cancel();
  }
  return true;
}

asio::awaitable<bool> StoreNewsExchange::WaitUntilReadIsDue(
    StoreTopic topic,
    StoreVersion version,
    std::chrono::milliseconds max_wait) {
  Waiter& waiter = WaiterOf(topic);
  waiter.version = version;
  const Clock::time_point end = Clock::now() + max_wait;
  for (;;) {
    const Clock::time_point now = Clock::now();
    const auto until = readers_.NewsValidUntil(now);
    if (!version.IsSet() || !until ||
        readers_.NewestVersion(topic, now) > waiter.version)
      co_return true;
    if (now >= end)
      co_return false;
    waiter.timer.expires_at(std::min(*until, end));
    waiter.is_waiting = true;
    co_await waiter.timer.async_wait(asio::as_tuple(asio::use_awaitable));
    waiter.is_waiting = false;
  }
}

asio::awaitable<void> StoreNewsExchange::WaitUntilRead(StoreTopic topic,
                                                       StoreVersion version) {
  bool is_due = false;
  while (!is_due)
    is_due = co_await WaitUntilReadIsDue(topic, version, kMaxNewsWait);
  co_await PaceRead(topic);
}

asio::awaitable<void> StoreNewsExchange::PaceRead(StoreTopic topic) {
  WatchPacer& pacer = WaiterOf(topic).pacer;
  pacer.SetInterval(WatchInterval(topic));
  asio::steady_timer timer(control_, pacer.NextStart(Clock::now()));
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

StoreVersion StoreNewsExchange::ConfirmedTargets(StoreVersion version) const {
  return std::max(
      version,
      waiters_[static_cast<std::size_t>(StoreTopic::kTargets)].version);
}

void StoreNewsExchange::RecordAppliedTargets(StoreVersion version) {
  Waiter& waiter = WaiterOf(StoreTopic::kTargets);
  waiter.version = std::max(waiter.version, version);
  own_.targets = std::max(own_.targets, version);
  own_.targets_changed = std::max(own_.targets_changed, version);
}

bool StoreNewsExchange::HadOutageSince(StoreVersion version) const {
  return readers_.LastOutage(Clock::now()) > version;
}

std::chrono::milliseconds StoreNewsExchange::WatchWait() const {
  return readers_.is_sender() || readers_.IsNextInRank(Clock::now())
             ? kReaderWatchWait
             : kMaxWatchWait;
}

}  // namespace turmericwinch
