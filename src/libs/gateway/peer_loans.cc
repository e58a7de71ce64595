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
  void HandleLoanRequest(const LoanAsk& ask);
  void HandleLoanResponse(const LoanAnswer& answer);
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
  const auto* ask = std::get_if<LoanAsk>(&frame);
  const auto* answer = std::get_if<LoanAnswer>(&frame);
  if (ask)
    HandleLoanRequest(*ask);
  else if (answer)
    HandleLoanResponse(*answer);
  return ask || answer;
}

void PeerLoans::Private::HandleLoanRequest(const LoanAsk& ask) {
  LoanAnswer answer;
  context.ledger.With([&](HostLedger& ledger) {
    answer = lender.Take(ask, ledger, Clock::now());
  });
  for (std::size_t n = 0; n < answer.grants.size(); ++n) {
    LogEvent(kLog, Severity::kInfo, "lent",
             {{"budget", answer.grants[n].budget},
              {"borrower", ask.borrower},
              {"needed", ask.wishes[n].needed},
              {"lent", answer.grants[n].lent},
              {"short", answer.grants[n].outcome == LoanOutcome::kShort}});
  }
  if (!answer.grants.empty())
    context.peers.Send(ask.reply_to, answer);
}

void PeerLoans::Private::HandleLoanResponse(const LoanAnswer& answer) {
  std::vector<std::string> lent;
  context.ledger.With([&](HostLedger& ledger) {
    lent = search.Take(answer, ledger, Clock::now());
  });
  for (const std::string& it : lent)
    context.ledger.Lent(it);
  SendDueRequests();
}

void PeerLoans::Private::SendDueRequests() {
  std::vector<OutgoingAsk> asks;
  context.ledger.With(
      [&](HostLedger& ledger) { asks = search.Due(ledger, Clock::now()); });
  for (const OutgoingAsk& it : asks)
    context.peers.Send(it.address, it.ask);
  for (const FailedLoan& it : search.TakeFailed()) {
    LogEvent(kLog, Severity::kInfo, "no_lender",
             {{"budget", it.budget},
              {"needed", it.smallest},
              {"code", static_cast<int>(it.reason.code)}});
    on_failure(it);
  }
  if (search.NextDue() && !std::exchange(is_scheduled, true))
    asio::co_spawn(context.control, SendDueRequestsLater(), asio::detached);
}

asio::awaitable<void> PeerLoans::Private::SendDueRequestsLater() {
  auto self = shared_from_this();
  while (const std::optional<MonotonicTime> next = search.NextDue()) {
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
      request, LendersOf(account, request.budget, d_->context.ledger_holder()),
      reason, Clock::now());
  d_->SendDueRequests();
}

void PeerLoans::ReturnAll(const FleetAccount& account) {
  const std::string holder = d_->context.ledger_holder();
  std::map<std::string, LoanAsk> reports;
  d_->context.ledger.With([&](HostLedger& ledger) {
    for (const std::string& lender : ledger.Lenders()) {
      ledger.ReturnLoans(lender);
      LoanAsk report{holder, lender, d_->context.peers.address(), {}};
      for (const auto& [budget, totals] : ledger.UnreportedLoans(lender))
        report.wishes.push_back({budget, 0, 0, 0, totals});
      auto mark = account.marks.find(lender);
      if (!report.wishes.empty() && mark != account.marks.end())
        reports[mark->second.address] = std::move(report);
    }
  });
  for (const auto& [address, report] : reports)
    d_->context.peers.Send(address, report);
}

}  // namespace turmericwinch
