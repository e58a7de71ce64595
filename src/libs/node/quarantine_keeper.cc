#include "libs/node/quarantine_keeper.h"

#include <boost/asio.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <mutex>

#include "libs/base/json_fields.h"
#include "libs/base/log.h"
#include "libs/delivery/retry_budget.h"
#include "libs/node/node_constants.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr LogCategory kLog{"node"};
constexpr std::string_view kPrefix = "quarantine-";
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

std::int64_t UtcMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Time that the verdict in `object` still holds; nothing if it is over.
std::optional<milliseconds> HoldLeft(const PlatformObject& object) {
  std::optional<json::value> value = ParseJson(object.value);
  const json::object* verdict = value ? value->if_object() : nullptr;
  if (!verdict)
    return std::nullopt;
  const std::int64_t left =
      IntField(*verdict, "until_ms").value_or(0) - UtcMs();
  if (left <= 0)
    return std::nullopt;
  return milliseconds(left);
}

}  // namespace

class QuarantineKeeper::Private {
 public:
  Private(asio::io_context& control, PlatformClient& platform)
      : control(control), platform(platform) {}

  static asio::awaitable<void> Publish(std::shared_ptr<Private> d,
                                       QuarantineVerdict verdict);
  asio::awaitable<void> ReadVerdicts();

  asio::io_context& control;
  PlatformClient& platform;
  std::function<void(const QuarantineVerdict&)> on_verdict;
  mutable std::mutex mutex;
  Quarantine quarantine;
  RetryBudget retries;
};

QuarantineKeeper::QuarantineKeeper(asio::io_context& control,
                                   PlatformClient& platform)
    : d_(std::make_shared<Private>(control, platform)) {}

QuarantineKeeper::~QuarantineKeeper() = default;

void QuarantineKeeper::SetVerdictHook(
    std::function<void(const QuarantineVerdict&)> on_verdict) {
  d_->on_verdict = std::move(on_verdict);
}

void QuarantineKeeper::Learn(const QuarantineVerdict& verdict) {
  std::lock_guard lock(d_->mutex);
  d_->quarantine.Learn(verdict, steady_clock::now());
}

bool QuarantineKeeper::IsQuarantined(const std::string& digest) const {
  std::lock_guard lock(d_->mutex);
  return d_->quarantine.IsQuarantined(digest, steady_clock::now());
}

void QuarantineKeeper::OnLost(const std::string& digest,
                              const std::string& target) {
  std::optional<QuarantineVerdict> verdict;
  {
    std::lock_guard lock(d_->mutex);
    verdict = d_->quarantine.OnLost(digest, target, steady_clock::now());
  }
  if (!verdict)
    return;
  LogEvent(kLog, Severity::kError, "request_quarantined",
           {{"digest", digest}, {"target", target}});
  asio::co_spawn(d_->control, Private::Publish(d_, *verdict), asio::detached);
}

void QuarantineKeeper::OnAnswered(const std::string& digest) {
  std::lock_guard lock(d_->mutex);
  d_->quarantine.OnAnswered(digest);
}

std::size_t QuarantineKeeper::suspects() const {
  std::lock_guard lock(d_->mutex);
  return d_->quarantine.suspects();
}

void QuarantineKeeper::OnRequest() {
  std::lock_guard lock(d_->mutex);
  d_->retries.OnRequest();
}

bool QuarantineKeeper::TakeRetry() {
  std::lock_guard lock(d_->mutex);
  return d_->retries.TakeRetry();
}

asio::awaitable<void> QuarantineKeeper::Private::Publish(
    std::shared_ptr<Private> d,
    QuarantineVerdict verdict) {
  if (d->on_verdict)
    d->on_verdict(verdict);
  Reason reason;
  std::string name = std::string(kPrefix) + verdict.digest;
  std::string value = json::serialize(
      json::object{{"until_ms", UtcMs() + verdict.hold.count()}});
  std::optional<std::uint64_t> version = co_await d->platform.Create(
      PlatformDuty::kClaims, std::move(name), std::move(value), &reason);
  if (!version && reason.code != ResultCode::kPlatformExists) {
    LogEvent(kLog, Severity::kWarning, "verdict_not_shared",
             {{"digest", verdict.digest}, {"reason", reason.text}});
  }
}

asio::awaitable<void> QuarantineKeeper::Run() {
  auto d = d_;
  asio::steady_timer timer(d->control);
  for (;;) {
    timer.expires_after(kVerdictInterval);
    co_await timer.async_wait(kAwait);
    co_await d->ReadVerdicts();
    std::lock_guard lock(d->mutex);
    d->quarantine.Expire(steady_clock::now());
  }
}

asio::awaitable<void> QuarantineKeeper::Private::ReadVerdicts() {
  Reason reason;
  std::optional<std::vector<PlatformObject>> objects = co_await platform.List(
      PlatformDuty::kCaches, std::string(kPrefix), &reason);
  if (!objects)
    co_return;
  for (const PlatformObject& it : *objects) {
    std::optional<milliseconds> left = HoldLeft(it);
    if (left) {
      std::lock_guard lock(mutex);
      quarantine.Learn({it.name.substr(kPrefix.size()), *left},
                       steady_clock::now());
      continue;
    }
    co_await platform.Delete(PlatformDuty::kCaches, it.name, it.version,
                             &reason);
  }
}

}  // namespace turmericwinch
