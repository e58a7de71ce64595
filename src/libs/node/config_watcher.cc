#include "libs/node/config_watcher.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <map>
#include <random>

#include "libs/base/log.h"
#include "libs/config/config_constants.h"
#include "libs/config/config_follower.h"
#include "libs/config/config_head.h"
#include "libs/config/config_snapshot.h"
#include "libs/node/node_constants.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using Time = ConfigFollower::Time;

constexpr LogCategory kLog{"node"};
constexpr char kWatchDuty[] = "config-watch";

Time SteadyNow() {
  return std::chrono::duration_cast<Time>(
      std::chrono::steady_clock::now().time_since_epoch());
}

}  // namespace

class ConfigWatcher::Private {
 public:
  asio::awaitable<void> FollowPlatform();
  // Waits once for a change of the head. False if the platform did not answer.
  asio::awaitable<bool> WatchHead();
  // Reads the head once. False if the platform did not answer.
  asio::awaitable<bool> ReadHead();
  asio::awaitable<void> FetchFromPlatform(ConfigFetch fetch);
  asio::awaitable<void> Sleep(Time duration);
  void HandleHead(const PlatformObject& object);
  void LogAlarm(const std::string& before);
  void HandleNotice(const ConfigNotice& notice);
  void HandleRequest(const ConfigRequest& request);
  void HandlePart(const ConfigPart& part);
  void SendNotice(const std::string& address);
  void ActivateAndFetch();
  Time RandomUpTo(Time max);

  PlatformClient* platform = nullptr;
  FleetManager* fleet = nullptr;
  ConfigHolder* holder = nullptr;
  std::function<void()> on_change;
  ConfigFollower follower;
  std::optional<asio::any_io_executor> executor;
  std::map<std::string, Time> last_notices;
  std::mt19937_64 random{std::random_device{}()};
  StoreVersion version;
  Time next_check{0};
  bool platform_reachable = false;
  bool watching = false;
};

ConfigWatcher::ConfigWatcher(PlatformClient& platform,
                             FleetManager& fleet,
                             ConfigHolder& holder,
                             std::function<void()> on_change)
    : d_(std::make_unique<Private>()) {
  d_->platform = &platform;
  d_->fleet = &fleet;
  d_->holder = &holder;
  d_->on_change = std::move(on_change);
}

ConfigWatcher::~ConfigWatcher() = default;

Time ConfigWatcher::Private::RandomUpTo(Time max) {
  return Time(random() % static_cast<std::uint64_t>(max.count() + 1));
}

asio::awaitable<void> ConfigWatcher::Private::Sleep(Time duration) {
  asio::steady_timer timer(*executor, duration);
  co_await timer.async_wait(asio::use_awaitable);
}

void ConfigWatcher::Private::LogAlarm(const std::string& before) {
  if (follower.alarm().empty() || follower.alarm() == before)
    return;
  LogEvent(kLog, Severity::kError, "config_went_back",
           {{"in_force", follower.generation()}, {"reason", follower.alarm()}});
}

void ConfigWatcher::Private::HandleHead(const PlatformObject& object) {
  version = object.version;
  Reason reason;
  std::optional<ConfigHead> head = ParseConfigHead(object.value, &reason);
  if (!head || head->generations.empty()) {
    LogEvent(kLog, Severity::kError, "config_head_unreadable",
             {{"version", ToText(object.version)}, {"reason", reason.text}});
    return;
  }
  const ConfigGeneration& newest = head->generations.front();
  const std::string before = follower.alarm();
  follower.HandleOffer({newest.generation, newest.manifest}, "", SteadyNow());
  LogAlarm(before);
  ActivateAndFetch();
}

asio::awaitable<bool> ConfigWatcher::Private::ReadHead() {
  Reason reason;
  std::optional<PlatformObject> object =
      co_await platform->Get(PlatformDuty::kConfig, kConfigHeadName, &reason);
  platform_reachable = object || reason.code == ResultCode::kPlatformNotFound;
  if (object)
    HandleHead(*object);
  co_return platform_reachable;
}

asio::awaitable<bool> ConfigWatcher::Private::WatchHead() {
  Reason reason;
  std::optional<PlatformObject> object = co_await platform->Watch(
      PlatformDuty::kConfig, kConfigHeadName, version, kWatchTimeout, &reason);
  platform_reachable = object || reason.code == ResultCode::kPlatformNotFound;
  if (object) {
    HandleHead(*object);
    co_return true;
  }
  // A restored platform counts from a lower version, which the watch for a
  // higher one would never report.
  if (platform_reachable && version.IsSet())
    co_return co_await ReadHead();
  co_return platform_reachable;
}

asio::awaitable<void> ConfigWatcher::Private::FollowPlatform() {
  if (fleet->ExpectsPeers())
    co_await Sleep(RandomUpTo(kMaxStartDelay));
  Time pause = kMinPlatformRetryPause;
  for (;;) {
    watching = fleet->HoldsDuty(kWatchDuty, kConfigWatchers);
    bool answered = true;
    if (watching) {
      answered = co_await WatchHead();
    } else if (SteadyNow() >= next_check) {
      answered = co_await ReadHead();
      next_check =
          SteadyNow() + kConfigCheckInterval + RandomUpTo(kConfigCheckInterval);
    } else {
      co_await Sleep(kFleetRoundInterval);
    }
    if (answered) {
      pause = kMinPlatformRetryPause;
      continue;
    }
    co_await Sleep(pause / 2 + RandomUpTo(pause));
    pause = std::min(pause * 2, kMaxPlatformRetryPause);
  }
}

asio::awaitable<void> ConfigWatcher::Private::FetchFromPlatform(
    ConfigFetch fetch) {
  const char* prefix =
      fetch.is_manifest ? kConfigManifestPrefix : kConfigChunkPrefix;
  Reason reason;
  std::optional<PlatformObject> object = co_await platform->Get(
      PlatformDuty::kConfig, prefix + fetch.digest, &reason);
  if (!object) {
    follower.HandleFetchFailure(fetch.digest, "");
    co_return;
  }
  follower.HandlePart(fetch.digest, std::move(object->value));
  ActivateAndFetch();
}

void ConfigWatcher::Private::ActivateAndFetch() {
  std::optional<ReadyConfig> ready = follower.TakeReady(SteadyNow());
  if (ready) {
    holder->ActivateIfNewer(std::make_shared<ConfigSnapshot>(
        ready->generation, ready->digest, ready->set));
    fleet->SetConfigGeneration(ready->generation);
    LogEvent(kLog, Severity::kInfo, "config_in_force",
             {{"generation", ready->generation}, {"digest", ready->digest}});
    on_change();
    for (const std::string& it : fleet->RandomPeerAddresses(kConfigNoticePeers))
      SendNotice(it);
  }
  for (const ConfigFetch& it : follower.StartDueFetches(SteadyNow())) {
    if (it.peer.empty())
      asio::co_spawn(*executor, FetchFromPlatform(it), asio::detached);
    else
      fleet->Send(it.peer, ConfigRequest{it.digest, fleet->address()});
  }
}

void ConfigWatcher::Private::SendNotice(const std::string& address) {
  last_notices[address] = SteadyNow();
  fleet->Send(address, ConfigNotice{follower.generation(), follower.digest(),
                                    fleet->address()});
}

void ConfigWatcher::Private::HandleNotice(const ConfigNotice& notice) {
  follower.RecordPeerGeneration(notice.generation);
  const OfferVerdict verdict = follower.HandleOffer(
      {notice.generation, notice.digest}, notice.peer, SteadyNow());
  if (verdict == OfferVerdict::kFork) {
    LogEvent(kLog, Severity::kError, "config_fork",
             {{"peer", notice.peer}, {"generation", notice.generation}});
  }
  if (verdict == OfferVerdict::kOutdated &&
      notice.generation < follower.generation())
    SendNotice(notice.peer);
  ActivateAndFetch();
}

void ConfigWatcher::Private::HandleRequest(const ConfigRequest& request) {
  const std::string* text = follower.FindPart(request.digest);
  ConfigPart part{request.digest, text != nullptr, text ? *text : "",
                  fleet->address()};
  fleet->Send(request.peer, part);
}

void ConfigWatcher::Private::HandlePart(const ConfigPart& part) {
  if (!part.found || !follower.HandlePart(part.digest, part.text))
    follower.HandleFetchFailure(part.digest, part.peer);
  ActivateAndFetch();
}

void ConfigWatcher::HandleFrame(const PeerFrame& frame) {
  if (!d_->executor)
    return;
  if (const auto* notice = std::get_if<ConfigNotice>(&frame))
    d_->HandleNotice(*notice);
  else if (const auto* request = std::get_if<ConfigRequest>(&frame))
    d_->HandleRequest(*request);
  else if (const auto* part = std::get_if<ConfigPart>(&frame))
    d_->HandlePart(*part);
}

void ConfigWatcher::HandlePeerGeneration(const std::string& address,
                                         std::uint64_t generation) {
  d_->follower.RecordPeerGeneration(generation);
  if (generation >= d_->follower.generation())
    return;
  const Time now = SteadyNow();
  auto it = d_->last_notices.find(address);
  if (it == d_->last_notices.end() || now - it->second >= kConfigNoticeInterval)
    d_->SendNotice(address);
}

asio::awaitable<void> ConfigWatcher::Run() {
  d_->executor = co_await asio::this_coro::executor;
  if (d_->fleet->ExpectsPeers())
    d_->follower.SetPeerWaitDeadline(SteadyNow() + kMaxStartDelay +
                                     kConfigPeerWait);
  asio::co_spawn(*d_->executor, d_->FollowPlatform(), asio::detached);
  for (;;) {
    d_->ActivateAndFetch();
    std::erase_if(d_->last_notices, [](const auto& it) {
      return SteadyNow() - it.second >= kConfigNoticeInterval;
    });
    co_await d_->Sleep(kFleetRoundInterval);
  }
}

bool ConfigWatcher::platform_reachable() const {
  return d_->platform_reachable;
}

std::string ConfigWatcher::Problem() const {
  if (!d_->follower.alarm().empty())
    return d_->follower.alarm();
  if (d_->follower.generation() > 0)
    return {};
  if (d_->follower.fetching_generation() > 0) {
    return "generation " + std::to_string(d_->follower.fetching_generation()) +
           " is being fetched";
  }
  const std::string platform =
      d_->platform_reachable ? "the platform has no published configuration"
                             : "the platform does not answer";
  if (!d_->fleet->enabled())
    return platform + ", and this host has no fleet key to connect to peers";
  return platform + ", and no peer contacted so far has a configuration";
}

json::object ConfigWatcher::Dump() const {
  return {{"fetching", d_->follower.fetching_generation()},
          {"alarm", d_->follower.alarm()},
          {"bad_parts", d_->follower.bad_parts()},
          {"watching_platform", d_->watching},
          {"platform_reachable", d_->platform_reachable}};
}

}  // namespace turmericwinch
