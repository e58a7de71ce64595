#include "libs/node/config_watcher.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "libs/base/log.h"
#include "libs/config/config_constants.h"
#include "libs/config/config_manifest.h"
#include "libs/config/config_validator.h"
#include "libs/node/node_constants.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr LogCategory kLog{"node"};

}  // namespace

class ConfigWatcher::Private {
 public:
  // Puts the newest generation of `object` in force. False if it could not be
  // read whole.
  asio::awaitable<bool> TakeOver(const PlatformObject& object);
  asio::awaitable<std::optional<std::string>> Fetch(std::string name,
                                                    Reason* reason);

  PlatformClient* platform;
  ConfigHolder* holder;
  std::function<void()> on_change;
  std::map<std::string, std::string> chunks;
  std::uint64_t version = 0;
  bool platform_reachable = false;
};

ConfigWatcher::ConfigWatcher(PlatformClient& platform,
                             ConfigHolder& holder,
                             std::function<void()> on_change)
    : d_(std::make_unique<Private>()) {
  d_->platform = &platform;
  d_->holder = &holder;
  d_->on_change = std::move(on_change);
}

ConfigWatcher::~ConfigWatcher() = default;

bool ConfigWatcher::platform_reachable() const {
  return d_->platform_reachable;
}

asio::awaitable<std::optional<std::string>> ConfigWatcher::Private::Fetch(
    std::string name,
    Reason* reason) {
  std::optional<PlatformObject> object =
      co_await platform->Get(PlatformDuty::kConfig, name, reason);
  if (!object)
    co_return std::nullopt;
  co_return object->value;
}

asio::awaitable<bool> ConfigWatcher::Private::TakeOver(
    const PlatformObject& object) {
  Reason reason;
  std::optional<ConfigHead> head = ConfigHeadOf(object.value, &reason);
  if (!head || head->generations.empty())
    co_return false;
  const ConfigGeneration newest = head->generations.front();
  std::shared_ptr<const ConfigSnapshot> current = holder->Get();
  if (current && newest.generation < current->generation()) {
    LogEvent(kLog, Severity::kError, "config_went_back",
             {{"published", newest.generation},
              {"in_force", current->generation()}});
    co_return true;
  }
  std::optional<std::string> manifest =
      co_await Fetch(kConfigManifestPrefix + newest.manifest, &reason);
  if (!manifest)
    co_return false;
  std::optional<std::vector<std::string>> digests =
      ChunksOf(*manifest, &reason);
  if (!digests)
    co_return false;
  std::map<std::string, std::string> fetched;
  for (const std::string& it : *digests) {
    auto known = chunks.find(it);
    if (known != chunks.end()) {
      fetched.insert(*known);
      continue;
    }
    std::optional<std::string> chunk =
        co_await Fetch(kConfigChunkPrefix + it, &reason);
    if (!chunk)
      co_return false;
    fetched.emplace(it, std::move(*chunk));
  }
  chunks = std::move(fetched);
  std::optional<ConfigSet> set = JoinChunks(*manifest, chunks, &reason);
  if (!set || !ValidateConfig(*set).empty()) {
    LogEvent(kLog, Severity::kError, "config_rejected",
             {{"generation", newest.generation}, {"reason", reason.text}});
    co_return true;
  }
  const bool advanced = holder->Advance(std::make_shared<ConfigSnapshot>(
      newest.generation, newest.manifest, *set));
  if (advanced) {
    LogEvent(kLog, Severity::kInfo, "config_in_force",
             {{"generation", newest.generation}, {"digest", newest.manifest}});
    on_change();
  }
  co_return true;
}

asio::awaitable<void> ConfigWatcher::Run() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  std::chrono::milliseconds pause = kPlatformPauseFirst;
  for (;;) {
    Reason reason;
    std::optional<PlatformObject> object =
        co_await d_->platform->Watch(PlatformDuty::kConfig, kConfigHeadName,
                                     d_->version, kWatchWait, &reason);
    const bool answered =
        object || reason.code == ResultCode::kPlatformNotFound;
    d_->platform_reachable = answered;
    if (object && co_await d_->TakeOver(*object)) {
      d_->version = object->version;
      pause = kPlatformPauseFirst;
      continue;
    }
    if (answered && !object)
      continue;
    timer.expires_after(pause);
    co_await timer.async_wait(asio::use_awaitable);
    pause = std::min(pause * 2, kPlatformPauseMost);
  }
}

}  // namespace turmericwinch
