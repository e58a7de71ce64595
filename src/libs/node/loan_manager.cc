#include "libs/node/loan_manager.h"

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

std::string BucketDuty(std::uint64_t bucket) {
  return "budget-bucket-" + std::to_string(bucket);
}

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

class LoanManager::Private
    : public std::enable_shared_from_this<LoanManager::Private> {
 public:
  explicit Private(LoanManagerParts parts);

  // Address of the lender of `bucket`; empty if that is this host.
  std::string LenderAddress(std::uint64_t bucket) const;
  void SendDueRequests();
  void StartRepeatingRequests();
  asio::awaitable<void> RepeatRequests();
  void Send(const std::vector<OutgoingLoanRequest>& requests);
  void Send(const std::vector<OutgoingLoanResponse>& responses);
  void HandleRequest(const LoanRequest& request);
  void HandleResponse(const LoanResponse& response);
  void DrawDirectly(const GrantRequests& requests);

  LoanManagerParts parts;
  Lender lender;
  Borrower borrower;
  HolderClosing closing;
  bool repeating_requests = false;
  bool closing_round_running = false;
  std::mt19937_64 random{std::random_device{}()};
};

LoanManager::Private::Private(LoanManagerParts given)
    : parts(std::move(given)),
      lender({parts.holder, [this] { return parts.fleet->address(); },
              parts.hosts_in_domain, parts.reserve_percent_of}),
      borrower(parts.holder, [this] { return parts.fleet->address(); }),
      closing({parts.failure_domain, parts.holder, &lender}) {}

LoanManager::LoanManager(LoanManagerParts parts)
    : d_(std::make_shared<Private>(std::move(parts))) {}

LoanManager::~LoanManager() = default;

bool LoanManager::enabled() const {
  return d_->parts.fleet->enabled();
}

Lender* LoanManager::lender() {
  return enabled() ? &d_->lender : nullptr;
}

std::string LoanManager::Private::LenderAddress(std::uint64_t bucket) const {
  const std::vector<std::string> addresses =
      parts.fleet->DutyHolderAddresses(BucketDuty(bucket), 1);
  return addresses.empty() ? "" : addresses.front();
}

std::vector<GrantRequest> LoanManager::RequestLoans(
    std::vector<GrantRequest> requests) {
  std::vector<GrantRequest> direct;
  const MonotonicTime now = Clock::now();
  for (GrantRequest& it : requests) {
    const std::string address = d_->LenderAddress(BucketOf(it.budget));
    if (address.empty() || d_->borrower.IsUnresponsive(address, now))
      direct.push_back(std::move(it));
    else
      d_->borrower.AddRequest(address, it, now);
  }
  d_->SendDueRequests();
  d_->StartRepeatingRequests();
  return direct;
}

void LoanManager::Private::Send(
    const std::vector<OutgoingLoanRequest>& requests) {
  for (const OutgoingLoanRequest& it : requests)
    parts.fleet->Send(it.address, it.request);
}

void LoanManager::Private::Send(
    const std::vector<OutgoingLoanResponse>& responses) {
  for (const OutgoingLoanResponse& it : responses) {
    if (!it.address.empty() && !it.response.grants.empty())
      parts.fleet->Send(it.address, it.response);
  }
}

void LoanManager::Private::SendDueRequests() {
  std::vector<OutgoingLoanRequest> due;
  parts.ledger->With([&](HostLedger& ledger) {
    due = borrower.DueRequests(ledger, Clock::now());
  });
  Send(due);
}

void LoanManager::Private::StartRepeatingRequests() {
  if (std::exchange(repeating_requests, true))
    return;
  asio::co_spawn(*parts.control, RepeatRequests(), asio::detached);
}

// Frames are not acknowledged: loan requests are repeated until a response
// arrives, or until they expire and this host draws from the platform itself.
asio::awaitable<void> LoanManager::Private::RepeatRequests() {
  auto self = shared_from_this();
  asio::steady_timer timer(*parts.control);
  while (borrower.HasPendingRequests()) {
    timer.expires_after(kLoanRequestCheckInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    DrawDirectly(borrower.TakeExpired(Clock::now()));
    SendDueRequests();
  }
  repeating_requests = false;
}

void LoanManager::Private::DrawDirectly(const GrantRequests& requests) {
  std::vector<GrantRequest> direct;
  for (const auto& [name, it] : requests)
    direct.push_back(it);
  if (!direct.empty())
    parts.draw(std::move(direct));
}

bool LoanManager::HandleFrame(const PeerFrame& frame) {
  if (const auto* request = std::get_if<LoanRequest>(&frame)) {
    d_->HandleRequest(*request);
    return true;
  }
  if (const auto* response = std::get_if<LoanResponse>(&frame)) {
    d_->HandleResponse(*response);
    return true;
  }
  return false;
}

void LoanManager::Private::HandleRequest(const LoanRequest& request) {
  OutgoingLoanResponse outgoing;
  std::set<std::uint64_t> buckets;
  parts.ledger->With([&](HostLedger& ledger) {
    outgoing = lender.HandleRequest(request, ledger, Clock::now());
  });
  for (const LoanGrant& it : outgoing.response.grants) {
    if (it.outcome == LoanOutcome::kDrawing)
      buckets.insert(BucketOf(it.budget));
  }
  Send(std::vector<OutgoingLoanResponse>{std::move(outgoing)});
  for (std::uint64_t it : buckets)
    parts.draw_for_borrowers(it);
}

void LoanManager::Private::HandleResponse(const LoanResponse& response) {
  LoanResult result;
  parts.ledger->With([&](HostLedger& ledger) {
    result = borrower.HandleResponse(response, ledger);
  });
  for (const std::string& it : result.lent)
    parts.ledger->NotifyLoan(it);
  for (const auto& [name, request] : result.short_of_tokens) {
    parts.ledger->Deny(name, request.smallest,
                       {ResultCode::kBudgetExhausted,
                        "budget " + name + " has too few tokens left"});
  }
  DrawDirectly(result.direct);
}

bool LoanManager::AddBorrowerRequests(std::uint64_t bucket,
                                      GrantRequests& requests) {
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
    auto [own, added] = requests.emplace(it.budget, it);
    if (added)
      continue;
    own->second.needed = AddSaturated(own->second.needed, it.needed);
    own->second.smallest = std::min(own->second.smallest, it.smallest);
    own->second.lent_rate = it.lent_rate;
  }
  return needed;
}

void LoanManager::FinishRound(std::uint64_t bucket, const SyncResult& result) {
  if (!enabled())
    return;
  std::vector<OutgoingLoanResponse> responses;
  const auto add = [&](std::vector<OutgoingLoanResponse> more) {
    std::move(more.begin(), more.end(), std::back_inserter(responses));
  };
  d_->parts.ledger->With([&](HostLedger& ledger) {
    add(d_->lender.RetryPending(ledger, Clock::now()));
    for (const auto& [name, request] : result.short_of_tokens) {
      if (result.complete)
        add(d_->lender.DenyShort(name, ledger));
    }
  });
  const bool failed = result.reason.code != ResultCode::kOk;
  if (failed || (!result.complete && !result.short_of_tokens.empty()))
    add(d_->lender.DenyUnreachable(bucket));
  d_->Send(responses);
}

void LoanManager::StopLending() {
  d_->lender.StopLending();
}

void LoanManager::SendReports() {
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

bool LoanManager::AllReportsAcknowledged() {
  bool reported = true;
  d_->parts.ledger->With([&](HostLedger& ledger) {
    reported = d_->borrower.PendingReports(ledger).empty();
  });
  return reported;
}

asio::awaitable<bool> LoanManager::RunClosingRound(bool close_own_holder) {
  auto d = d_;
  if (std::exchange(d->closing_round_running, true))
    co_return false;
  std::set<std::string> ending_holders;
  if (close_own_holder)
    ending_holders.insert(d->parts.holder);
  d->closing.BeginRound(
      std::move(ending_holders),
      close_own_holder || d->parts.fleet->HoldsDuty(kClosingDuty, 1), NowMs());
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
  d->closing_round_running = false;
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

asio::awaitable<void> LoanManager::Run() {
  auto d = d_;
  asio::steady_timer timer(*d->parts.control);
  while (d->parts.fleet->enabled()) {
    const auto spread = std::chrono::milliseconds(
        d->random() %
        static_cast<std::uint64_t>(kEndedHolderCheckInterval.count()));
    timer.expires_after(kEndedHolderCheckInterval / 2 + spread);
    co_await timer.async_wait(asio::use_awaitable);
    co_await RunClosingRound(false);
  }
}

json::object LoanManager::Dump() const {
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
