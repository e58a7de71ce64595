#include "libs/gateway/gateway.h"

#include <boost/asio.hpp>
#include <csignal>
#include <thread>

#include "libs/base/log.h"
#include "libs/gateway/account_manager.h"
#include "libs/gateway/evacuation_source.h"
#include "libs/gateway/gateway_call_runner.h"
#include "libs/gateway/gateway_context.h"
#include "libs/gateway/gateway_state.h"
#include "libs/gateway/quarantine_store.h"
#include "libs/gateway/run_periodically.h"
#include "libs/gateway/target_source.h"
#include "libs/node/platform_metrics.h"
#include "libs/platform/call_counter.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;
using WorkGuard = asio::executor_work_guard<asio::io_context::executor_type>;

constexpr LogCategory kLog{"gateway"};
constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;
constexpr std::string_view kMetricsPath = "/metrics";
constexpr std::string_view kStatePath = "/state";

}  // namespace

class Gateway::Private {
 public:
  Private(GatewaySettings settings, GatewayDeployment parts);

  bool IsReady() const {
    return context.config.Get() && context.targets_known &&
           context.evacuations_known && !context.draining &&
           !context.link.is_saturated();
  }
  void ApplyConfig(std::shared_ptr<const GatewayConfig> config);
  void ApplyTargets(const HostList& list);
  void UpdateTargets();
  // Called on the control thread.
  GatewayStats Stats() const;
  asio::awaitable<void> HandleProbe(HttpExchange& exchange);
  asio::awaitable<void> HandleOperatorRequest(const HttpRequest& request,
                                              HttpExchange& exchange);
  asio::awaitable<void> WaitForSignals();
  asio::awaitable<void> Drain();
  // Waits until no request is active, or until `end`.
  asio::awaitable<void> WaitUntilIdle(Clock::time_point end);
  // Metrics of requests, account and calls to the store.
  std::string Metrics();
  // Logs the calls made to the store.
  void LogStoreCalls() const;

  GatewayContext context;
  GatewayDeployment deployment;
  WorkGuard traffic_guard;
  std::unique_ptr<PlatformClient> store;
  std::unique_ptr<ConfigSource> config_source;
  std::unique_ptr<TargetSource> target_source;
  // Null if the deployment has no evacuations.
  std::unique_ptr<EvacuationSource> evacuation_source;
  std::unique_ptr<AccountManager> account_manager;
  std::unique_ptr<QuarantineStore> quarantine_store;
  HttpServer caller_server;
  HttpServer probe_server;
  HttpServer operator_server;
  asio::signal_set signals;
  std::thread traffic_thread;
  HostList target_list;
  int exit_code = 0;
};

Gateway::Private::Private(GatewaySettings settings, GatewayDeployment parts)
    : context(std::move(settings), parts.dialect),
      deployment(std::move(parts)),
      traffic_guard(context.traffic.get_executor()),
      store(deployment.make_store(context.control, context.settings)),
      config_source(std::make_unique<ConfigSource>(
          *store,
          context.news,
          deployment.config_name,
          deployment.decode_config,
          [this](auto config) { ApplyConfig(std::move(config)); })),
      target_source(std::make_unique<TargetSource>(
          *store,
          context.news,
          [this](const HostList& targets) { ApplyTargets(targets); })),
      account_manager(std::make_unique<AccountManager>(context, *store)),
      quarantine_store(std::make_unique<QuarantineStore>(
          context.control,
          *store,
          context.news,
          [this](const QuarantineVerdicts& verdicts) {
            context.quarantine.OnStoredVerdicts(verdicts);
          })),
      caller_server({&context.traffic},
                    {kHttpMostBodyBytes, kGatewayMaxCallerConnections},
                    [this](const HttpRequest& request, HttpExchange& exchange) {
                      return RunGatewayCall(context, request, exchange);
                    }),
      probe_server({&context.traffic},
                   {kHttpMostBodyBytes, kMaxProbeConnections},
                   [this](const HttpRequest&, HttpExchange& exchange) {
                     return HandleProbe(exchange);
                   }),
      operator_server(
          {&context.control},
          {kHttpMostBodyBytes, kMaxProbeConnections},
          [this](const HttpRequest& request, HttpExchange& exchange) {
            return HandleOperatorRequest(request, exchange);
          }),
      signals(context.control, SIGTERM, SIGINT, SIGHUP) {
  if (context.settings.evacuate_time.count() > 0) {
    evacuation_source = std::make_unique<EvacuationSource>(
        *store, context.news, context.settings.failure_domains,
        [this](const std::set<std::string>& domains) {
          context.targets.SetEvacuatedDomains(domains);
          context.evacuations_known = true;
        });
  } else {
    context.evacuations_known = true;
  }
  context.ledger.SetGrantRequestHandler(
      [this] { account_manager->RequestTokens(); });
  context.quarantine.SetStore([this](const QuarantineVerdicts& verdicts) {
    quarantine_store->Store(verdicts);
  });
}

void Gateway::Private::ApplyConfig(
    std::shared_ptr<const GatewayConfig> config) {
  HttpServerLimits limits = config->limits;
  limits.most_connections = kGatewayMaxCallerConnections;
  caller_server.SetLimits(limits);
  context.config.Set(std::move(config));
  UpdateTargets();
  account_manager->RequestSync();
}

void Gateway::Private::ApplyTargets(const HostList& targets) {
  target_list = targets;
  context.targets_known = true;
  context.quarantine.OnTargetList(target_list);
  UpdateTargets();
}

void Gateway::Private::UpdateTargets() {
  if (std::shared_ptr<const GatewayConfig> config = context.config.Get())
    context.targets.Update(target_list, *config->objects);
}

GatewayStats Gateway::Private::Stats() const {
  const Clock::time_point now = Clock::now();
  const auto age = [now](Clock::time_point then) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - then);
  };
  GatewayStats stats;
  stats.is_ready = IsReady();
  stats.callers = caller_server.Connections();
  stats.active_requests = caller_server.ActiveRequests();
  stats.listed_targets = target_list.targets.size();
  stats.account_age = age(account_manager->synced_at());
  stats.targets_age = age(target_source->last_contact());
  stats.account = account_manager->stats();
  if (evacuation_source) {
    const DomainEvacuations& known = evacuation_source->evacuations();
    stats.evacuations = {known.domains(), known.version(), std::nullopt};
    if (known.is_known())
      stats.evacuations->age = age(known.confirmed_at());
  }
  return stats;
}

asio::awaitable<void> Gateway::Private::HandleProbe(HttpExchange& exchange) {
  HttpResponse response;
  context.IsLinkSaturated();
  response.status = IsReady() ? kStatusOk : kStatusUnavailable;
  co_await exchange.Send(response);
}

asio::awaitable<void> Gateway::Private::HandleOperatorRequest(
    const HttpRequest& request,
    HttpExchange& exchange) {
  HttpResponse response;
  if (PathOf(request.target) == kMetricsPath)
    response.body = Metrics();
  else if (PathOf(request.target) == kStatePath)
    response = JsonResponse(kStatusOk, StateText(context, Stats()));
  else
    response.status = InfoOf(ResultCode::kNotFound).http_status;
  co_await exchange.Send(response);
}

asio::awaitable<void> Gateway::Private::WaitForSignals() {
  for (;;) {
    auto [ec, signal] =
        co_await signals.async_wait(asio::as_tuple(asio::use_awaitable));
    if (ec)
      co_return;
    if (signal == SIGHUP) {
      LogEvent(kLog, Severity::kInfo, "reload",
               {{"outcome",
                 "ignored: settings are read only when the process starts"}});
      continue;
    }
    if (!context.draining.exchange(true))
      asio::co_spawn(context.control, Drain(), asio::detached);
  }
}

std::string Gateway::Private::Metrics() {
  std::string text = MetricsText(context, Stats());
  if (const CallCounter* counter = store->call_counter())
    text += CallMetricsText(*counter);
  return text;
}

void Gateway::Private::LogStoreCalls() const {
  if (const CallCounter* counter = store->call_counter()) {
    LogEvent(kLog, Severity::kInfo, "store_calls",
             {{"calls", ToText(*counter)}});
  }
}

asio::awaitable<void> Gateway::Private::WaitUntilIdle(Clock::time_point end) {
  asio::steady_timer timer(context.control);
  while (caller_server.ActiveRequests() > 0 && Clock::now() < end) {
    timer.expires_after(kDrainPollInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

asio::awaitable<void> Gateway::Private::Drain() {
  const Clock::time_point start = Clock::now();
  LogEvent(kLog, Severity::kInfo, "drain_started",
           {{"active", caller_server.ActiveRequests()},
            {"connections", caller_server.Connections()}});
  caller_server.CloseAfterResponses();
  asio::steady_timer timer(context.control);
  timer.expires_at(start + kDrainAcceptTime);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  context.refuses_requests = true;
  caller_server.StopAccepting();
  asio::post(context.traffic, [this] { caller_server.CloseIdle(); });
  co_await WaitUntilIdle(start + kDrainWaitTime);
  context.targets.StopWaiting();
  co_await WaitUntilIdle(start + kMaxDrainTime);
  const bool closed = co_await account_manager->Close();
  LogEvent(
      kLog, closed ? Severity::kInfo : Severity::kWarning, "drain_ended",
      {{"active", caller_server.ActiveRequests()}, {"account_closed", closed}});
  context.traffic.stop();
  context.control.stop();
}

Gateway::Gateway(GatewaySettings settings, GatewayDeployment deployment)
    : d_(std::make_unique<Private>(std::move(settings),
                                   std::move(deployment))) {}

Gateway::~Gateway() {
  d_->context.traffic.stop();
  if (d_->traffic_thread.joinable())
    d_->traffic_thread.join();
}

std::optional<bool> Gateway::Start(Reason* reason) {
  const GatewaySettings& settings = d_->context.settings;
  if (!d_->caller_server.Listen(settings.listen, reason) ||
      !d_->probe_server.Listen(settings.health_listen, reason) ||
      !d_->operator_server.Listen(settings.metrics_listen, reason) ||
      !d_->context.peers.Listen(reason))
    return std::nullopt;
  LogEvent(kLog, Severity::kInfo, "started",
           {{"failure_domain", settings.failure_domain},
            {"incarnation", d_->context.incarnation},
            {"callers", ToText(settings.listen)},
            {"store", ToText(settings.store)}});
  return true;
}

int Gateway::Run() {
  GatewayContext& context = d_->context;
  d_->traffic_thread = std::thread([&context] { context.traffic.run(); });
  asio::co_spawn(context.control, d_->WaitForSignals(), asio::detached);
  asio::co_spawn(context.control,
                 RunPeriodically(context.control, kCallLogInterval,
                                 [d = d_.get()] { d->LogStoreCalls(); }),
                 asio::detached);
  asio::co_spawn(context.control, d_->config_source->Run(), asio::detached);
  asio::co_spawn(context.control, d_->target_source->Run(), asio::detached);
  if (d_->evacuation_source) {
    asio::co_spawn(context.control, d_->evacuation_source->Run(),
                   asio::detached);
  }
  asio::co_spawn(context.control, d_->account_manager->Run(), asio::detached);
  asio::co_spawn(context.control, d_->quarantine_store->Run(), asio::detached);
  asio::co_spawn(context.control, context.quarantine.Run(), asio::detached);
  asio::co_spawn(context.control, context.rate_limits.Run(), asio::detached);
  asio::co_spawn(context.control, context.news.Run(), asio::detached);
  context.control.run();
  return d_->exit_code;
}

}  // namespace turmericwinch
