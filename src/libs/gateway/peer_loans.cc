#include "libs/gateway/peer_loans.h"

#include <boost/asio.hpp>

#include "libs/base/log.h"
#include "libs/budget/fleet_lender.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

constexpr LogCategory kLog{"loans"};

}  // namespace

class PeerLoans::Private : public std::enable_shared_from_this<Private> {
 public:
  Private(GatewayContext& context, FailureHandler on_failure);

  // Returns whether the frame was a loan request or a loan response.
  bool HandleFrame(const PeerFrame& frame);
  void HandleLoanRequest(const LoanRequest& request);
  void HandleLoanResponse(const LoanResponse& response);
  // Sends the due loan requests, reports failed searches, and schedules the
  // next call.
  void SendDueRequests();
  // Calls SendDueRequests() at each due time until no search is running.
  asio::awaitable<void> SendDueRequestsLater();

  GatewayContext& context;
  FailureHandler on_failure;
  FleetLender lender;
  LoanSearch search;
  asio::steady_timer timer;
  bool is_scheduled = false;
};

PeerLoans::Private::Private(GatewayContext& context, FailureHandler on_failure)
    : context(context),
      on_failure(std::move(on_failure)),
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

void PeerLoans::Private::HandleLoanRequest(const LoanRequest& request) {
  LoanResponse response;
  context.ledger.With([&](HostLedger& ledger) {
    response = lender.HandleRequest(request, ledger, Clock::now());
  });
  for (std::size_t n = 0; n < response.grants.size(); ++n) {
    LogEvent(kLog, Severity::kInfo, "lent",
             {{"budget", response.grants[n].budget},
              {"borrower", request.borrower},
              {"needed", request.items[n].needed},
              {"lent", response.grants[n].lent},
              {"short", response.grants[n].outcome == LoanOutcome::kShort}});
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
             {{"budget", it.budget},
              {"needed", it.smallest},
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

PeerLoans::PeerLoans(GatewayContext& context, FailureHandler on_failure)
    : d_(std::make_shared<Private>(context, std::move(on_failure))) {
  context.peers.AddHandler(
      [d = d_](const PeerFrame& frame) { return d->HandleFrame(frame); });
}

PeerLoans::~PeerLoans() = default;

void PeerLoans::RequestLoan(const GrantRequest& request,
                            const FleetAccount& account,
                            const Reason& reason) {
  d_->search.Start(
      request,
      FindLenders(account, request.budget, d_->context.ledger_holder()), reason,
      Clock::now());
  d_->SendDueRequests();
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
