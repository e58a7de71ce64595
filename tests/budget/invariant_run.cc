#include "budget/invariant_run.h"

#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "budget/test_host.h"
#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"

namespace turmericwinch {

namespace {

constexpr int kHosts = 5;
constexpr int kDomains = 3;
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
  void Request(LiveHost& it);
  void SettleOne(LiveHost& it);
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
  return it;
}

void Run::Request(LiveHost& it) {
  const std::string& budget = kBudgets[random_() % kBudgets.size()];
  const std::int64_t tokens = 1 + Below(60);
  const Reservation reservation =
      it.host->ledger.Reserve(budget, tokens, it.host->now);
  if (reservation.outcome == ReserveOutcome::kReserved) {
    it.open.push_back(
        {reservation.id, budget, "r" + std::to_string(requests_++), tokens});
  } else if (!it.host->busy()) {
    it.host->StartTurn(budget, tokens);
  }
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

void Run::Die(LiveHost& it, bool graceful) {
  if (graceful) {
    while (!it.open.empty())
      SettleOne(it);
    it.host->ledger.GiveBackIdle(it.host->now, true);
    if (!it.host->Flush(true) || it.host->ledger.unconfirmed_bills() > 0)
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
        AccountBucketOf(platform_.objects[name].value, &reason).value();
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
  if (kind < 30)
    Request(it);
  else if (kind < 50)
    SettleOne(it);
  else if (kind < 88)
    it.host->Step();
  else if (kind < 92)
    it.host->Flush();
  else if (kind < 94) {
    it.host->now += kGrantIdle;
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

std::string Run::CheckSpend() const {
  for (const std::string& it : kBudgets) {
    std::int64_t held = spent_.contains(it) ? spent_.at(it) : 0;
    for (const LiveHost& host : hosts_) {
      const std::map<std::string, LedgerFigures> figures =
          host.host->ledger.Figures();
      auto budget = figures.find(it);
      if (budget != figures.end())
        held += budget->second.counters.Outstanding();
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
  for (LiveHost& it : hosts_) {
    while (!it.open.empty())
      SettleOne(it);
    it.host->ledger.GiveBackIdle(it.host->now, true);
    it.host->Flush();
  }
  for (LiveHost& it : hosts_) {
    bool closed = false;
    for (int n = 0; n < kCloseAttempts && !closed; ++n) {
      it.host->ledger.GiveBackIdle(it.host->now, true);
      closed = it.host->Flush(true);
    }
    if (!closed)
      return "a host did not close";
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
