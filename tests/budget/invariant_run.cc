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
// Rounds in which the last hosts settle, report, acknowledge and close.
constexpr int kClosingRounds = 4;
// A grant whose answer was lost is found at the first and returned at the
// second.
constexpr int kCloseAttempts = 3;
constexpr std::int64_t kTokens = 3'000;
const std::vector<std::string> kBudgets = {"x", "y"};

struct OpenRequest {
  std::uint64_t reservation = 0;
  std::string budget;
  std::string id;
  std::int64_t bound = 0;
};

// A message on its way between hosts, by their addresses.
struct Mail {
  std::string from;
  std::string to;
  std::variant<LoanRequest, LoanResponse> message;
};

// A host with the requests that it runs. What it holds once dead stays here
// until it is released.
struct LiveHost {
  std::unique_ptr<TestHost> host;
  std::vector<OpenRequest> open;
};

class Run {
 public:
  explicit Run(std::uint64_t seed) : random_(seed) {
    for (const std::string& it : kBudgets) {
      budgets_[it] = {kTokens, 1, 50};
      paid_[it] = most_paid_[it] = kTokens;
    }
    platform_.fault_of = [this](const PlatformCall&) { return RandomFault(); };
    for (int n = 0; n < kHosts; ++n)
      hosts_.push_back(NewHost());
  }

  std::string Go(int steps);

 private:
  int Below(int limit) {
    return static_cast<int>(random_() % static_cast<unsigned>(limit));
  }
  PlatformFault RandomFault();
  LiveHost NewHost();
  void Event(LiveHost& it);
  void LendingEvent(LiveHost& it, int kind);
  void Request(LiveHost& it);
  TestHost* LenderOf(const TestHost& host, const std::string& budget);
  void Post(TestHost& host, const std::vector<OutgoingLoanRequest>& asks);
  void Post(TestHost& host, const std::vector<OutgoingLoanResponse>& answers);
  void Deliver();
  LiveHost* HostAt(const std::string& address);
  void SettleOne(LiveHost& it);
  bool EndItself(LiveHost& it);
  void Die(LiveHost& it, bool graceful);
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
  std::list<LiveHost> dead_;
  std::vector<Mail> mail_;
  // Pairs of hosts that do not hear each other, by number in hosts_.
  std::set<std::pair<std::string, std::string>> cut_;
  // Which host of its domain answers for a budget; grows with each change.
  std::map<std::string, unsigned> lender_number_;
  std::map<std::string, std::int64_t> paid_;
  // Largest size so far: what is granted when a budget is lowered may be spent.
  std::map<std::string, std::int64_t> most_paid_;
  std::map<std::string, std::int64_t> spent_;
  // Settled requests, and whether their bill may have died with their host.
  std::map<std::string, bool> settled_;
  std::map<std::string, Bill> doubtful_;
  int incarnations_ = 0;
  int requests_ = 0;
  int top_ups_ = 0;
};

PlatformFault Run::RandomFault() {
  if (!faulty_)
    return PlatformFault::kNone;
  switch (Below(20)) {
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
  it.host->rate = Below(30);
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

// The host that answers for the budget, as `host` believes: one time in ten
// another one. Null if it is `host` itself.
TestHost* Run::LenderOf(const TestHost& host, const std::string& budget) {
  std::vector<TestHost*> members;
  for (LiveHost& it : hosts_) {
    if (it.host->domain == host.domain)
      members.push_back(it.host.get());
  }
  const unsigned wrong = Below(10) == 0 ? 1 : 0;
  TestHost* lender = members[(lender_number_[budget] + wrong) % members.size()];
  return lender == &host ? nullptr : lender;
}

void Run::Post(TestHost& host, const std::vector<OutgoingLoanRequest>& asks) {
  for (const OutgoingLoanRequest& it : asks)
    mail_.push_back({host.address(), it.address, it.request});
}

void Run::Post(TestHost& host,
               const std::vector<OutgoingLoanResponse>& answers) {
  for (const OutgoingLoanResponse& it : answers)
    mail_.push_back({host.address(), it.address, it.response});
}

// Takes any message; some are lost, some stay to come again.
void Run::Deliver() {
  if (mail_.empty())
    return;
  std::swap(mail_[random_() % mail_.size()], mail_.back());
  const Mail mail = mail_.back();
  if (Below(10) != 0)
    mail_.pop_back();
  LiveHost* to = HostAt(mail.to);
  if (!to || cut_.contains({mail.from, mail.to}) || (faulty_ && Below(8) == 0))
    return;
  TestHost& host = *to->host;
  if (const auto* ask = std::get_if<LoanRequest>(&mail.message))
    Post(host, {host.lender.HandleRequest(*ask, host.ledger, host.now)});
  else
    host.borrower.HandleResponse(std::get<LoanResponse>(mail.message),
                                 host.ledger);
}

void Run::LendingEvent(LiveHost& it, int kind) {
  TestHost& host = *it.host;
  if (kind < 40) {
    Deliver();
  } else if (kind < 60) {
    host.now += kLoanRequestRetryPause;
    Post(host, host.DueLoanRequests());
    Post(host, host.lender.UnacknowledgedLoans());
  } else if (kind < 80) {
    if (!host.busy())
      host.StartLenderRound();
    if (!host.busy())
      Post(host, host.FinishLenderRound());
  } else if (kind < 88) {
    host.RunClosingRound();
  } else if (kind < 91) {
    host.FlushBills();
  } else if (kind < 94) {
    ++lender_number_[kBudgets[random_() % kBudgets.size()]];
  } else if (kind < 97) {
    const LiveHost& other = hosts_[random_() % hosts_.size()];
    cut_.insert({host.address(), other.host->address()});
    if (Below(2) == 0)
      cut_.insert({other.host->address(), host.address()});
  } else {
    cut_.clear();
  }
}

void Run::Request(LiveHost& it) {
  const std::string& budget = kBudgets[random_() % kBudgets.size()];
  const std::int64_t tokens = 1 + Below(60);
  const Reservation reservation =
      it.host->ledger.Reserve(budget, tokens, it.host->now);
  if (reservation.outcome == ReserveOutcome::kReserved) {
    it.open.push_back(
        {reservation.id, budget, "r" + std::to_string(requests_++), tokens});
    return;
  }
  TestHost* lender = LenderOf(*it.host, budget);
  if (lender && Below(5) != 0)
    it.host->RequestLoan(*lender, budget, tokens);
  else if (!it.host->busy())
    it.host->StartRound(budget, tokens);
}

// One report in ten is above the bound.
void Run::SettleOne(LiveHost& it) {
  if (it.open.empty())
    return;
  const OpenRequest request = it.open.back();
  it.open.pop_back();
  if (Below(10) == 0) {
    it.host->ledger.Release(request.reservation);
    return;
  }
  const std::int64_t used = Below(10) == 0
                                ? request.bound + 5
                                : Below(static_cast<int>(request.bound) + 1);
  it.host->Settle(request.reservation, used, request.id);
  it.host->Settle(request.reservation, used, request.id);
  spent_[request.budget] += std::min(used, request.bound);
  settled_[request.id] = false;
}

// Ends a host that has no open request, whether or not its rows are closed.
bool Run::EndItself(LiveHost& it) {
  TestHost& host = *it.host;
  if (host.busy() || !host.FlushBills())
    return false;
  host.ledger.Fence();
  return host.RunClosingRound(true).reason.code == ResultCode::kOk;
}

void Run::Die(LiveHost& it, bool graceful) {
  if (graceful) {
    while (!it.open.empty())
      SettleOne(it);
    it.host->ledger.GiveBackIdle(it.host->now, true);
    it.host->Flush(true);
    if (!EndItself(it))
      return;
  } else {
    for (const Bill& bill : it.host->ledger.UnconfirmedBills(1'000'000)) {
      settled_[bill.request_id] = true;
      spent_[bill.budget] -= bill.tokens;
      doubtful_[bill.request_id] = bill;
    }
    dead_.push_back(std::move(it));
  }
  it = NewHost();
}

void Run::ReleaseOne() {
  if (dead_.empty())
    return;
  dead_.splice(dead_.begin(), dead_,
               std::next(dead_.begin(), Below(static_cast<int>(dead_.size()))));
  TestHost& host = *dead_.front().host;
  faulty_ = false;
  const bool was_down = std::exchange(platform_.down, false);
  Release(platform_, host.domain, host.ledger.holder());
  platform_.down = was_down;
  faulty_ = true;
  dead_.pop_front();
}

void Run::ChangeBudget() {
  const std::string& budget = kBudgets[random_() % kBudgets.size()];
  const std::string name = AccountObjectName(BucketOf(budget));
  if (Below(2) == 0) {
    BudgetSetting& setting = budgets_[budget];
    const std::int64_t tokens = kTokens / 2 + Below(kTokens);
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
  most_paid_[budget] = std::max(most_paid_[budget], paid_[budget]);
}

void Run::Event(LiveHost& it) {
  const int kind = Below(100);
  if (Below(2) == 0)
    return LendingEvent(it, kind);
  if (kind < 30)
    Request(it);
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
    Die(it, Below(2) == 0);
  else if (kind < 96)
    ReleaseOne();
  else if (kind < 97)
    ChangeBudget();
  else if (kind < 98)
    platform_.down = !platform_.down && Below(3) == 0;
}

// What a host may still spend; one that was fenced, what it has in use.
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
    if (held > most_paid_.at(it)) {
      return "budget " + it + ": " + std::to_string(held) +
             " spent or held of " + std::to_string(most_paid_.at(it));
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

// Ends all faults, settles, and releases the dead: every token must be found.
std::string Run::Quiesce() {
  platform_.down = false;
  while (!dead_.empty())
    ReleaseOne();
  faulty_ = false;
  cut_.clear();
  mail_.clear();
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
      Post(*it.host, it.host->borrower.PendingReports(it.host->ledger));
      Post(*it.host, it.host->lender.UnacknowledgedLoans());
    }
    while (!mail_.empty())
      Deliver();
  }
  for (LiveHost& it : hosts_) {
    bool closed = it.host->ledger.fenced();
    for (int n = 0; n < kCloseAttempts && !closed; ++n) {
      it.host->ledger.GiveBackIdle(it.host->now, true);
      closed = it.host->Flush(true);
    }
    if (!closed)
      return it.host->ledger.holder() + " did not close";
    if (!EndItself(it))
      return it.host->ledger.holder() + " did not end";
  }
  for (LiveHost& it : hosts_) {
    const std::string& holder = it.host->ledger.holder();
    if (!Release(platform_, it.host->domain, holder).empty())
      return "the rows of " + holder + " wait for a borrower";
  }
  // A dead host's last bills may have landed, their answer lost.
  const std::map<std::string, int> billed = BilledRequests(platform_);
  for (const auto& [id, bill] : doubtful_) {
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

std::string Run::Go(int steps) {
  for (int n = 0; n < steps; ++n) {
    Event(hosts_[random_() % hosts_.size()]);
    std::string violated = CheckSpend();
    if (!violated.empty())
      return "step " + std::to_string(n) + ": " + violated;
  }
  return Quiesce();
}

}  // namespace

std::string RunInvariants(std::uint64_t seed, int steps) {
  return Run(seed).Go(steps);
}

}  // namespace turmericwinch
