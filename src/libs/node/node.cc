#include "libs/node/node.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <csignal>
#include <cstdlib>
#include <thread>

#include "libs/base/digest.h"
#include "libs/base/log.h"
#include "libs/http/http_constants.h"
#include "libs/http/http_server.h"
#include "libs/node/caller_handler.h"
#include "libs/node/node_constants.h"
#include "libs/node/node_context.h"
#include "libs/node/operator_handler.h"
#include "libs/node/state_dump.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using WorkGuard = asio::executor_work_guard<asio::io_context::executor_type>;

constexpr LogCategory kLog{"node"};
constexpr std::size_t kIncarnationBytes = 6;
constexpr std::chrono::milliseconds kDrainPoll{20};
constexpr std::size_t kMaxOperatorConnections = 64;
constexpr int kExitNotClean = 1;

// Later incarnations of a host sort after earlier ones as long as the clock
// does not go back; uniqueness depends only on the random part.
std::string NewIncarnation() {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return std::to_string(seconds.count()) + "." + RandomHex(kIncarnationBytes);
}

}  // namespace

class Node::Private {
 public:
  explicit Private(NodeSettings settings) : signals(context.control) {
    context.settings = std::move(settings);
  }

  void BuildParts();
  // Tells the platform client how many hosts share the call rate.
  void UpdatePlatformShare();
  // Number of live entry hosts in the own failure domain, at least 1.
  int HostsInDomain() const;
  void StartShutdown();
  asio::awaitable<void> WaitForSignal();
  asio::awaitable<void> ShutDown();
  // Logs the state dump when a shutdown could not complete.
  void LogRemainingState();
  void Stop(int code);

  NodeContext context;
  std::vector<WorkGuard> guards;
  std::vector<std::thread> threads;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> operator_server;
  asio::signal_set signals;
  int exit_code = 0;
};

int Node::Private::HostsInDomain() const {
  const auto& hosts = context.host_list->list().hosts;
  const auto n =
      std::count_if(hosts.begin(), hosts.end(), [this](const ListedMember& it) {
        return it.failure_domain == context.settings.failure_domain &&
               !it.leaving;
      });
  return std::max(1, static_cast<int>(n));
}

void Node::Private::UpdatePlatformShare() {
  // During a network partition the list still includes the unreachable hosts,
  // which go on calling the platform.
  const std::size_t listed = context.targets_known
                                 ? context.host_list->list().hosts.size()
                                 : context.settings.fleet_hosts;
  context.platform->SetHosts(
      std::max(listed, context.fleet->UsableHostCount()));
}

void Node::Private::BuildParts() {
  const NodeSettings& settings = context.settings;
  context.incarnation = NewIncarnation();
  for (std::size_t n = 0; n < settings.traffic_threads; ++n) {
    context.traffic.push_back(std::make_unique<asio::io_context>(1));
    context.clients.push_back(
        std::make_unique<HttpClient>(*context.traffic.back()));
    guards.emplace_back(context.traffic.back()->get_executor());
  }
  context.targets =
      std::make_unique<SharedTargets>(settings.failure_domain, settings.host);
  context.ledger =
      std::make_unique<SharedLedger>(settings.host + "_" + context.incarnation);
  context.platform =
      std::make_unique<HttpPlatformClient>(context.control, settings.platform);
  context.platform->Limit(settings.platform_rates, settings.fleet_hosts);
  context.start_shutdown = [this] { StartShutdown(); };
  context.claims =
      std::make_unique<ClaimManager>(context.control, *context.platform);
  auto update_targets = [this] {
    std::shared_ptr<const ConfigSnapshot> config = context.config.Get();
    if (!config)
      return;
    context.targets->Update(context.host_list->list(), *config);
  };
  context.fleet = std::make_unique<FleetManager>(context.control, settings);
  context.quarantine = std::make_unique<QuarantineManager>(
      context.control, *context.platform, *context.fleet,
      settings.failure_domain);
  context.config_watcher = std::make_unique<ConfigWatcher>(
      *context.platform, *context.fleet, context.config, update_targets);
  context.fleet->SetFrameHandler([this](const PeerFrame& frame) {
    if (!context.quarantine->HandleFrame(frame) &&
        !context.budgets->HandleFrame(frame) &&
        !context.host_list->HandleFrame(frame))
      context.config_watcher->HandleFrame(frame);
  });
  context.fleet->SetPeerHandler(
      [this](const std::string& address, std::uint64_t generation) {
        context.config_watcher->HandlePeerGeneration(address, generation);
      });
  context.fleet->SetMemberChangeHandler([this] { UpdatePlatformShare(); });
  context.host_list =
      std::make_unique<HostListPoller>(*context.platform, *context.fleet,
                                       [this, update_targets](const HostList&) {
                                         context.targets_known = true;
                                         UpdatePlatformShare();
                                         update_targets();
                                       });
  BudgetManagerParts parts;
  parts.control = &context.control;
  parts.platform = context.platform.get();
  parts.config = &context.config;
  parts.ledger = context.ledger.get();
  parts.failure_domain = settings.failure_domain;
  parts.flush_interval = settings.flush_interval;
  parts.hosts_in_domain = [this] { return HostsInDomain(); };
  parts.fleet = context.fleet.get();
  context.budgets = std::make_unique<BudgetManager>(std::move(parts));
  context.ledger->SetGrantRequestHandler(
      [this] { context.budgets->RequestDraw(); });
}

void Node::Private::StartShutdown() {
  if (context.shutting_down.exchange(true))
    return;
  LogEvent(kLog, Severity::kInfo, "shutdown_started",
           {{"active", caller_server->ActiveRequests()}});
  asio::co_spawn(context.control, ShutDown(), asio::detached);
}

asio::awaitable<void> Node::Private::WaitForSignal() {
  co_await signals.async_wait(asio::use_awaitable);
  StartShutdown();
  co_await signals.async_wait(asio::use_awaitable);
  LogEvent(kLog, Severity::kWarning, "shutdown_cut_short",
           {{"active", caller_server->ActiveRequests()}});
  LogRemainingState();
  Stop(kExitNotClean);
}

asio::awaitable<void> Node::Private::ShutDown() {
  caller_server->StopAccepting();
  context.fleet->Leave();
  asio::steady_timer timer(context.control);
  const auto deadline = std::chrono::steady_clock::now() + kShutdownDeadline;
  bool flushed = false;
  while (std::chrono::steady_clock::now() < deadline) {
    if (caller_server->ActiveRequests() == 0 &&
        context.claims->Stats().unsettled == 0)
      flushed = co_await context.budgets->FlushAll();
    if (flushed)
      break;
    timer.expires_after(kDrainPoll);
    co_await timer.async_wait(asio::use_awaitable);
  }
  LogEvent(kLog, flushed ? Severity::kInfo : Severity::kError, "shutdown_done",
           {{"clean", flushed}, {"active", caller_server->ActiveRequests()}});
  if (!flushed)
    LogRemainingState();
  Stop(flushed ? 0 : kExitNotClean);
}

void Node::Private::LogRemainingState() {
  LogEvent(kLog, Severity::kError, "shutdown_state",
           {{"state", DumpState(context)}});
}

// Streams that are cut off still refer to parts of the node. An orderly
// destruction of both is of no use when the process ends, and could hang it.
void Node::Private::Stop(int code) {
  if (code != 0)
    std::_Exit(code);
  exit_code = code;
  for (auto& it : context.traffic)
    it->stop();
  context.control.stop();
}

Node::Node(NodeSettings settings)
    : d_(std::make_unique<Private>(std::move(settings))) {
  d_->BuildParts();
}

Node::~Node() {
  for (auto& it : d_->context.traffic)
    it->stop();
  for (std::thread& it : d_->threads)
    it.join();
}

std::optional<bool> Node::Start(Reason* reason) {
  NodeContext& context = d_->context;
  std::vector<asio::io_context*> traffic;
  for (auto& it : context.traffic)
    traffic.push_back(it.get());
  d_->caller_server = std::make_unique<HttpServer>(
      traffic, HttpServerLimits{kHttpMostBodyBytes, kMaxCallerConnections},
      MakeCallerHandler(context));
  d_->operator_server = std::make_unique<HttpServer>(
      std::vector<asio::io_context*>{&context.control},
      HttpServerLimits{kHttpMostBodyBytes, kMaxOperatorConnections},
      MakeOperatorHandler(context));
  auto callers = d_->caller_server->Listen(context.settings.listen, reason);
  if (!callers)
    return std::nullopt;
  auto operators =
      d_->operator_server->Listen(context.settings.operator_listen, reason);
  if (!operators)
    return std::nullopt;
  auto peers = context.fleet->Listen(reason);
  if (!peers)
    return std::nullopt;
  boost::system::error_code ec;
  d_->signals.add(SIGTERM, ec);
  d_->signals.add(SIGINT, ec);
  LogEvent(kLog, Severity::kInfo, "started",
           {{"failure_domain", context.settings.failure_domain},
            {"incarnation", context.incarnation},
            {"callers", ToText(*callers)},
            {"operators", ToText(*operators)},
            {"peers", ToText(*peers)}});
  return true;
}

int Node::Run() {
  NodeContext& context = d_->context;
  for (auto& it : context.traffic)
    d_->threads.emplace_back([&io = *it] { io.run(); });
  asio::co_spawn(context.control, d_->WaitForSignal(), asio::detached);
  asio::co_spawn(context.control, context.config_watcher->Run(),
                 asio::detached);
  asio::co_spawn(context.control, context.fleet->Run(), asio::detached);
  asio::co_spawn(context.control, context.host_list->Run(), asio::detached);
  asio::co_spawn(context.control, context.budgets->Run(), asio::detached);
  asio::co_spawn(context.control, context.claims->RunExpirySweep(),
                 asio::detached);
  asio::co_spawn(context.control, context.quarantine->Run(), asio::detached);
  context.control.run();
  return d_->exit_code;
}

}  // namespace turmericwinch
