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
  Private(GatewayContext& context, FailHook on_failed);

  // Whether the frame is about loans.
  bool Receive(const PeerFrame& frame);
  void Lend(const LoanRequest& ask);
  void Borrow(const LoanResponse& answer);
  // Sends what is due, tells of what failed, and comes back when more is due.
  void Advance();
  asio::awaitable<void> AdvanceLater();

  GatewayContext& context;
  FailHook on_failed;
  FleetLender lender;
  LoanSearch search;
  asio::steady_timer timer;
  bool is_waiting = false;
};

PeerLoans::Private::Private(GatewayContext& context, FailHook on_failed)
    : context(context),
      on_failed(std::move(on_failed)),
      lender(context.ledger_holder(), context.peers.address()),
      search(context.ledger_holder(), context.peers.address()),
      timer(context.control) {}

bool PeerLoans::Private::Receive(const PeerFrame& frame) {
  const auto* ask = std::get_if<LoanRequest>(&frame);
  const auto* answer = std::get_if<LoanResponse>(&frame);
  if (ask)
    Lend(*ask);
  else if (answer)
    Borrow(*answer);
  return ask || answer;
}

void PeerLoans::Private::Lend(const LoanRequest& ask) {
  LoanResponse answer;
  context.ledger.With([&](HostLedger& ledger) {
    answer = lender.HandleRequest(ask, ledger, Clock::now());
  });
  for (std::size_t n = 0; n < answer.grants.size(); ++n) {
    LogEvent(kLog, Severity::kInfo, "lent",
             {{"budget", answer.grants[n].budget},
              {"borrower", ask.borrower},
              {"needed", ask.items[n].needed},
              {"lent", answer.grants[n].lent},
              {"short", answer.grants[n].outcome == LoanOutcome::kShort}});
  }
  if (!answer.grants.empty())
    context.peers.Send(ask.reply_to, answer);
}

void PeerLoans::Private::Borrow(const LoanResponse& answer) {
  std::vector<std::string> lent;
  context.ledger.With([&](HostLedger& ledger) {
    lent = search.HandleResponse(answer, ledger, Clock::now());
  });
  for (const std::string& it : lent)
    context.ledger.NotifyLoan(it);
  Advance();
}

void PeerLoans::Private::Advance() {
  std::vector<OutgoingLoanRequest> asks;
  context.ledger.With([&](HostLedger& ledger) {
    asks = search.DueRequests(ledger, Clock::now());
  });
  for (const OutgoingLoanRequest& it : asks)
    context.peers.Send(it.address, it.request);
  for (const FailedLoanSearch& it : search.TakeFailed()) {
    LogEvent(kLog, Severity::kInfo, "no_lender",
             {{"budget", it.budget},
              {"needed", it.smallest},
              {"code", static_cast<int>(it.reason.code)}});
    on_failed(it);
  }
  if (search.NextDueTime() && !std::exchange(is_waiting, true))
    asio::co_spawn(context.control, AdvanceLater(), asio::detached);
}

asio::awaitable<void> PeerLoans::Private::AdvanceLater() {
  auto keep = shared_from_this();
  while (const std::optional<MonotonicTime> next = search.NextDueTime()) {
    timer.expires_at(*next);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    Advance();
  }
  is_waiting = false;
}

PeerLoans::PeerLoans(GatewayContext& context, FailHook on_failed)
    : d_(std::make_shared<Private>(context, std::move(on_failed))) {
  context.peers.AddHandler(
      [d = d_](const PeerFrame& frame) { return d->Receive(frame); });
}

PeerLoans::~PeerLoans() = default;

void PeerLoans::Ask(const GrantRequest& wish,
                    const FleetAccount& account,
                    const Reason& reason) {
  d_->search.Start(
      wish, FindLenders(account, wish.budget, d_->context.ledger_holder()),
      reason, Clock::now());
  d_->Advance();
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
