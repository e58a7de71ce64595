#include "libs/gateway/peer_loans.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "libs/base/log.h"
#include "libs/budget/fleet_lender.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

constexpr LogCategory kLog{"loans"};
// Maximum number of loan requests that wait for a draw.
constexpr std::size_t kMaxDeferredRequests = 256;

// A loan request that waits for a draw.
struct DeferredRequest {
  LoanRequest request;
  bool has_waited = false;
};

bool IsShort(const LoanResponse& response) {
  return std::any_of(
      response.grants.begin(), response.grants.end(),
      [](const LoanGrant& it) { return it.outcome == LoanOutcome::kShort; });
}

}  // namespace

class PeerLoans::Private : public std::enable_shared_from_this<Private> {
 public:
  Private(GatewayContext& context,
          FailureHandler on_failure,
          DrawHandler on_short);

  // Returns whether the frame was a loan request or a loan response.
  bool HandleFrame(const PeerFrame& frame);
  void HandleLoanRequest(const LoanRequest& request);
  LoanResponse Lend(const LoanRequest& request);
  void SendResponse(const LoanRequest& request, const LoanResponse& response);
  // Returns whether this host draws the tokens that `response` lacks.
  bool Defer(const LoanRequest& request, const LoanResponse& response);
  void HandleLoanResponse(const LoanResponse& response);
  // Sends the due loan requests, reports failed searches, and schedules the
  // next call.
  void SendDueRequests();
  // Calls SendDueRequests() at each due time until no search is running.
  asio::awaitable<void> SendDueRequestsLater();

  GatewayContext& context;
  FailureHandler on_failure;
  DrawHandler on_short;
  std::vector<DeferredRequest> deferred;
  FleetLender lender;
  LoanSearch search;
  asio::steady_timer timer;
  bool is_scheduled = false;
};

PeerLoans::Private::Private(GatewayContext& context,
                            FailureHandler on_failure,
                            DrawHandler on_short)
    : context(context),
      on_failure(std::move(on_failure)),
      on_short(std::move(on_short)),
      lender(context.ledger_holder(), context.peers.address()),
      search(context.ledger_holder(), context.peers.address()),
      timer(context.control) {}

bool PeerLoans::Private::HandleFrame(const PeerFrame& frame) {
  const auto* request = std::get_if<LoanRequest>(&frame);
  const auto* response = std::get_if<LoanResponse>(&frame);
  if (request)
    HandleLoanRequest(*request);
  else if (response)
    HandleLoanResponse(*response);
  return request || response;
}

LoanResponse PeerLoans::Private::Lend(const LoanRequest& request) {
  LoanResponse response;
  context.ledger.With([&](HostLedger& ledger) {
    response = lender.HandleRequest(request, ledger, Clock::now());
  });
  return response;
}

bool PeerLoans::Private::Defer(const LoanRequest& request,
                               const LoanResponse& response) {
  if (!IsShort(response) || deferred.size() >= kMaxDeferredRequests)
    return false;
  for (std::size_t n = 0; n < response.grants.size(); ++n) {
    if (response.grants[n].outcome == LoanOutcome::kShort &&
        !on_short(request.items[n]))
      return false;
  }
  deferred.push_back({request, false});
  return true;
}

void PeerLoans::Private::HandleLoanRequest(const LoanRequest& request) {
  LoanResponse response = Lend(request);
  if (Defer(request, response)) {
    for (LoanGrant& it : response.grants) {
      if (it.outcome == LoanOutcome::kShort)
        it.outcome = LoanOutcome::kDrawing;
    }
  }
  SendResponse(request, response);
}

void PeerLoans::Private::SendResponse(const LoanRequest& request,
                                      const LoanResponse& response) {
  for (std::size_t n = 0; n < response.grants.size(); ++n) {
    LogEvent(
        kLog, Severity::kInfo, "lent",
        {{"budget", response.grants[n].budget},
         {"borrower", request.borrower},
         {"needed", request.items[n].needed},
         {"lent", response.grants[n].lent},
         {"short", response.grants[n].outcome == LoanOutcome::kShort},
         {"drawing", response.grants[n].outcome == LoanOutcome::kDrawing}});
  }
  if (!response.grants.empty())
    context.peers.Send(request.reply_to, response);
}

void PeerLoans::Private::HandleLoanResponse(const LoanResponse& response) {
  std::vector<std::string> lent;
  context.ledger.With([&](HostLedger& ledger) {
    lent = search.HandleResponse(response, ledger, Clock::now());
  });
  for (const std::string& it : lent)
    context.ledger.NotifyLoan(it);
  SendDueRequests();
}

void PeerLoans::Private::SendDueRequests() {
  std::vector<OutgoingLoanRequest> requests;
  context.ledger.With([&](HostLedger& ledger) {
    requests = search.DueRequests(ledger, Clock::now());
  });
  for (const OutgoingLoanRequest& it : requests)
    context.peers.Send(it.address, it.request);
  for (const FailedLoanSearch& it : search.TakeFailed()) {
    LogEvent(kLog, Severity::kInfo, "no_lender",
             {{"budget", it.request.budget},
              {"scope", it.scope == LoanScope::kDomain ? "domain" : "fleet"},
              {"needed", it.request.smallest},
              {"code", static_cast<int>(it.reason.code)}});
    on_failure(it);
  }
  if (search.NextDueTime() && !std::exchange(is_scheduled, true))
    asio::co_spawn(context.control, SendDueRequestsLater(), asio::detached);
}

asio::awaitable<void> PeerLoans::Private::SendDueRequestsLater() {
  auto self = shared_from_this();
  while (const std::optional<MonotonicTime> next = search.NextDueTime()) {
    timer.expires_at(*next);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    SendDueRequests();
  }
  is_scheduled = false;
}

PeerLoans::PeerLoans(GatewayContext& context,
                     FailureHandler on_failure,
                     DrawHandler on_short)
    : d_(std::make_shared<Private>(context,
                                   std::move(on_failure),
                                   std::move(on_short))) {
  context.peers.AddHandler(
      [d = d_](const PeerFrame& frame) { return d->HandleFrame(frame); });
}

PeerLoans::~PeerLoans() = default;

void PeerLoans::RequestLoan(const GrantRequest& request,
                            LoanScope scope,
                            std::vector<LenderEndpoint> lenders,
                            const Reason& reason) {
  d_->search.Start(request, scope, std::move(lenders), reason, Clock::now());
  d_->SendDueRequests();
}

std::map<std::string, std::vector<std::int64_t>> PeerLoans::DeferredSizes()
    const {
  std::map<std::string, std::vector<std::int64_t>> sizes;
  for (const DeferredRequest& deferred : d_->deferred) {
    for (const LoanRequestItem& it : deferred.request.items) {
      // A loan covers either the smallest request of the borrower or all.
      sizes[it.budget].push_back(it.smallest);
      if (it.needed > it.smallest)
        sizes[it.budget].push_back(it.needed - it.smallest);
    }
  }
  return sizes;
}

void PeerLoans::AnswerDeferred(bool draws_again) {
  for (DeferredRequest& it : std::exchange(d_->deferred, {})) {
    const LoanResponse response = d_->Lend(it.request);
    if (draws_again && !it.has_waited && IsShort(response)) {
      d_->deferred.push_back({std::move(it.request), true});
      continue;
    }
    d_->SendResponse(it.request, response);
  }
}

void PeerLoans::ReturnAll(const FleetAccount& account) {
  const std::string holder = d_->context.ledger_holder();
  std::map<std::string, LoanRequest> reports;
  d_->context.ledger.With([&](HostLedger& ledger) {
    for (const std::string& lender : ledger.Lenders()) {
      ledger.ReturnLoans(lender);
      LoanRequest report{holder, lender, d_->context.peers.address(), {}};
      for (const auto& [budget, totals] : ledger.UnreportedLoans(lender))
        report.items.push_back({budget, 0, 0, 0, totals});
      auto heartbeat = account.heartbeats.find(lender);
      if (!report.items.empty() && heartbeat != account.heartbeats.end())
        reports[heartbeat->second.address] = std::move(report);
    }
  });
  for (const auto& [address, report] : reports)
    d_->context.peers.Send(address, report);
}

}  // namespace turmericwinch
