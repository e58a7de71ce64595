#include "libs/load/load_driver.h"

#include <boost/asio.hpp>
#include <random>

#include "libs/base/digest.h"
#include "libs/load/load_caller.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kRunIdBytes = 4;
constexpr std::chrono::milliseconds kEndPollInterval{5};

class Driver {
 public:
  Driver(asio::io_context& context, const LoadSettings& settings)
      : context_(context),
        settings_(settings),
        client_(context),
        random_(settings.seed),
        kinds_(settings.mix.begin(), settings.mix.end()),
        run_id_(RandomHex(kRunIdBytes)) {}

  asio::awaitable<std::vector<CallRecord>> Run() {
    if (settings_.closed_loops > 0) {
      for (std::int64_t n = 0; n < settings_.closed_loops; ++n)
        asio::co_spawn(context_, RunClosedLoop(), asio::detached);
    } else {
      co_await RunArrivals();
    }
    asio::steady_timer timer(context_);
    while (open_calls_ > 0 || IsSending()) {
      timer.expires_after(kEndPollInterval);
      co_await timer.async_wait(asio::use_awaitable);
    }
    co_return std::move(records_);
  }

 private:
  bool IsSending() const { return Clock::now() - start_ < settings_.duration; }

  PlannedCall PlanCall() {
    PlannedCall call;
    call.record.id =
        "load-" + run_id_ + "-" + std::to_string(++last_call_number_);
    call.record.kind = static_cast<CallKind>(kinds_(random_));
    call.profile = &settings_.profiles[random_() % settings_.profiles.size()];
    call.first_host = random_() % settings_.hosts.size();
    return call;
  }

  asio::awaitable<void> SendNext() {
    ++open_calls_;
    PlannedCall call = PlanCall();
    CallRecord record =
        co_await SendCall(client_, settings_, std::move(call), start_);
    records_.push_back(std::move(record));
    --open_calls_;
  }

  asio::awaitable<void> RunClosedLoop() {
    while (IsSending())
      co_await SendNext();
  }

  asio::awaitable<void> RunArrivals() {
    std::exponential_distribution<double> gap(
        static_cast<double>(std::max<std::int64_t>(settings_.rate, 1)));
    asio::steady_timer timer(context_);
    Clock::time_point next = start_;
    while (IsSending()) {
      next += std::chrono::duration_cast<Clock::duration>(
          std::chrono::duration<double>(gap(random_)));
      timer.expires_at(next);
      co_await timer.async_wait(asio::use_awaitable);
      asio::co_spawn(context_, SendNext(), asio::detached);
    }
  }

  asio::io_context& context_;
  const LoadSettings& settings_;
  HttpClient client_;
  std::mt19937_64 random_;
  std::discrete_distribution<int> kinds_;
  std::string run_id_;
  Clock::time_point start_ = Clock::now();
  std::uint64_t last_call_number_ = 0;
  std::size_t open_calls_ = 0;
  std::vector<CallRecord> records_;
};

}  // namespace

asio::awaitable<std::vector<CallRecord>> DriveLoad(
    asio::io_context& context,
    const LoadSettings& settings) {
  Driver driver(context, settings);
  co_return co_await driver.Run();
}

}  // namespace turmericwinch
