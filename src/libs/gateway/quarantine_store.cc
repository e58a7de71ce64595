#include "libs/gateway/quarantine_store.h"

#include <boost/asio.hpp>
#include <utility>

#include "libs/base/log.h"
#include "libs/base/store_version.h"
#include "libs/gateway/gateway_constants.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr LogCategory kLog{"quarantine"};
// Kind and name. The kind is its own, as a watch returns all changes of a kind.
constexpr char kObjectName[] = "quarantine/prompt-parts";

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

QuarantineStore::QuarantineStore(asio::io_context& control,
                                 PlatformClient& platform,
                                 StoreNewsExchange& news,
                                 Sink on_verdicts)
    : control_(control),
      platform_(platform),
      news_(news),
      on_verdicts_(std::move(on_verdicts)) {}

asio::awaitable<void> QuarantineStore::Run() {
  asio::steady_timer timer(control_);
  for (;;) {
    co_await news_.WaitUntilRead(StoreTopic::kQuarantine, version_);
    const bool answered = co_await WatchOnce();
    if (answered) {
      news_.RecordAnswer(StoreTopic::kQuarantine, version_);
      continue;
    }
    timer.expires_after(kStoreRetryPause);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

asio::awaitable<bool> QuarantineStore::WatchOnce() {
  Reason reason;
  const std::optional<PlatformObject> object =
      co_await platform_.Watch(PlatformDuty::kCaches, kObjectName, version_,
                               kQuarantineWatchWait, &reason);
  if (object) {
    HandleObject(*object);
    co_return true;
  }
  if (reason.code != ResultCode::kPlatformNotFound)
    co_return false;
  // A store that came back from an old copy may not have the object.
  if (version_.era != platform_.Era())
    version_ = {};
  if (version_.IsSet())
    co_return true;
  const std::optional<StoreVersion> created = co_await platform_.Create(
      PlatformDuty::kCaches, kObjectName, stored_.ToText(), &reason);
  if (created)
    version_ = *created;
  co_return created || IsWriteConflict(reason.code);
}

void QuarantineStore::HandleObject(const PlatformObject& object) {
  version_ = std::max(version_, object.version);
  Reason reason;
  std::optional<StoredQuarantine> parsed =
      StoredQuarantine::Parse(object.value, &reason);
  if (!parsed) {
    LogEvent(kLog, Severity::kError, "stored_quarantine_unreadable",
             {{"version", ToText(object.version)}, {"reason", reason.text}});
    return;
  }
  stored_ = std::move(*parsed);
  on_verdicts_(stored_.Verdicts(UnixMs()));
}

void QuarantineStore::Store(const QuarantineVerdicts& changes) {
  StoredQuarantine next = stored_;
  if (!version_.IsSet() || is_writing_ || !next.Apply(changes, UnixMs()))
    return;
  is_writing_ = true;
  asio::co_spawn(control_, Write(changes), asio::detached);
}

asio::awaitable<bool> QuarantineStore::Refresh(Reason* reason) {
  const std::optional<PlatformObject> object =
      co_await platform_.Get(PlatformDuty::kCaches, kObjectName, reason);
  if (object)
    HandleObject(*object);
  co_return object.has_value();
}

asio::awaitable<void> QuarantineStore::Write(QuarantineVerdicts changes) {
  Reason reason;
  for (int n = 0; n < kMaxWriteConflicts; ++n) {
    StoredQuarantine next = stored_;
    if (!next.Apply(changes, UnixMs())) {
      reason = {};
      break;
    }
    PlatformObject object{kObjectName, version_, next.ToText()};
    const std::optional<StoreVersion> written = co_await platform_.Update(
        PlatformDuty::kCaches, std::move(object), &reason);
    if (written) {
      version_ = std::max(version_, *written);
      stored_ = std::move(next);
      reason = {};
      break;
    }
    if (!IsWriteConflict(reason.code))
      break;
    const bool refreshed = co_await Refresh(&reason);
    if (!refreshed)
      break;
  }
  is_writing_ = false;
  if (reason.code != ResultCode::kOk) {
    LogEvent(
        kLog, Severity::kWarning, "quarantine_not_stored",
        {{"code", static_cast<int>(reason.code)}, {"reason", reason.text}});
  }
}

}  // namespace turmericwinch
