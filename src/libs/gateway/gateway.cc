#include "libs/gateway/gateway.h"

#include <boost/asio.hpp>
#include <csignal>
#include <thread>

#include "libs/base/log.h"
#include "libs/gateway/account_keeper.h"
#include "libs/gateway/gateway_call_runner.h"
#include "libs/gateway/gateway_context.h"
#include "libs/gateway/gateway_state.h"
#include "libs/gateway/target_source.h"

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
  Private(GatewaySettings settings, GatewayDeployment given);

  bool IsReady() const {
    return context.config.Get() && context.targets_known && !context.draining;
  }
  void TakeConfig(std::shared_ptr<const GatewayConfig> config);
  void TakeTargets(const HostList& list);
  void UpdateTargets();
  // On the control thread.
  GatewayFigures Figures() const;
  asio::awaitable<void> AnswerProbe(HttpExchange& exchange);
  asio::awaitable<void> AnswerOperator(const HttpRequest& request,
                                       HttpExchange& exchange);
  asio::awaitable<void> WaitForSignals();
  asio::awaitable<void> Drain();

  GatewayContext context;
  GatewayDeployment deployment;
  WorkGuard traffic_guard;
  std::unique_ptr<PlatformClient> store;
  std::unique_ptr<ConfigSource> config_source;
  std::unique_ptr<TargetSource> target_source;
  std::unique_ptr<AccountKeeper> account;
  HttpServer callers;
  HttpServer probes;
  HttpServer operators;
  asio::signal_set signals;
  std::thread traffic_thread;
  HostList list;
  int exit_code = 0;
};

Gateway::Private::Private(GatewaySettings settings, GatewayDeployment given)
    : context(std::move(settings), given.dialect),
      deployment(std::move(given)),
      traffic_guard(context.traffic.get_executor()),
      store(deployment.make_store(context.control, context.settings)),
      config_source(std::make_unique<ConfigSource>(
          *store,
          deployment.config_name,
          deployment.decode_config,
          [this](auto config) { TakeConfig(std::move(config)); })),
      target_source(std::make_unique<TargetSource>(
          *store,
          [this](const HostList& targets) { TakeTargets(targets); })),
      account(std::make_unique<AccountKeeper>(context, *store)),
      callers({&context.traffic},
              {kHttpMostBodyBytes, kMostCallers},
              [this](const HttpRequest& request, HttpExchange& exchange) {
                return RunGatewayCall(context, request, exchange);
              }),
      probes({&context.traffic},
             {kHttpMostBodyBytes, kMostProbes},
             [this](const HttpRequest&, HttpExchange& exchange) {
               return AnswerProbe(exchange);
             }),
      operators({&context.control},
                {kHttpMostBodyBytes, kMostProbes},
                [this](const HttpRequest& request, HttpExchange& exchange) {
                  return AnswerOperator(request, exchange);
                }),
      signals(context.control, SIGTERM, SIGINT, SIGHUP) {
  context.ledger.SetGrantRequestHandler([this] { account->Wake(); });
}

void Gateway::Private::TakeConfig(std::shared_ptr<const GatewayConfig> config) {
  HttpServerLimits limits = config->limits;
  limits.most_connections = kMostCallers;
  callers.SetLimits(limits);
  context.config.Set(std::move(config));
  UpdateTargets();
  account->Wake();
}

void Gateway::Private::TakeTargets(const HostList& targets) {
  list = targets;
  context.targets_known = true;
  context.quarantine.OnTargets(list);
  UpdateTargets();
}

void Gateway::Private::UpdateTargets() {
  if (std::shared_ptr<const GatewayConfig> config = context.config.Get())
    context.targets.Update(list, *config->objects);
}

GatewayFigures Gateway::Private::Figures() const {
  const Clock::time_point now = Clock::now();
  const auto age = [now](Clock::time_point then) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - then);
  };
  GatewayFigures figures;
  figures.is_ready = IsReady();
  figures.callers = callers.Connections();
  figures.active_requests = callers.ActiveRequests();
  figures.listed_targets = list.targets.size();
  figures.account_age = age(account->synced_at());
  figures.targets_age = age(target_source->heard_at());
  return figures;
}

asio::awaitable<void> Gateway::Private::AnswerProbe(HttpExchange& exchange) {
  HttpResponse response;
  response.status = IsReady() ? kStatusOk : kStatusUnavailable;
  co_await exchange.Send(response);
}

asio::awaitable<void> Gateway::Private::AnswerOperator(
    const HttpRequest& request,
    HttpExchange& exchange) {
  HttpResponse response;
  if (PathOf(request.target) == kMetricsPath)
    response.body = MetricsText(context, Figures());
  else if (PathOf(request.target) == kStatePath)
    response = JsonResponse(kStatusOk, StateText(context, Figures()));
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
               {{"outcome", "settings are read at the start only"}});
      continue;
    }
    if (!context.draining.exchange(true))
      asio::co_spawn(context.control, Drain(), asio::detached);
  }
}

asio::awaitable<void> Gateway::Private::Drain() {
  const Clock::time_point start = Clock::now();
  LogEvent(kLog, Severity::kInfo, "drain_started",
           {{"active", callers.ActiveRequests()},
            {"connections", callers.Connections()}});
  callers.CloseAfterResponses();
  asio::steady_timer timer(context.control);
  timer.expires_at(start + kDrainAccept);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  callers.StopAccepting();
  asio::post(context.traffic, [this] { callers.CloseIdle(); });
  while (callers.ActiveRequests() > 0 && Clock::now() < start + kDrainMost) {
    timer.expires_after(kDrainPollPause);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  const bool closed = co_await account->Close();
  LogEvent(kLog, closed ? Severity::kInfo : Severity::kWarning, "drain_ended",
           {{"active", callers.ActiveRequests()}, {"account_closed", closed}});
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
  if (!d_->callers.Listen(settings.listen, reason) ||
      !d_->probes.Listen(settings.health_listen, reason) ||
      !d_->operators.Listen(settings.metrics_listen, reason) ||
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
  asio::co_spawn(context.control, d_->config_source->Run(), asio::detached);
  asio::co_spawn(context.control, d_->target_source->Run(), asio::detached);
  asio::co_spawn(context.control, d_->account->Run(), asio::detached);
  context.control.run();
  return d_->exit_code;
}

}  // namespace turmericwinch
