// How the hosts of FleetTrafficRun serve requests, and lend each other tokens.

#include <algorithm>

#include "fleet_traffic_run_private.h"

namespace turmericwinch {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kGrantWait{100};
constexpr milliseconds kRequestTime{400};
// Time after an outage from which on requests should find tokens.
constexpr seconds kRecoveryTime{1};
constexpr milliseconds kBorrowDelay{30};

}  // namespace

void FleetTrafficRun::Private::ScheduleArrival(FleetTrafficHost& host) {
  std::exponential_distribution<double> pause(options.request_rate);
  At(std::chrono::duration_cast<microseconds>(
         std::chrono::duration<double>(pause(random))),
     [this, &host] {
       Arrive(host);
       ScheduleArrival(host);
     });
}

void FleetTrafficRun::Private::Arrive(FleetTrafficHost& host) {
  ++result.requests;
  const bool is_after = options.outage.count() > 0 &&
                        now >= kOutageStart + options.outage + kRecoveryTime;
  result.requests_after_outage += is_after ? 1 : 0;
  const WaitingRequest request{
      TeamName(static_cast<int>(random() % kTeams)),
      1 + static_cast<std::int64_t>(random() % kMaxCost)};
  if (Start(host, request))
    return;
  const int id = next_request++;
  host.waiting.emplace(id, request);
  At(kGrantWait, [this, &host, id, is_after] {
    const int refused = static_cast<int>(host.waiting.erase(id));
    result.refused += refused;
    result.refused_after_outage += is_after ? refused : 0;
  });
  if (MustDraw(host, request))
    RequestSync(host);
  else
    BorrowInDomain(host);
  At(kBorrowDelay, [this, &host, id] {
    if (host.waiting.contains(id))
      BorrowInFleet(host);
  });
}

bool FleetTrafficRun::Private::Start(FleetTrafficHost& host,
                                     const WaitingRequest& request) {
  const Reservation taken =
      host.ledger.Reserve(request.team, request.cost, Time());
  if (taken.outcome != ReserveOutcome::kReserved)
    return false;
  std::int64_t& total = used[request.team];
  total += request.cost;
  result.overspent = std::max(result.overspent, total - options.paid);
  At(kRequestTime, [this, &host, request, id = taken.id] {
    Bill bill;
    bill.tokens = request.cost / 2 + 1;
    used[request.team] -= request.cost - bill.tokens;
    host.ledger.Settle(id, bill, Time());
  });
  return true;
}

void FleetTrafficRun::Private::Wake(FleetTrafficHost& host) {
  std::erase_if(host.waiting,
                [&](const auto& it) { return Start(host, it.second); });
}

bool FleetTrafficRun::Private::MustDraw(const FleetTrafficHost& host,
                                        const WaitingRequest& request) const {
  return request.draws_directly ||
         host.holder.stock_hosts().LendersFor(request.team).empty();
}

void FleetTrafficRun::Private::BorrowInDomain(FleetTrafficHost& host) {
  for (const auto& [id, it] : host.waiting) {
    if (!MustDraw(host, it))
      StartSearch(host, it, LoanScope::kDomain,
                  host.holder.stock_hosts().LendersFor(it.team));
  }
  SendLoanRequests(host);
}

void FleetTrafficRun::Private::BorrowInFleet(FleetTrafficHost& host) {
  for (const auto& [id, it] : host.waiting) {
    if (MustDraw(host, it))
      StartSearch(host, it, LoanScope::kFleet,
                  FindLenders(host.holder.known_account(), it.team, host.id));
  }
  SendLoanRequests(host);
}

void FleetTrafficRun::Private::StartSearch(
    FleetTrafficHost& host,
    const WaitingRequest& request,
    LoanScope scope,
    std::vector<LenderEndpoint> lenders) {
  const std::int64_t available =
      std::max<std::int64_t>(host.ledger.Available(request.team), 0);
  const std::int64_t missing = request.cost - available;
  host.search.Start({request.team, missing, missing}, scope, std::move(lenders),
                    {ResultCode::kBudgetUnreachable, "no lender"}, Time());
}

FleetTrafficHost* FleetTrafficRun::Private::FindHost(
    const std::string& address) {
  for (const auto& it : hosts) {
    if (it->address == address)
      return it->is_stopped ? nullptr : it.get();
  }
  return nullptr;
}

void FleetTrafficRun::Private::HandleLoanRequest(FleetTrafficHost& lender,
                                                 const LoanRequest& request) {
  LoanResponse response =
      lender.lender.HandleRequest(request, lender.ledger, Time());
  for (LoanGrant& it : response.grants) {
    if (it.outcome != LoanOutcome::kShort || !lender.is_reachable)
      continue;
    it.outcome = LoanOutcome::kDrawing;
    lender.lent_teams.insert(it.budget);
    lender.deferred.push_back(request);
    RequestSync(lender);
  }
  SendLoanResponse(request, response);
}

void FleetTrafficRun::Private::SendLoanResponse(const LoanRequest& request,
                                                const LoanResponse& response) {
  At(kMessageTime, [this, request, response] {
    FleetTrafficHost* borrower = FindHost(request.reply_to);
    if (!borrower)
      return;
    borrower->search.HandleResponse(response, borrower->ledger, Time());
    Wake(*borrower);
    SendLoanRequests(*borrower);
  });
}

void FleetTrafficRun::Private::SendLoanRequests(FleetTrafficHost& host) {
  for (const OutgoingLoanRequest& it :
       host.search.DueRequests(host.ledger, Time())) {
    At(kMessageTime, [this, it] {
      if (FleetTrafficHost* lender = FindHost(it.address))
        HandleLoanRequest(*lender, it.request);
    });
  }
  for (const FailedLoanSearch& failed : host.search.TakeFailed()) {
    if (failed.scope == LoanScope::kFleet)
      continue;
    if (!host.writes.MayDrawDirectly(Time())) {
      host.search.Start(failed.request, LoanScope::kFleet,
                        FindLenders(host.holder.known_account(),
                                    failed.request.budget, host.id),
                        failed.reason, Time());
      continue;
    }
    for (auto& [id, it] : host.waiting)
      it.draws_directly |= it.team == failed.request.budget;
    RequestSync(host);
  }
  const std::optional<MonotonicTime> next = host.search.NextDueTime();
  if (next && *next > Time())
    At(std::chrono::duration_cast<microseconds>(*next - Time()),
       [this, &host] { SendLoanRequests(host); });
}

}  // namespace turmericwinch
