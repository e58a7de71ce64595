#include "libs/load/reconciliation.h"

#include <algorithm>
#include <set>

namespace turmericwinch {

namespace {

constexpr std::size_t kMostMismatchesShown = 20;

// All bills of one request.
struct Billed {
  std::int64_t bills = 0;
  std::int64_t tokens = 0;
};

using BillsById = std::map<std::string, Billed>;

BillsById ParseBills(const PlatformState& platform) {
  BillsById bills;
  for (const Bill& it : platform.bills) {
    Billed& billed = bills[it.request_id];
    ++billed.bills;
    billed.tokens += it.tokens;
  }
  return bills;
}

std::int64_t RunsOf(const TargetRuns& runs, const CallRecord& record) {
  const auto& counts = IsChat(record.kind) ? runs.chats : runs.plain_calls;
  auto it = counts.find(record.id);
  return it == counts.end() ? 0 : it->second;
}

class Comparison {
 public:
  explicit Comparison(const ReconciliationInput& input)
      : input_(input), bills_(ParseBills(input.platform)) {}

  Reconciliation Run() {
    for (const CallRecord& it : input_.records)
      Compare(it);
    for (const auto& [id, billed] : bills_) {
      if (!sent_.contains(id) && id.starts_with("load-"))
        Fault(id, "was billed but never sent by this run");
    }
    for (const auto& [name, totals] : input_.platform.budgets)
      CompareBudget(name, totals);
    if (result_.lost_bill_tokens > result_.left_granted) {
      result_.mismatches.push_back("the killed hosts answered " +
                                   std::to_string(result_.lost_bill_tokens) +
                                   " tokens without a bill but hold only " +
                                   std::to_string(result_.left_granted));
    }
    return std::move(result_);
  }

 private:
  void Fault(const std::string& id, const std::string& text) {
    result_.mismatches.push_back("request " + id + " " + text);
  }

  void Compare(const CallRecord& record) {
    sent_.insert(record.id);
    ++result_.requests;
    const Billed billed = bills_[record.id];
    const std::int64_t runs = RunsOf(input_.runs, record);
    result_.runs += runs;
    result_.bills += billed.bills;
    result_.billed_tokens += billed.tokens;
    if (billed.bills > 1)
      Fault(record.id, "was billed " + std::to_string(billed.bills) + " times");
    if (record.kind == CallKind::kWrite && runs > 1)
      Fault(record.id,
            "may not repeat but ran " + std::to_string(runs) + " times");
    switch (record.end) {
      case CallEnd::kAnswered:
        CompareAnswered(record, billed, runs);
        break;
      case CallEnd::kNotRun:
        ++result_.not_run;
        if (runs > 0)
          Fault(record.id, "was refused with not_run but ran");
        if (billed.bills > 0)
          Fault(record.id, "was refused with not_run but billed");
        break;
      case CallEnd::kUnknown:
        ++result_.unknown;
        result_.billed_unanswered += billed.bills;
        break;
    }
  }

  void CompareAnswered(const CallRecord& record,
                       const Billed& billed,
                       std::int64_t runs) {
    const std::int64_t tokens =
        IsChat(record.kind) ? record.tokens : input_.call_tokens;
    ++result_.answered;
    result_.answered_tokens += tokens;
    if (runs == 0)
      Fault(record.id, "was answered but no target ran it");
    if (billed.bills == 0 && RanOnLostHost(record)) {
      ++result_.lost_bills;
      result_.lost_bill_tokens += tokens;
    } else if (billed.bills == 0) {
      Fault(record.id, "was answered by " + record.host + " but not billed");
    } else if (billed.tokens != tokens) {
      Fault(record.id, "was billed " + std::to_string(billed.tokens) +
                           " tokens, its caller saw " + std::to_string(tokens));
    }
  }

  // A kept answer may be given by another host than the one that ran it.
  bool RanOnLostHost(const CallRecord& record) const {
    const auto is_lost = [this](const std::string& it) {
      return input_.lost_hosts.contains(it);
    };
    return is_lost(record.host) ||
           (record.replayed &&
            std::any_of(record.hosts.begin(), record.hosts.end(), is_lost));
  }

  bool IsLostHolder(const std::string& holder) const {
    return std::any_of(
        input_.lost_hosts.begin(), input_.lost_hosts.end(),
        [&](const auto& it) { return holder.starts_with(it.second); });
  }

  void CompareBudget(const std::string& name, const BudgetTotals& totals) {
    std::int64_t billed = 0;
    for (const Bill& it : input_.platform.bills)
      billed += it.budget == name ? it.tokens : 0;
    std::int64_t granted_to_lost = 0;
    for (const auto& [holder, tokens] : totals.outstanding)
      granted_to_lost += IsLostHolder(holder) ? tokens : 0;
    result_.left_granted += granted_to_lost;
    const std::string numbers = "spent " + std::to_string(totals.spent) +
                                ", billed " + std::to_string(billed) +
                                ", paid " + std::to_string(totals.paid);
    // A killed host writes bills before the counters, so its counters may be
    // short by what it still holds, and never ahead.
    const bool agrees =
        totals.spent <= billed && billed <= totals.spent + granted_to_lost;
    if (!agrees)
      result_.mismatches.push_back("budget " + name + ": " + numbers);
    if (billed > totals.paid || totals.spent > totals.paid)
      result_.mismatches.push_back("budget " + name +
                                   " is overspent: " + numbers);
  }

  const ReconciliationInput& input_;
  BillsById bills_;
  std::set<std::string> sent_;
  Reconciliation result_;
};

}  // namespace

Reconciliation Reconcile(const ReconciliationInput& input) {
  return Comparison(input).Run();
}

std::string ReconciliationText(const Reconciliation& result) {
  const auto line = [](const std::string& name, std::int64_t n) {
    return "  " + name + ": " + std::to_string(n) + "\n";
  };
  std::string text = "reconciliation\n";
  text += line("requests", result.requests);
  text += line("answered", result.answered);
  text += line("refused, not run", result.not_run);
  text += line("broken off or outcome unknown", result.unknown);
  text += line("runs on targets", result.runs);
  text += line("bills", result.bills);
  text += line("tokens that callers saw in answers", result.answered_tokens);
  text += line("tokens billed", result.billed_tokens);
  text += line("billed although not answered whole", result.billed_unanswered);
  text += line("answered by a killed host, not billed", result.lost_bills);
  text += line("tokens of those", result.lost_bill_tokens);
  text += line("tokens left granted to killed hosts", result.left_granted);
  text +=
      line("mismatches", static_cast<std::int64_t>(result.mismatches.size()));
  const std::size_t shown =
      std::min(result.mismatches.size(), kMostMismatchesShown);
  for (std::size_t n = 0; n < shown; ++n)
    text += "    " + result.mismatches[n] + "\n";
  if (shown < result.mismatches.size())
    text += "    and more\n";
  return text;
}

}  // namespace turmericwinch
