#include "libs/gateway/peer_loans.h"

#include <boost/asio.hpp>

#include "libs/base/log.h"
#include "libs/budget/fleet_lender.h"
#include "libs/http/http_client.h"
#include "libs/peer/peer_network.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

constexpr LogCategory kLog{"loans"};

}  // namespace

class PeerLoans::Private : public std::enable_shared_from_this<Private> {
 public:
  Private(GatewayContext& context, FailHook on_failed);

  void OnFrame(const PeerFrame& frame);
  void Lend(const LoanAsk& ask);
  void Borrow(const LoanAnswer& answer);
  // Sends what is due, tells of what failed, and comes back when more is due.
  void Advance();
  asio::awaitable<void> AdvanceLater();

  GatewayContext& context;
  FailHook on_failed;
  std::string address;
  FleetLender lender;
  LoanSearch search;
  PeerNetwork network;
  asio::steady_timer timer;
  bool is_waiting = false;
};

PeerLoans::Private::Private(GatewayContext& context, FailHook on_failed)
    : context(context),
      on_failed(std::move(on_failed)),
      address(context.peer_address()),
      lender(context.ledger_holder(), address),
      search(context.ledger_holder(), address),
      network(context.control,
              context.settings.fleet_key,
              [this](const PeerFrame& frame) { OnFrame(frame); }),
      timer(context.control) {}

void PeerLoans::Private::OnFrame(const PeerFrame& frame) {
  if (const LoanAsk* ask = std::get_if<LoanAsk>(&frame))
    Lend(*ask);
  else if (const LoanAnswer* answer = std::get_if<LoanAnswer>(&frame))
    Borrow(*answer);
}

void PeerLoans::Private::Lend(const LoanAsk& ask) {
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
    network.Send(ask.reply_to, answer);
}

void PeerLoans::Private::Borrow(const LoanAnswer& answer) {
  std::vector<std::string> lent;
  context.ledger.With([&](HostLedger& ledger) {
    lent = search.Take(answer, ledger, Clock::now());
  });
  for (const std::string& it : lent)
    context.ledger.Lent(it);
  Advance();
}

void PeerLoans::Private::Advance() {
  std::vector<OutgoingAsk> asks;
  context.ledger.With(
      [&](HostLedger& ledger) { asks = search.Due(ledger, Clock::now()); });
  for (const OutgoingAsk& it : asks)
    network.Send(it.address, it.ask);
  for (const FailedLoan& it : search.TakeFailed()) {
    LogEvent(kLog, Severity::kInfo, "no_lender",
             {{"budget", it.budget},
              {"needed", it.smallest},
              {"code", static_cast<int>(it.reason.code)}});
    on_failed(it);
  }
  if (search.NextDue() && !std::exchange(is_waiting, true))
    asio::co_spawn(context.control, AdvanceLater(), asio::detached);
}

asio::awaitable<void> PeerLoans::Private::AdvanceLater() {
  auto keep = shared_from_this();
  while (const std::optional<MonotonicTime> next = search.NextDue()) {
    timer.expires_at(*next);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    Advance();
  }
  is_waiting = false;
}

PeerLoans::PeerLoans(GatewayContext& context, FailHook on_failed)
    : d_(std::make_shared<Private>(context, std::move(on_failed))) {}

PeerLoans::~PeerLoans() = default;

std::optional<bool> PeerLoans::Listen(Reason* reason) {
  if (!enabled())
    return true;
  if (!d_->network.Listen(d_->context.settings.peer_listen, reason))
    return std::nullopt;
  return true;
}

bool PeerLoans::enabled() const {
  return !d_->address.empty();
}

void PeerLoans::Ask(const GrantWish& wish,
                    const FleetAccount& account,
                    const Reason& reason) {
  d_->search.Start(wish,
                   LendersOf(account, wish.budget, d_->context.ledger_holder()),
                   reason, Clock::now());
  d_->Advance();
}

void PeerLoans::ReturnAll(const FleetAccount& account) {
  const std::string holder = d_->context.ledger_holder();
  std::map<std::string, LoanAsk> reports;
  d_->context.ledger.With([&](HostLedger& ledger) {
    for (const std::string& lender : ledger.Lenders()) {
      ledger.ReturnLoans(lender);
      LoanAsk report{holder, lender, d_->address, {}};
      for (const auto& [budget, totals] : ledger.UnreportedLoans(lender))
        report.wishes.push_back({budget, 0, 0, 0, totals});
      auto mark = account.marks.find(lender);
      if (!report.wishes.empty() && mark != account.marks.end())
        reports[mark->second.address] = std::move(report);
    }
  });
  for (const auto& [address, report] : reports)
    d_->network.Send(address, report);
}

}  // namespace turmericwinch
