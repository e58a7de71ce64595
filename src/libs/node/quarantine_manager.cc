#include "libs/node/quarantine_manager.h"

#include <atomic>
#include <boost/asio.hpp>
#include <map>
#include <mutex>

#include "libs/base/digest.h"
#include "libs/base/log.h"
#include "libs/delivery/notice_rate_limiter.h"
#include "libs/delivery/retry_budget.h"
#include "libs/delivery/stored_verdict.h"
#include "libs/node/fleet_manager.h"
#include "libs/node/node_constants.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr LogCategory kLog{"node"};
constexpr std::string_view kPrefix = "quarantine-";
constexpr std::string_view kVerdictDuty = "quarantine";
constexpr std::size_t kDigestDigits = 40;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

std::int64_t UtcMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

class QuarantineManager::Private {
 public:
  Private(asio::io_context& control,
          PlatformClient& platform,
          FleetManager& fleet,
          std::string failure_domain)
      : control(control),
        platform(platform),
        fleet(fleet),
        failure_domain(std::move(failure_domain)) {}

  static asio::awaitable<void> PublishVerdict(std::shared_ptr<Private> d,
                                              QuarantineVerdict verdict);
  asio::awaitable<void> ReadVerdicts();
  asio::awaitable<void> ReadVerdict(const PlatformObject& object);
  // Posts the notice to the control thread, which sends it if the rate limit
  // allows. Safe from any thread.
  static void PostNotice(std::shared_ptr<Private> d, QuarantineNotice notice);
  // Sends the notice to the hosts of the own domain and, with `all_domains`, to
  // kNoticeRelays hosts of each other domain.
  void SendNotice(QuarantineNotice notice, bool all_domains);
  // Applies the notice; returns a verdict if the notice causes one.
  std::optional<QuarantineVerdict> ApplyNotice(const QuarantineNotice& notice);
  void UpdateSuspectCount() { suspects = quarantine.suspects(); }

  asio::io_context& control;
  PlatformClient& platform;
  FleetManager& fleet;
  std::string failure_domain;
  NoticeRateLimiter notices;
  std::atomic<std::uint64_t> unsent{0};
  std::atomic<std::size_t> suspects{0};
  mutable std::mutex mutex;
  Quarantine quarantine;
  RetryBudget retries;
};

QuarantineManager::QuarantineManager(asio::io_context& control,
                                     PlatformClient& platform,
                                     FleetManager& fleet,
                                     std::string failure_domain)
    : d_(std::make_shared<Private>(control,
                                   platform,
                                   fleet,
                                   std::move(failure_domain))) {}

QuarantineManager::~QuarantineManager() = default;

std::string QuarantineManager::RequestDigest(std::string_view team,
                                             std::string_view text) {
  std::string buf(team);
  buf += '\n';
  buf += text;
  return Sha256Hex(buf).substr(0, kDigestDigits);
}

bool QuarantineManager::HasSuspects() const {
  return d_->suspects > 0;
}

bool QuarantineManager::HandleFrame(const PeerFrame& frame) {
  const auto* notice = std::get_if<QuarantineNotice>(&frame);
  if (!notice)
    return false;
  std::optional<QuarantineVerdict> verdict = d_->ApplyNotice(*notice);
  if (verdict || notice->hold.count() > 0) {
    LogEvent(kLog, Severity::kWarning, "quarantine_learnt",
             {{"digest", notice->digest}, {"target", notice->target}});
  }
  if (notice->relay)
    d_->SendNotice(*notice, false);
  // Each host may have seen only one of the losses itself, so that none of them
  // reached a verdict on its own: the holder of the duty publishes it.
  if (verdict && d_->fleet.HoldsDuty(kVerdictDuty, kVerdictReaders))
    asio::co_spawn(d_->control, Private::PublishVerdict(d_, *verdict),
                   asio::detached);
  return true;
}

std::optional<QuarantineVerdict> QuarantineManager::Private::ApplyNotice(
    const QuarantineNotice& notice) {
  const auto now = steady_clock::now();
  std::optional<QuarantineVerdict> verdict;
  std::lock_guard lock(mutex);
  if (notice.hold.count() > 0)
    quarantine.AddVerdict({notice.digest, notice.hold}, now);
  else if (!notice.target.empty())
    verdict = quarantine.OnLost(notice.digest, notice.target, now);
  else
    quarantine.OnAnswered(notice.digest, now);
  UpdateSuspectCount();
  return verdict;
}

void QuarantineManager::Private::PostNotice(std::shared_ptr<Private> d,
                                            QuarantineNotice notice) {
  asio::post(d->control, [d, notice = std::move(notice)] {
    if (d->notices.TryAcquire(steady_clock::now()))
      d->SendNotice(notice, true);
    else
      ++d->unsent;
  });
}

void QuarantineManager::Private::SendNotice(QuarantineNotice notice,
                                            bool all_domains) {
  std::map<std::string, int> sent_per_domain;
  for (const Member& it : fleet.ShuffledPeers()) {
    notice.relay = it.failure_domain != failure_domain;
    if (notice.relay &&
        (!all_domains || ++sent_per_domain[it.failure_domain] > kNoticeRelays))
      continue;
    fleet.Send(it.address, notice);
  }
}

bool QuarantineManager::IsQuarantined(const std::string& digest) const {
  std::lock_guard lock(d_->mutex);
  return d_->quarantine.IsQuarantined(digest, steady_clock::now());
}

void QuarantineManager::OnLost(const std::string& digest,
                               const std::string& target) {
  std::optional<QuarantineVerdict> verdict;
  {
    std::lock_guard lock(d_->mutex);
    verdict = d_->quarantine.OnLost(digest, target, steady_clock::now());
    d_->UpdateSuspectCount();
  }
  Private::PostNotice(d_, {digest, target});
  if (!verdict)
    return;
  LogEvent(kLog, Severity::kError, "request_quarantined",
           {{"digest", digest}, {"target", target}});
  asio::co_spawn(d_->control, Private::PublishVerdict(d_, *verdict),
                 asio::detached);
}

void QuarantineManager::OnAnswered(const std::string& digest) {
  bool suspected = false;
  {
    std::lock_guard lock(d_->mutex);
    suspected = d_->quarantine.OnAnswered(digest, steady_clock::now());
    d_->UpdateSuspectCount();
  }
  if (suspected)
    Private::PostNotice(d_, {digest, ""});
}

std::size_t QuarantineManager::suspects() const {
  std::lock_guard lock(d_->mutex);
  return d_->quarantine.suspects();
}

std::uint64_t QuarantineManager::unsent_notices() const {
  return d_->unsent;
}

void QuarantineManager::OnRequest() {
  std::lock_guard lock(d_->mutex);
  d_->retries.OnRequest();
}

bool QuarantineManager::TakeRetry() {
  std::lock_guard lock(d_->mutex);
  return d_->retries.TakeRetry();
}

asio::awaitable<void> QuarantineManager::Private::PublishVerdict(
    std::shared_ptr<Private> d,
    QuarantineVerdict verdict) {
  d->SendNotice({verdict.digest, "", verdict.hold}, true);
  Reason reason;
  std::string name = std::string(kPrefix) + verdict.digest;
  std::string value = VerdictText(UtcMs() + verdict.hold.count());
  std::optional<StoreVersion> version = co_await d->platform.Create(
      PlatformDuty::kClaims, std::move(name), std::move(value), &reason);
  if (!version && reason.code != ResultCode::kPlatformExists) {
    LogEvent(kLog, Severity::kWarning, "verdict_not_shared",
             {{"digest", verdict.digest}, {"reason", reason.text}});
  }
}

asio::awaitable<void> QuarantineManager::Run() {
  auto d = d_;
  asio::steady_timer timer(d->control);
  for (;;) {
    timer.expires_after(kVerdictInterval);
    co_await timer.async_wait(kAwait);
    if (d->fleet.HoldsDuty(kVerdictDuty, kVerdictReaders))
      co_await d->ReadVerdicts();
    std::lock_guard lock(d->mutex);
    d->quarantine.Expire(steady_clock::now());
    d->UpdateSuspectCount();
  }
}

asio::awaitable<void> QuarantineManager::Private::ReadVerdicts() {
  Reason reason;
  std::optional<std::vector<PlatformObject>> objects = co_await platform.List(
      PlatformDuty::kCaches, std::string(kPrefix), &reason);
  if (!objects)
    co_return;
  for (const PlatformObject& it : *objects)
    co_await ReadVerdict(it);
}

asio::awaitable<void> QuarantineManager::Private::ReadVerdict(
    const PlatformObject& object) {
  const std::optional<std::int64_t> until_ms = ParseVerdictEnd(object.value);
  // Objects of other writers are neither used nor deleted.
  if (!until_ms)
    co_return;
  const milliseconds left(*until_ms - UtcMs());
  if (left.count() <= 0) {
    Reason reason;
    co_await platform.Delete(PlatformDuty::kCaches, object.name, object.version,
                             &reason);
    co_return;
  }
  const std::string digest = object.name.substr(kPrefix.size());
  {
    std::lock_guard lock(mutex);
    if (quarantine.IsQuarantined(digest, steady_clock::now()))
      co_return;
  }
  const QuarantineNotice notice{digest, "", left};
  ApplyNotice(notice);
  SendNotice(notice, false);
}

}  // namespace turmericwinch
