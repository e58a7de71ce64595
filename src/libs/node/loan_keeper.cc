#include "libs/node/loan_keeper.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <random>
#include <utility>

#include "libs/base/log.h"
#include "libs/budget/borrower.h"
#include "libs/budget/budget_account.h"
#include "libs/budget/holder_closing.h"
#include "libs/node/node_constants.h"
#include "libs/platform/platform_caller.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using Clock = std::chrono::steady_clock;

constexpr LogCategory kLog{"node"};
constexpr char kClosingDuty[] = "budget-closing";

std::string DutyOf(std::uint64_t bucket) {
  return "budget-bucket-" + std::to_string(bucket);
}

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

class LoanKeeper::Private
    : public std::enable_shared_from_this<LoanKeeper::Private> {
 public:
  explicit Private(LoanKeeperParts parts);

  // Address of the host that answers for `bucket`; empty if this one does.
  std::string LenderOf(std::uint64_t bucket) const;
  void SendDue();
  void StartAsking();
  asio::awaitable<void> RepeatAsks();
  void Send(const std::vector<OutgoingLoanRequest>& asks);
  void Send(const std::vector<OutgoingLoanResponse>& answers);
  void TakeAsk(const LoanRequest& ask);
  void TakeAnswer(const LoanResponse& answer);
  void DrawFor(const GrantRequests& wishes);

  LoanKeeperParts parts;
  Lender lender;
  Borrower borrower;
  HolderClosing closing;
  bool asking = false;
  bool looking = false;
  std::mt19937_64 random{std::random_device{}()};
};

LoanKeeper::Private::Private(LoanKeeperParts given)
    : parts(std::move(given)),
      lender({parts.holder, [this] { return parts.fleet->address(); },
              parts.hosts_in_domain, parts.reserve_percent_of}),
      borrower(parts.holder, [this] { return parts.fleet->address(); }),
      closing({parts.failure_domain, parts.holder, &lender}) {}

LoanKeeper::LoanKeeper(LoanKeeperParts parts)
    : d_(std::make_shared<Private>(std::move(parts))) {}

LoanKeeper::~LoanKeeper() = default;

bool LoanKeeper::enabled() const {
  return d_->parts.fleet->enabled();
}

Lender* LoanKeeper::lender() {
  return enabled() ? &d_->lender : nullptr;
}

std::string LoanKeeper::Private::LenderOf(std::uint64_t bucket) const {
  const std::vector<std::string> addresses =
      parts.fleet->HolderAddresses(DutyOf(bucket), 1);
  return addresses.empty() ? "" : addresses.front();
}

std::vector<GrantRequest> LoanKeeper::Ask(std::vector<GrantRequest> wishes) {
  std::vector<GrantRequest> direct;
  const MonotonicTime now = Clock::now();
  for (GrantRequest& it : wishes) {
    const std::string address = d_->LenderOf(BucketOf(it.budget));
    if (address.empty() || d_->borrower.IsUnresponsive(address, now))
      direct.push_back(std::move(it));
    else
      d_->borrower.AddRequest(address, it, now);
  }
  d_->SendDue();
  d_->StartAsking();
  return direct;
}

void LoanKeeper::Private::Send(const std::vector<OutgoingLoanRequest>& asks) {
  for (const OutgoingLoanRequest& it : asks)
    parts.fleet->Send(it.address, it.request);
}

void LoanKeeper::Private::Send(
    const std::vector<OutgoingLoanResponse>& answers) {
  for (const OutgoingLoanResponse& it : answers) {
    if (!it.address.empty() && !it.response.grants.empty())
      parts.fleet->Send(it.address, it.response);
  }
}

void LoanKeeper::Private::SendDue() {
  std::vector<OutgoingLoanRequest> due;
  parts.ledger->With([&](HostLedger& ledger) {
    due = borrower.DueRequests(ledger, Clock::now());
  });
  Send(due);
}

void LoanKeeper::Private::StartAsking() {
  if (std::exchange(asking, true))
    return;
  asio::co_spawn(*parts.control, RepeatAsks(), asio::detached);
}

// Frames are not acknowledged: asks are repeated until an answer comes or the
// patience ends, and this host draws for itself.
asio::awaitable<void> LoanKeeper::Private::RepeatAsks() {
  auto self = shared_from_this();
  asio::steady_timer timer(*parts.control);
  while (borrower.HasPendingRequests()) {
    timer.expires_after(kLoanRequestCheckInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    DrawFor(borrower.TakeExpired(Clock::now()));
    SendDue();
  }
  asking = false;
}

void LoanKeeper::Private::DrawFor(const GrantRequests& wishes) {
  std::vector<GrantRequest> direct;
  for (const auto& [name, it] : wishes)
    direct.push_back(it);
  if (!direct.empty())
    parts.draw(std::move(direct));
}

bool LoanKeeper::Receive(const PeerFrame& frame) {
  if (const auto* ask = std::get_if<LoanRequest>(&frame)) {
    d_->TakeAsk(*ask);
    return true;
  }
  if (const auto* answer = std::get_if<LoanResponse>(&frame)) {
    d_->TakeAnswer(*answer);
    return true;
  }
  return false;
}

void LoanKeeper::Private::TakeAsk(const LoanRequest& ask) {
  OutgoingLoanResponse outgoing;
  std::set<std::uint64_t> buckets;
  parts.ledger->With([&](HostLedger& ledger) {
    outgoing = lender.HandleRequest(ask, ledger, Clock::now());
  });
  for (const LoanGrant& it : outgoing.response.grants) {
    if (it.outcome == LoanOutcome::kDrawing)
      buckets.insert(BucketOf(it.budget));
  }
  Send(std::vector<OutgoingLoanResponse>{std::move(outgoing)});
  for (std::uint64_t it : buckets)
    parts.draw_for_borrowers(it);
}

void LoanKeeper::Private::TakeAnswer(const LoanResponse& answer) {
  LoanResult result;
  parts.ledger->With([&](HostLedger& ledger) {
    result = borrower.HandleResponse(answer, ledger);
  });
  for (const std::string& it : result.lent)
    parts.ledger->Lent(it);
  for (const auto& [name, wish] : result.short_of_tokens) {
    parts.ledger->Deny(name, wish.smallest,
                       {ResultCode::kBudgetExhausted,
                        "budget " + name + " has too few tokens left"});
  }
  DrawFor(result.direct);
}

bool LoanKeeper::AddWishes(std::uint64_t bucket, GrantRequests& wishes) {
  if (!enabled())
    return false;
  std::vector<GrantRequest> wanted;
  d_->parts.ledger->With([&](HostLedger& ledger) {
    wanted = d_->lender.PendingGrantRequests(ledger, Clock::now());
  });
  bool needed = d_->lender.BucketsToList().contains(bucket);
  for (GrantRequest& it : wanted) {
    if (BucketOf(it.budget) != bucket)
      continue;
    needed = true;
    auto [own, added] = wishes.emplace(it.budget, it);
    if (added)
      continue;
    own->second.needed = AddSaturated(own->second.needed, it.needed);
    own->second.smallest = std::min(own->second.smallest, it.smallest);
    own->second.lent_rate = it.lent_rate;
  }
  return needed;
}

void LoanKeeper::TurnOver(std::uint64_t bucket, const SyncResult& result) {
  if (!enabled())
    return;
  std::vector<OutgoingLoanResponse> answers;
  const auto add = [&](std::vector<OutgoingLoanResponse> more) {
    std::move(more.begin(), more.end(), std::back_inserter(answers));
  };
  d_->parts.ledger->With([&](HostLedger& ledger) {
    add(d_->lender.RetryPending(ledger, Clock::now()));
    for (const auto& [name, wish] : result.short_of_tokens) {
      if (result.complete)
        add(d_->lender.DenyShort(name, ledger));
    }
  });
  const bool failed = result.reason.code != ResultCode::kOk;
  if (failed || (!result.complete && !result.short_of_tokens.empty()))
    add(d_->lender.DenyUnreachable(bucket));
  d_->Send(answers);
}

void LoanKeeper::Stop() {
  d_->lender.StopLending();
}

void LoanKeeper::Report() {
  if (!enabled())
    return;
  std::vector<OutgoingLoanRequest> reports;
  d_->parts.ledger->With([&](HostLedger& ledger) {
    for (const std::string& it : ledger.Lenders()) {
      if (d_->parts.fleet->HasLeft(d_->borrower.AddressOf(it)))
        ledger.ReturnLoans(it);
    }
    reports = d_->borrower.PendingReports(ledger);
  });
  d_->Send(reports);
  d_->Send(d_->lender.UnacknowledgedLoans());
}

bool LoanKeeper::IsReported() {
  bool reported = true;
  d_->parts.ledger->With([&](HostLedger& ledger) {
    reported = d_->borrower.PendingReports(ledger).empty();
  });
  return reported;
}

asio::awaitable<bool> LoanKeeper::LookForEnds(bool ends) {
  auto d = d_;
  if (std::exchange(d->looking, true))
    co_return false;
  std::set<std::string> ending;
  if (ends)
    ending.insert(d->parts.holder);
  d->closing.BeginRound(std::move(ending),
                        ends || d->parts.fleet->Holds(kClosingDuty, 1),
                        NowMs());
  for (;;) {
    std::optional<PlatformCall> call;
    d->parts.ledger->With(
        [&](HostLedger& ledger) { call = d->closing.NextCall(&ledger); });
    if (!call)
      break;
    PlatformAnswer answer = co_await MakeCall(
        *d->parts.platform, PlatformDuty::kBudget, std::move(*call));
    d->parts.ledger->With(
        [&](HostLedger& ledger) { d->closing.HandleAnswer(answer, &ledger); });
  }
  d->looking = false;
  const HolderClosingResult& result = d->closing.result();
  for (const auto& [holder, budgets] : result.released) {
    std::int64_t settled = 0;
    std::int64_t freed = 0;
    for (const auto& [name, it] : budgets) {
      settled = AddSaturated(settled, it.settled);
      freed = AddSaturated(freed, it.freed);
    }
    LogEvent(kLog, Severity::kInfo, "holder_closed",
             {{"holder", holder}, {"spent", settled}, {"freed", freed}});
  }
  co_return result.reason.code == ResultCode::kOk;
}

asio::awaitable<void> LoanKeeper::Run() {
  auto d = d_;
  asio::steady_timer timer(*d->parts.control);
  while (d->parts.fleet->enabled()) {
    const auto spread = std::chrono::milliseconds(
        d->random() %
        static_cast<std::uint64_t>(kEndedHolderCheckInterval.count()));
    timer.expires_after(kEndedHolderCheckInterval / 2 + spread);
    co_await timer.async_wait(asio::use_awaitable);
    co_await LookForEnds(false);
  }
}

json::object LoanKeeper::Dump() const {
  json::object lent;
  for (const auto& [budget, borrowers] : d_->lender.OutstandingLoans()) {
    json::object rows;
    for (const auto& [borrower, tokens] : borrowers)
      rows[borrower] = tokens;
    lent[budget] = std::move(rows);
  }
  return {{"enabled", enabled()}, {"lent", std::move(lent)}};
}

}  // namespace turmericwinch
