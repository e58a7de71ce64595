#include "libs/load/load.h"

#include <boost/asio.hpp>
#include <fstream>
#include <iostream>

#include "libs/load/latency_report.h"
#include "libs/load/load_driver.h"
#include "libs/load/load_settings.h"
#include "libs/load/reconciliation.h"
#include "libs/load/svg_plot.h"
#include "libs/platform/http_platform_client.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kSettlePollInterval{250};
constexpr int kMismatchExitCode = 8;

// Reads the runs of the targets once, then the bills until the reconciliation
// finds no mismatch or the settle time is over.
asio::awaitable<bool> WaitForSettledState(asio::io_context& context,
                                          const LoadSettings& settings,
                                          ReconciliationInput& input,
                                          Reason* reason) {
  HttpClient client(context);
  HttpPlatformClient platform(context, *settings.platform);
  std::optional<TargetRuns> runs =
      co_await FetchTargetRuns(client, settings, reason);
  if (!runs)
    co_return false;
  input.runs = std::move(*runs);
  const Clock::time_point deadline = Clock::now() + settings.settle_time;
  asio::steady_timer timer(context);
  for (;;) {
    std::optional<PlatformState> state =
        co_await FetchPlatformState(platform, reason);
    const bool timed_out = Clock::now() >= deadline;
    if (!state && timed_out)
      co_return false;
    if (state)
      input.platform = std::move(*state);
    // A host writes a bill before it updates the budget's counters in the same
    // flush, so the bills alone do not show that the state has settled.
    const bool settled = state && Reconcile(input).mismatches.empty();
    if (settled || timed_out)
      co_return true;
    timer.expires_after(kSettlePollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<int> Run(asio::io_context& context,
                         const LoadSettings& settings) {
  ReconciliationInput input;
  input.records = co_await DriveLoad(context, settings);
  input.lost_hosts = settings.lost_hosts;
  input.call_tokens = settings.call_tokens;
  std::cout << FormatLatencyReport(input.records, settings.duration);
  if (!settings.svg_file.empty()) {
    std::ofstream file(settings.svg_file);
    file << PlotSvg(BuildPanels(input.records, settings.call_tokens),
                    "seconds");
  }
  if (!settings.platform)
    co_return 0;
  Reason reason;
  if (!co_await WaitForSettledState(context, settings, input, &reason)) {
    std::cerr << reason.text << "\n";
    co_return InfoOf(reason.code).exit_code;
  }
  const Reconciliation result = Reconcile(input);
  std::cout << FormatReconciliation(result);
  co_return result.mismatches.empty() ? 0 : kMismatchExitCode;
}

}  // namespace

int RunLoad(int argc, const char* const* argv) {
  Reason reason;
  std::optional<SettingsTable> table = SettingsTable::Read(
      LoadSettingSpecs(), argc, argv, ProcessEnvironment(), &reason);
  if (table && table->Flag("help")) {
    std::cout << SettingsHelp(LoadSettingSpecs());
    return 0;
  }
  std::optional<LoadSettings> settings;
  if (table)
    settings = ParseLoadSettings(*table, &reason);
  if (!settings) {
    std::cerr << reason.text;
    return InfoOf(reason.code).exit_code;
  }
  asio::io_context context(1);
  int exit_code = 0;
  asio::co_spawn(context, Run(context, *settings),
                 [&](std::exception_ptr error, int code) {
                   exit_code = code;
                   context.stop();
                   if (error)
                     std::rethrow_exception(error);
                 });
  context.run();
  return exit_code;
}

}  // namespace turmericwinch
