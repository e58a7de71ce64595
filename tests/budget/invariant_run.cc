#include "budget/invariant_run.h"

#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "budget/test_host.h"
#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"

namespace turmericwinch {

namespace {

constexpr int kHosts = 6;
constexpr int kDomains = 2;
// Rounds at the end in which the hosts settle, report, acknowledge and close.
constexpr int kClosingRounds = 4;
// The first attempt finds a grant whose answer was lost, the second one returns
// it.
constexpr int kCloseAttempts = 3;
constexpr std::int64_t kTokens = 3'000;
const std::vector<std::string> kBudgets = {"x", "y"};

struct OpenRequest {
  std::uint64_t reservation = 0;
  std::string budget;
  std::string id;
  std::int64_t bound = 0;
};

// A message in transit between the hosts with these addresses.
struct Message {
  std::string from;
  std::string to;
  std::variant<LoanRequest, LoanResponse> message;
};

// A host with its open requests. After a crash it is kept in `ended_` until its
// holder is released.
struct LiveHost {
  std::unique_ptr<TestHost> host;
  std::vector<OpenRequest> open;
};

class Run {
 public:
  explicit Run(std::uint64_t seed) : random_(seed) {
    for (const std::string& it : kBudgets) {
      budgets_[it] = {kTokens, 1, 50};
      paid_[it] = max_paid_[it] = kTokens;
    }
    platform_.fault_of = [this](const PlatformCall&) { return RandomFault(); };
    for (int n = 0; n < kHosts; ++n)
      hosts_.push_back(NewHost());
  }

  std::string RunSteps(int steps);

 private:
  int RandomBelow(int limit) {
    return static_cast<int>(random_() % static_cast<unsigned>(limit));
  }
  PlatformFault RandomFault();
  LiveHost NewHost();
  void RunEvent(LiveHost& it);
  void RunLendingEvent(LiveHost& it, int kind);
  void StartRequest(LiveHost& it);
  TestHost* LenderOf(const TestHost& host, const std::string& budget);
  void Send(TestHost& host, const std::vector<OutgoingLoanRequest>& requests);
  void Send(TestHost& host, const std::vector<OutgoingLoanResponse>& responses);
  void DeliverOne();
  LiveHost* HostAt(const std::string& address);
  void SettleOne(LiveHost& it);
  bool RecordEnd(LiveHost& it);
  void EndHost(LiveHost& it, bool graceful);
  void ReleaseOne();
  void ChangeBudget();
  std::string CheckSpend() const;
  std::string Quiesce();
  std::string CheckBills() const;

  std::mt19937_64 random_;
  FakePlatform platform_;
  TestBudgets budgets_;
  bool faulty_ = true;
  std::vector<LiveHost> hosts_;
  std::list<LiveHost> ended_;
  std::vector<Message> messages_;
  // Broken connections, as addresses of sender and receiver.
  std::set<std::pair<std::string, std::string>> broken_links_;
  // Number of the lender of a budget among the hosts of a domain; incremented
  // to change the lender.
  std::map<std::string, unsigned> lender_number_;
  std::map<std::string, std::int64_t> paid_;
  // Largest size so far: tokens that are granted when a budget is lowered may
  // still be spent.
  std::map<std::string, std::int64_t> max_paid_;
  std::map<std::string, std::int64_t> spent_;
  // Settled requests, and whether their bill may be lost with a crashed host.
  std::map<std::string, bool> settled_;
  std::map<std::string, Bill> unresolved_bills_;
  int incarnations_ = 0;
  int requests_ = 0;
  int top_ups_ = 0;
};

PlatformFault Run::RandomFault() {
  if (!faulty_)
    return PlatformFault::kNone;
  switch (RandomBelow(20)) {
    case 0:
      return PlatformFault::kAnswerLost;
    case 1:
      return PlatformFault::kCallLost;
    case 2:
      return PlatformFault::kRefused;
    default:
      return PlatformFault::kNone;
  }
}

LiveHost Run::NewHost() {
  const int n = incarnations_++;
  LiveHost it;
  it.host = std::make_unique<TestHost>(platform_, budgets_,
                                       "d" + std::to_string(n % kDomains),
                                       "h_" + std::to_string(n));
  it.host->rate = RandomBelow(30);
  it.host->lends = true;
  return it;
}

LiveHost* Run::HostAt(const std::string& address) {
  for (LiveHost& it : hosts_) {
    if (it.host->address() == address)
      return &it;
  }
  return nullptr;
}

// Returns the lender of the budget as `host` sees it: in one of ten calls the
// wrong host. Null if the lender is `host` itself.
TestHost* Run::LenderOf(const TestHost& host, const std::string& budget) {
  std::vector<TestHost*> members;
  for (LiveHost& it : hosts_) {
    if (it.host->domain == host.domain)
      members.push_back(it.host.get());
  }
  const unsigned wrong = RandomBelow(10) == 0 ? 1 : 0;
  TestHost* lender = members[(lender_number_[budget] + wrong) % members.size()];
  return lender == &host ? nullptr : lender;
}

void Run::Send(TestHost& host,
               const std::vector<OutgoingLoanRequest>& requests) {
  for (const OutgoingLoanRequest& it : requests)
    messages_.push_back({host.address(), it.address, it.request});
}

void Run::Send(TestHost& host,
               const std::vector<OutgoingLoanResponse>& responses) {
  for (const OutgoingLoanResponse& it : responses)
    messages_.push_back({host.address(), it.address, it.response});
}

// Delivers a random message. Some messages are lost, some are delivered again.
void Run::DeliverOne() {
  if (messages_.empty())
    return;
  std::swap(messages_[random_() % messages_.size()], messages_.back());
  const Message sent = messages_.back();
  if (RandomBelow(10) != 0)
    messages_.pop_back();
  LiveHost* to = HostAt(sent.to);
  if (!to || broken_links_.contains({sent.from, sent.to}) ||
      (faulty_ && RandomBelow(8) == 0))
    return;
  TestHost& host = *to->host;
  if (const auto* request = std::get_if<LoanRequest>(&sent.message))
    Send(host, {host.lender.HandleRequest(*request, host.ledger, host.now)});
  else
    host.borrower.HandleResponse(std::get<LoanResponse>(sent.message),
                                 host.ledger);
}

void Run::RunLendingEvent(LiveHost& it, int kind) {
  TestHost& host = *it.host;
  if (kind < 40) {
    DeliverOne();
  } else if (kind < 60) {
    host.now += kLoanRequestRetryPause;
    Send(host, host.DueLoanRequests());
    Send(host, host.lender.UnacknowledgedLoans());
  } else if (kind < 80) {
    if (!host.busy())
      host.StartLenderRound();
    if (!host.busy())
      Send(host, host.FinishLenderRound());
  } else if (kind < 88) {
    host.RunClosingRound();
  } else if (kind < 91) {
    host.FlushBills();
  } else if (kind < 94) {
    ++lender_number_[kBudgets[random_() % kBudgets.size()]];
  } else if (kind < 97) {
    const LiveHost& other = hosts_[random_() % hosts_.size()];
    broken_links_.insert({host.address(), other.host->address()});
    if (RandomBelow(2) == 0)
      broken_links_.insert({other.host->address(), host.address()});
  } else {
    broken_links_.clear();
  }
}

void Run::StartRequest(LiveHost& it) {
  const std::string& budget = kBudgets[random_() % kBudgets.size()];
  const std::int64_t tokens = 1 + RandomBelow(60);
  const Reservation reservation =
      it.host->ledger.Reserve(budget, tokens, it.host->now);
  if (reservation.outcome == ReserveOutcome::kReserved) {
    it.open.push_back(
        {reservation.id, budget, "r" + std::to_string(requests_++), tokens});
    return;
  }
  TestHost* lender = LenderOf(*it.host, budget);
  if (lender && RandomBelow(5) != 0)
    it.host->RequestLoan(*lender, budget, tokens);
  else if (!it.host->busy())
    it.host->StartRound(budget, tokens);
}

// Settles or releases an open request. One settlement in ten is above the
// reserved tokens.
void Run::SettleOne(LiveHost& it) {
  if (it.open.empty())
    return;
  const OpenRequest request = it.open.back();
  it.open.pop_back();
  if (RandomBelow(10) == 0) {
    it.host->ledger.Release(request.reservation);
    return;
  }
  const std::int64_t used =
      RandomBelow(10) == 0 ? request.bound + 5
                           : RandomBelow(static_cast<int>(request.bound) + 1);
  it.host->Settle(request.reservation, used, request.id);
  it.host->Settle(request.reservation, used, request.id);
  spent_[request.budget] += std::min(used, request.bound);
  settled_[request.id] = false;
}

// Records the end of a host without open requests, whether or not its rows are
// closed. False if the bills or the end could not be written.
bool Run::RecordEnd(LiveHost& it) {
  TestHost& host = *it.host;
  if (host.busy() || !host.FlushBills())
    return false;
  host.ledger.Fence();
  return host.RunClosingRound(true).reason.code == ResultCode::kOk;
}

void Run::EndHost(LiveHost& it, bool graceful) {
  if (graceful) {
    while (!it.open.empty())
      SettleOne(it);
    it.host->ledger.GiveBackIdle(it.host->now, true);
    it.host->Flush(true);
    if (!RecordEnd(it))
      return;
  } else {
    for (const Bill& bill : it.host->ledger.UnconfirmedBills(1'000'000)) {
      settled_[bill.request_id] = true;
      spent_[bill.budget] -= bill.tokens;
      unresolved_bills_[bill.request_id] = bill;
    }
    ended_.push_back(std::move(it));
  }
  it = NewHost();
}

void Run::ReleaseOne() {
  if (ended_.empty())
    return;
  ended_.splice(
      ended_.begin(), ended_,
      std::next(ended_.begin(), RandomBelow(static_cast<int>(ended_.size()))));
  TestHost& host = *ended_.front().host;
  faulty_ = false;
  const bool was_down = std::exchange(platform_.down, false);
  Release(platform_, host.domain, host.ledger.holder());
  platform_.down = was_down;
  faulty_ = true;
  ended_.pop_front();
}

void Run::ChangeBudget() {
  const std::string& budget = kBudgets[random_() % kBudgets.size()];
  const std::string name = AccountObjectName(BucketOf(budget));
  if (RandomBelow(2) == 0) {
    BudgetSetting& setting = budgets_[budget];
    const std::int64_t tokens = kTokens / 2 + RandomBelow(kTokens);
    paid_[budget] += tokens - setting.tokens;
    setting.tokens = tokens;
    ++setting.generation;
  } else if (platform_.objects.contains(name)) {
    Reason reason;
    AccountBucket bucket =
        ParseAccountBucket(platform_.objects[name].value, &reason).value();
    TopUp(bucket.budgets[budget], 300, "t" + std::to_string(top_ups_++));
    const PlatformCall call{PlatformVerb::kUpdate,
                            name,
                            platform_.objects[name].version,
                            ToJson(bucket),
                            {}};
    const PlatformFault before = PlatformFault::kNone;
    platform_.write_faults.push_front(before);
    if (platform_.Call(call).reason.code == ResultCode::kOk)
      paid_[budget] += 300;
    else
      platform_.write_faults.clear();
  }
  max_paid_[budget] = std::max(max_paid_[budget], paid_[budget]);
}

void Run::RunEvent(LiveHost& it) {
  const int kind = RandomBelow(100);
  if (RandomBelow(2) == 0)
    return RunLendingEvent(it, kind);
  if (kind < 30)
    StartRequest(it);
  else if (kind < 50)
    SettleOne(it);
  else if (kind < 88)
    it.host->Step();
  else if (kind < 92)
    it.host->Flush();
  else if (kind < 94) {
    it.host->now += kGrantIdleTime;
    it.host->ledger.GiveBackIdle(it.host->now, false);
  } else if (kind < 95)
    EndHost(it, RandomBelow(2) == 0);
  else if (kind < 96)
    ReleaseOne();
  else if (kind < 97)
    ChangeBudget();
  else if (kind < 98)
    platform_.down = !platform_.down && RandomBelow(3) == 0;
}

// Tokens that a host may still spend; for a fenced host, those in open
// reservations.
std::int64_t Spendable(const LedgerSnapshot& it, bool fenced) {
  std::int64_t tokens = it.reserved;
  if (!fenced)
    tokens = it.counters.Outstanding() - it.lent - it.lent_billed;
  for (const auto& [lender, loan] : it.loans)
    tokens += fenced
                  ? loan.reserved
                  : loan.totals.received - loan.totals.returned - loan.settled;
  return tokens;
}

std::string Run::CheckSpend() const {
  for (const std::string& it : kBudgets) {
    std::int64_t held = spent_.contains(it) ? spent_.at(it) : 0;
    for (const LiveHost& host : hosts_) {
      const std::map<std::string, LedgerSnapshot> figures =
          host.host->ledger.Snapshot();
      auto budget = figures.find(it);
      if (budget != figures.end())
        held += Spendable(budget->second, host.host->ledger.fenced());
    }
    if (held > max_paid_.at(it)) {
      return "budget " + it + ": " + std::to_string(held) +
             " spent or held of " + std::to_string(max_paid_.at(it));
    }
  }
  return "";
}

std::string Run::CheckBills() const {
  const std::map<std::string, int> billed = BilledRequests(platform_);
  for (const auto& [id, count] : billed) {
    if (count != 1 || !settled_.contains(id))
      return "request " + id + " is billed " + std::to_string(count) + " times";
  }
  for (const auto& [id, may_be_lost] : settled_) {
    if (!may_be_lost && !billed.contains(id))
      return "the bill of request " + id + " was lost";
  }
  return "";
}

// Stops all faults, settles open requests and releases all ended hosts. Every
// token must then be accounted for.
std::string Run::Quiesce() {
  platform_.down = false;
  while (!ended_.empty())
    ReleaseOne();
  faulty_ = false;
  broken_links_.clear();
  messages_.clear();
  for (LiveHost& it : hosts_) {
    while (it.host->Step()) {
    }
    while (!it.open.empty())
      SettleOne(it);
  }
  for (int round = 0; round < kClosingRounds; ++round) {
    for (LiveHost& it : hosts_) {
      it.host->RunClosingRound();
      it.host->ledger.GiveBackIdle(it.host->now, true);
      it.host->Flush();
      Send(*it.host, it.host->borrower.PendingReports(it.host->ledger));
      Send(*it.host, it.host->lender.UnacknowledgedLoans());
    }
    while (!messages_.empty())
      DeliverOne();
  }
  for (LiveHost& it : hosts_) {
    bool closed = it.host->ledger.fenced();
    for (int n = 0; n < kCloseAttempts && !closed; ++n) {
      it.host->ledger.GiveBackIdle(it.host->now, true);
      closed = it.host->Flush(true);
    }
    if (!closed)
      return it.host->ledger.holder() + " did not close";
    if (!RecordEnd(it))
      return it.host->ledger.holder() + " did not end";
  }
  for (LiveHost& it : hosts_) {
    const std::string& holder = it.host->ledger.holder();
    if (!Release(platform_, it.host->domain, holder).empty())
      return "the rows of " + holder + " wait for a borrower";
  }
  // The last bills of a crashed host may be stored with their answer lost.
  const std::map<std::string, int> billed = BilledRequests(platform_);
  for (const auto& [id, bill] : unresolved_bills_) {
    if (billed.contains(id))
      spent_[bill.budget] += bill.tokens;
  }
  for (const std::string& it : kBudgets) {
    const PlatformFigures figures = FiguresOf(platform_, it);
    const std::int64_t spent = spent_.contains(it) ? spent_.at(it) : 0;
    if (figures.spent != spent || figures.outstanding != 0 ||
        figures.free != figures.paid - spent) {
      return "budget " + it + ": spent " + std::to_string(spent) +
             ", recorded " + std::to_string(figures.spent) + ", outstanding " +
             std::to_string(figures.outstanding) + ", free " +
             std::to_string(figures.free) + " of " +
             std::to_string(figures.paid);
    }
  }
  return CheckBills();
}

std::string Run::RunSteps(int steps) {
  for (int n = 0; n < steps; ++n) {
    RunEvent(hosts_[random_() % hosts_.size()]);
    std::string violated = CheckSpend();
    if (!violated.empty())
      return "step " + std::to_string(n) + ": " + violated;
  }
  return Quiesce();
}

}  // namespace

std::string RunInvariants(std::uint64_t seed, int steps) {
  return Run(seed).RunSteps(steps);
}

}  // namespace turmericwinch
