#include "libs/node/claim_manager.h"

#include <atomic>
#include <boost/asio.hpp>

#include "libs/base/digest.h"
#include "libs/base/log.h"
#include "libs/delivery/claim_settlement.h"
#include "libs/delivery/delivery_constants.h"
#include "libs/node/node_constants.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr LogCategory kLog{"node"};
constexpr std::size_t kOwnerBytes = 12;
constexpr std::size_t kSweepDigitBytes = 1;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

std::int64_t UtcMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

HttpResponse StoredResponse(const ClaimRecord& record) {
  HttpResponse response;
  response.status = record.status;
  response.body = record.answer.value_or("");
  response.headers.Add("Content-Type", record.content_type);
  response.headers.Add("Idempotent-Replayed", "true");
  return response;
}

ClaimSession NewSession(const ClaimRequest& request) {
  ClaimRecord record;
  record.owner = RandomHex(kOwnerBytes);
  record.body_digest = request.body_digest;
  record.started_ms = UtcMs();
  record.deadline_ms = record.started_ms + request.deadline.count();
  return {ClaimName(request.team, request.key), std::move(record),
          std::chrono::steady_clock::now()};
}

}  // namespace

class ClaimManager::Private {
 public:
  Private(asio::io_context& control, PlatformClient& platform)
      : control(control), platform(platform) {}

  asio::awaitable<void> Read(ClaimSession& session);
  asio::awaitable<void> Write(ClaimSettlement& settlement);
  asio::awaitable<void> Read(ClaimSettlement& settlement);
  asio::awaitable<void> DeleteExpiredClaims();

  // Runs a settlement to its end, then wakes `waiter` if it still exists.
  static asio::awaitable<void> Settle(std::shared_ptr<Private> d,
                                      ClaimSettlement settlement,
                                      std::weak_ptr<asio::steady_timer> waiter);
  // Starts Settle() and waits for it for at most kClaimSettleTimeout.
  static asio::awaitable<void> SettleWithTimeout(std::shared_ptr<Private> d,
                                                 ClaimSettlement settlement);

  asio::io_context& control;
  PlatformClient& platform;
  std::atomic<std::uint64_t> unsettled{0};
  std::atomic<std::uint64_t> unsettled_bytes{0};
  std::atomic<std::uint64_t> given_up{0};
  std::atomic<std::uint64_t> swept{0};
};

ClaimManager::ClaimManager(asio::io_context& control, PlatformClient& platform)
    : d_(std::make_shared<Private>(control, platform)) {}

ClaimManager::~ClaimManager() = default;

asio::awaitable<void> ClaimManager::Private::Read(ClaimSession& session) {
  Reason reason;
  std::optional<PlatformObject> found =
      co_await platform.Get(PlatformDuty::kClaims, session.name(), &reason);
  if (found)
    session.OnRead(found->version, ParseClaimRecord(found->value), UtcMs());
  else
    session.OnReadFailed(reason);
}

asio::awaitable<ClaimResult> ClaimManager::Acquire(ClaimRequest request) {
  ClaimSession session = NewSession(request);
  Reason reason;
  std::optional<StoreVersion> version = co_await d_->platform.Create(
      PlatformDuty::kClaims, session.name(), ToJson(session.record()), &reason);
  if (version)
    session.OnCreated(*version);
  else
    session.OnCreateFailed(reason);
  while (session.step() == ClaimStep::kRead)
    co_await d_->Read(session);
  ClaimResult result;
  result.reason = session.reason();
  result.ran = session.ran();
  if (session.step() == ClaimStep::kReplay)
    result.stored_response = StoredResponse(session.stored_claim());
  else if (session.step() == ClaimStep::kHeld)
    result.session = std::move(session);
  else if (session.NeedsAbandon())
    co_await Abandon(std::move(session));
  co_return result;
}

asio::awaitable<ClaimResult> ClaimManager::Find(ClaimRequest request) {
  ClaimResult result;
  Reason reason;
  std::optional<PlatformObject> found = co_await d_->platform.Get(
      PlatformDuty::kClaims, ClaimName(request.team, request.key), &reason);
  std::optional<ClaimRecord> record;
  if (found)
    record = ParseClaimRecord(found->value);
  if (!record)
    co_return result;
  std::optional<ClaimRefusal> refusal =
      RefusalOf(*record, request.body_digest, UtcMs());
  if (!refusal) {
    result.stored_response = StoredResponse(*record);
    co_return result;
  }
  result.reason = refusal->reason;
  result.ran = refusal->ran;
  co_return result;
}

asio::awaitable<void> ClaimManager::Abandon(ClaimSession session) {
  // Waits only for the removal of a claim that is known to exist, not of one
  // whose creation may still take effect.
  ClaimSettlement settlement = ClaimSettlement::Abandon(
      session.name(), session.version(), session.record(),
      std::chrono::steady_clock::now());
  if (session.version().IsSet()) {
    co_await Private::SettleWithTimeout(d_, std::move(settlement));
    co_return;
  }
  asio::co_spawn(d_->control, Private::Settle(d_, std::move(settlement), {}),
                 asio::detached);
}

asio::awaitable<void> ClaimManager::Complete(
    ClaimSession session,
    std::optional<HttpResponse> response) {
  ClaimRecord record = session.record();
  record.outcome = response ? ClaimOutcome::kDone : ClaimOutcome::kUnknown;
  if (response) {
    record.status = response->status;
    record.content_type = std::string(response->headers.Get("Content-Type"));
    if (response->body.size() <= kMaxClaimAnswerBytes)
      record.answer = std::move(response->body);
  }
  ClaimSettlement settlement = ClaimSettlement::Record(
      session.name(), session.version(), std::move(record),
      std::chrono::steady_clock::now());
  co_await Private::SettleWithTimeout(d_, std::move(settlement));
}

asio::awaitable<void> ClaimManager::CompleteWithoutResponse(
    ClaimSession session) {
  ClaimRecord record = session.record();
  record.outcome = ClaimOutcome::kDone;
  ClaimSettlement settlement = ClaimSettlement::Record(
      session.name(), session.version(), std::move(record),
      std::chrono::steady_clock::now());
  co_await Private::SettleWithTimeout(d_, std::move(settlement));
}

asio::awaitable<void> ClaimManager::Private::SettleWithTimeout(
    std::shared_ptr<Private> d,
    ClaimSettlement settlement) {
  auto waiter =
      std::make_shared<asio::steady_timer>(d->control, kClaimSettleTimeout);
  asio::co_spawn(d->control, Settle(d, std::move(settlement), waiter),
                 asio::detached);
  co_await waiter->async_wait(kAwait);
}

asio::awaitable<void> ClaimManager::Private::Settle(
    std::shared_ptr<Private> d,
    ClaimSettlement settlement,
    std::weak_ptr<asio::steady_timer> waiter) {
  if (d->unsettled_bytes + settlement.AnswerBytes() > kMaxUnsettledBytes)
    settlement.DropAnswer();
  const std::size_t bytes = settlement.AnswerBytes();
  const bool accepted = d->unsettled < kMaxUnsettledClaims;
  ++d->unsettled;
  d->unsettled_bytes += bytes;
  asio::steady_timer timer(d->control);
  while (accepted && settlement.step() != SettleStep::kDone &&
         settlement.step() != SettleStep::kGivenUp) {
    if (settlement.pause().count() > 0) {
      timer.expires_after(settlement.pause());
      co_await timer.async_wait(kAwait);
    }
    if (settlement.step() == SettleStep::kRead)
      co_await d->Read(settlement);
    else
      co_await d->Write(settlement);
  }
  --d->unsettled;
  d->unsettled_bytes -= bytes;
  if (settlement.step() != SettleStep::kDone) {
    ++d->given_up;
    LogEvent(kLog, Severity::kWarning, "claim_not_settled",
             {{"claim", settlement.name()},
              {"reason",
               accepted ? "the platform did not confirm the write in time"
                        : "too many claims are waiting for the platform"}});
  }
  if (std::shared_ptr<asio::steady_timer> it = waiter.lock())
    it->cancel();
}

asio::awaitable<void> ClaimManager::Private::Read(ClaimSettlement& settlement) {
  Reason reason;
  std::optional<PlatformObject> found =
      co_await platform.Get(PlatformDuty::kClaims, settlement.name(), &reason);
  if (found)
    settlement.OnRead(found->version, ParseClaimRecord(found->value));
  else
    settlement.OnReadFailed(reason.code, std::chrono::steady_clock::now());
}

asio::awaitable<void> ClaimManager::Private::Write(
    ClaimSettlement& settlement) {
  Reason reason;
  std::optional<StoreVersion> version;
  if (settlement.step() == SettleStep::kUpdate) {
    // A named variable: GCC 12 destroys an aggregate twice if it is built
    // within a co_await expression.
    PlatformObject object{settlement.name(), settlement.version(),
                          ToJson(settlement.record())};
    version = co_await platform.Update(PlatformDuty::kClaims, object, &reason);
  } else {
    version = co_await platform.Delete(PlatformDuty::kClaims, settlement.name(),
                                       settlement.version(), &reason);
  }
  settlement.OnWritten(version ? ResultCode::kOk : reason.code,
                       std::chrono::steady_clock::now());
}

asio::awaitable<void> ClaimManager::RunExpirySweep() {
  auto d = d_;
  asio::steady_timer timer(d->control);
  for (;;) {
    timer.expires_after(kClaimSweepInterval);
    co_await timer.async_wait(kAwait);
    co_await d->DeleteExpiredClaims();
  }
}

asio::awaitable<void> ClaimManager::Private::DeleteExpiredClaims() {
  Reason reason;
  const std::string prefix = kClaimPrefix + RandomHex(kSweepDigitBytes);
  std::optional<std::vector<PlatformObject>> objects =
      co_await platform.List(PlatformDuty::kClaims, prefix, &reason);
  if (!objects)
    co_return;
  for (const PlatformObject& it : *objects) {
    std::optional<ClaimRecord> record = ParseClaimRecord(it.value);
    if (!record || !IsExpired(*record, UtcMs()))
      continue;
    std::optional<StoreVersion> deleted = co_await platform.Delete(
        PlatformDuty::kClaims, it.name, it.version, &reason);
    if (deleted)
      ++swept;
  }
}

ClaimStats ClaimManager::Stats() const {
  return {d_->unsettled, d_->unsettled_bytes, d_->given_up, d_->swept};
}

}  // namespace turmericwinch
