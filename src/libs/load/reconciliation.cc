#include "libs/load/reconciliation.h"

#include <algorithm>
#include <set>

namespace turmericwinch {

namespace {

constexpr std::size_t kMaxMismatchesShown = 20;

// Number and token sum of the bills of one request.
struct BillTotal {
  std::int64_t bills = 0;
  std::int64_t tokens = 0;
};

using BillsById = std::map<std::string, BillTotal>;

BillsById GroupBillsById(const PlatformState& platform) {
  BillsById bills;
  for (const Bill& it : platform.bills) {
    BillTotal& billed = bills[it.request_id];
    ++billed.bills;
    billed.tokens += it.tokens;
  }
  return bills;
}

std::int64_t RunCount(const TargetRuns& runs, const CallRecord& record) {
  const auto& counts = IsChat(record.kind) ? runs.chats : runs.plain_calls;
  auto it = counts.find(record.id);
  return it == counts.end() ? 0 : it->second;
}

class Reconciler {
 public:
  explicit Reconciler(const ReconciliationInput& input)
      : input_(input), bills_(GroupBillsById(input.platform)) {}

  Reconciliation Run() {
    for (const CallRecord& it : input_.records)
      CompareRecord(it);
    for (const auto& [id, billed] : bills_) {
      if (!sent_.contains(id) && id.starts_with("load-"))
        AddMismatch(id, "was billed but never sent by this run");
    }
    for (const auto& [name, totals] : input_.platform.budgets)
      CompareBudget(name, totals);
    if (result_.lost_bill_tokens > result_.lost_host_grants) {
      result_.mismatches.push_back(
          "the answers of killed hosts without a bill cost " +
          std::to_string(result_.lost_bill_tokens) +
          " tokens, but these hosts hold only " +
          std::to_string(result_.lost_host_grants));
    }
    return std::move(result_);
  }

 private:
  void AddMismatch(const std::string& id, const std::string& text) {
    result_.mismatches.push_back("request " + id + " " + text);
  }

  void CompareRecord(const CallRecord& record) {
    sent_.insert(record.id);
    ++result_.requests;
    const BillTotal billed = bills_[record.id];
    const std::int64_t runs = RunCount(input_.runs, record);
    result_.runs += runs;
    result_.bills += billed.bills;
    result_.billed_tokens += billed.tokens;
    if (billed.bills > 1)
      AddMismatch(record.id,
                  "was billed " + std::to_string(billed.bills) + " times");
    if (record.kind == CallKind::kWrite && runs > 1)
      AddMismatch(record.id, "is not repeatable but ran " +
                                 std::to_string(runs) + " times");
    switch (record.outcome) {
      case CallOutcome::kAnswered:
        CompareAnsweredRecord(record, billed, runs);
        break;
      case CallOutcome::kNotRun:
        ++result_.not_run;
        if (runs > 0)
          AddMismatch(record.id, "was refused with not_run but ran");
        if (billed.bills > 0)
          AddMismatch(record.id, "was refused with not_run but was billed");
        break;
      case CallOutcome::kUnknown:
        ++result_.unknown;
        result_.billed_unanswered += billed.bills;
        break;
    }
  }

  void CompareAnsweredRecord(const CallRecord& record,
                             const BillTotal& billed,
                             std::int64_t runs) {
    const std::int64_t tokens =
        IsChat(record.kind) ? record.tokens : input_.call_tokens;
    ++result_.answered;
    result_.answered_tokens += tokens;
    if (runs == 0)
      AddMismatch(record.id, "was answered but no target ran it");
    if (billed.bills == 0 && RanOnLostHost(record)) {
      ++result_.lost_bills;
      result_.lost_bill_tokens += tokens;
    } else if (billed.bills == 0) {
      AddMismatch(record.id,
                  "was answered by " + record.host + " but was not billed");
    } else if (billed.tokens != tokens) {
      AddMismatch(record.id, "was billed " + std::to_string(billed.tokens) +
                                 " tokens, but the tokens of its answer are " +
                                 std::to_string(tokens));
    }
  }

  // A stored answer may be replayed by a different host than the one that ran
  // the request, so all hosts of a replayed answer are checked.
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
    std::int64_t lost_grants = 0;
    for (const auto& [holder, tokens] : totals.outstanding)
      lost_grants += IsLostHolder(holder) ? tokens : 0;
    result_.lost_host_grants += lost_grants;
    const std::string numbers = "spent " + std::to_string(totals.spent) +
                                ", billed " + std::to_string(billed) +
                                ", paid " + std::to_string(totals.paid);
    // A host writes bills before the budget's counters. The counters of a
    // killed host may therefore lag behind its bills by at most its outstanding
    // tokens, and are never ahead of them.
    const bool consistent =
        totals.spent <= billed && billed <= totals.spent + lost_grants;
    if (!consistent)
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
  return Reconciler(input).Run();
}

std::string FormatReconciliation(const Reconciliation& result) {
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
  text += line("tokens reported in answers", result.answered_tokens);
  text += line("tokens billed", result.billed_tokens);
  text += line("billed without a complete answer", result.billed_unanswered);
  text += line("answered by a killed host, not billed", result.lost_bills);
  text +=
      line("tokens of answers that were not billed", result.lost_bill_tokens);
  text += line("tokens outstanding at killed hosts", result.lost_host_grants);
  text +=
      line("mismatches", static_cast<std::int64_t>(result.mismatches.size()));
  const std::size_t shown =
      std::min(result.mismatches.size(), kMaxMismatchesShown);
  for (std::size_t n = 0; n < shown; ++n)
    text += "    " + result.mismatches[n] + "\n";
  if (shown < result.mismatches.size())
    text += "    (more mismatches are not shown)\n";
  return text;
}

}  // namespace turmericwinch
