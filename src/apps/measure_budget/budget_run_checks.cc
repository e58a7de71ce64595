// The sums of a run that must come out.

#include <algorithm>
#include <set>

#include "apps/measure_budget/budget_run.h"
#include "apps/measure_budget/platform_books.h"

namespace turmericwinch {

void BudgetRun::CheckBound() {
  TokensOf held;
  for (const Slot& slot : slots_) {
    for (const auto& [name, tokens] : slot.host->Held())
      held[name] += tokens;
    figures_.most_memory_bytes =
        std::max(figures_.most_memory_bytes, slot.host->MemoryBytes());
  }
  std::int64_t above = truth_.Overspent();
  for (const auto& [name, tokens] : held) {
    const TruthBudget& it = truth_.budgets()[index_.at(name)];
    above = std::max(above, it.spent + tokens - it.paid);
  }
  figures_.overspent = std::max(figures_.overspent, above);
  CheckHeld(held);
}

// A host learns of a grant after the platform has it, and ends its use before
// the platform hears of it. So hosts never hold more than is booked.
void BudgetRun::CheckHeld(const TokensOf& held) {
  if (policy_ == Policy::kSplit || !figures_.violated.empty())
    return;
  const std::map<std::string, BookedBudget> books =
      BooksOf(platform_.store(), {});
  for (const auto& [name, tokens] : held) {
    const auto it = books.find(name);
    const std::int64_t booked = it == books.end() ? 0 : it->second.outstanding;
    if (tokens > booked) {
      figures_.violated = name + ": hosts hold " + std::to_string(tokens) +
                          " of " + std::to_string(booked) + " booked";
      return;
    }
  }
}

std::string BudgetRun::CheckBudget(std::size_t n,
                                   const BookedBudget* booked) const {
  const TruthBudget& truth = truth_.budgets()[n];
  const std::string& name = trace_.names()[n];
  const auto doubt = doubtful_.find(name);
  const std::int64_t doubtful = doubt == doubtful_.end() ? 0 : doubt->second;
  const auto billed = platform_.billed().find(name);
  const std::int64_t bills =
      billed == platform_.billed().end() ? 0 : billed->second;
  if (truth.reserved != 0)
    return name + ": a request did not end";
  if (bills > truth.spent || bills + doubtful < truth.spent)
    return name + ": " + std::to_string(bills) + " billed of " +
           std::to_string(truth.spent) + " spent";
  if (!booked)
    return "";
  const std::int64_t past = policy_ == Policy::kChecked ? 0 : past_[n];
  const std::int64_t spent = booked->spent - past;
  const bool counted =
      figures_.deaths > 0
          ? spent <= truth.spent && spent + booked->outstanding >= truth.spent
          : spent == truth.spent && booked->outstanding == 0;
  if (!counted || booked->outstanding_live != 0 || booked->free < 0) {
    return name + ": spent " + std::to_string(truth.spent) + ", recorded " +
           std::to_string(spent) + ", outstanding " +
           std::to_string(booked->outstanding) + " (" +
           std::to_string(booked->outstanding_live) + " at live hosts), free " +
           std::to_string(booked->free);
  }
  if (policy_ != Policy::kChecked && booked->paid != truth.paid + past)
    return name + ": paid " + std::to_string(truth.paid) + ", recorded " +
           std::to_string(booked->paid);
  return "";
}

std::string BudgetRun::CheckBooks() const {
  if (policy_ == Policy::kPerfect)
    return "";
  std::set<std::string> live;
  for (const Slot& it : slots_)
    live.insert(it.holder);
  std::map<std::string, BookedBudget> books = BooksOf(platform_.store(), live);
  // What a live host lent to one that died stays with the dead one.
  for (const Slot& it : slots_) {
    for (const auto& [name, tokens] : it.host->LentBeside(live))
      books[name].outstanding_live -= tokens;
  }
  for (std::size_t n = 0; n < declared_.size(); ++n) {
    const auto it = books.find(trace_.names()[n]);
    // A budget that nobody drew on is not declared yet, and fixed shares are
    // not booked.
    const bool used =
        policy_ != Policy::kSplit && truth_.budgets()[n].spent > 0;
    const std::string violated =
        CheckBudget(n, it == books.end() || !used ? nullptr : &it->second);
    if (!violated.empty())
      return violated;
  }
  return "";
}

}  // namespace turmericwinch
