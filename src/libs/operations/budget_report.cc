#include "libs/operations/budget_report.h"

#include <algorithm>
#include <set>

#include "libs/operations/text_table.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

struct BudgetSummary {
  std::int64_t paid = 0;
  std::int64_t spent = 0;
  std::int64_t outstanding = 0;
  // The part of `outstanding` that belongs to holders that have ended.
  std::int64_t stranded = 0;
  std::int64_t allocated_free = 0;
  std::int64_t free = 0;
};

// Uses the configured size `declared` as the paid base, because the account
// holds that base only after a host has written it there.
BudgetSummary SummarizeBudget(std::int64_t declared, const BudgetState& state) {
  BudgetSummary summary;
  summary.paid = AddSaturated(declared, state.account.topped_up);
  summary.spent = state.Spent();
  summary.outstanding = state.Outstanding();
  for (const auto& [name, it] : state.domains) {
    const DomainAllocation& allocation = state.account.domains.at(name);
    summary.allocated_free += it.Free(allocation.allocated);
    for (const auto& [holder, counters] : it.holders) {
      if (state.HasEnded(name, holder))
        summary.stranded += counters.Outstanding();
    }
  }
  summary.free = summary.paid - summary.spent - summary.outstanding -
                 summary.allocated_free;
  return summary;
}

std::set<std::string> BorrowersOf(const BudgetState& state,
                                  const std::string& domain,
                                  const std::string& holder) {
  auto lists = state.borrowers.find(domain);
  if (lists == state.borrowers.end())
    return {};
  auto list = lists->second.find(holder);
  return list == lists->second.end() ? std::set<std::string>() : list->second;
}

std::set<std::string> OpenBorrowersOf(const BudgetState& state,
                                      const std::string& domain,
                                      const std::string& holder) {
  return state.HasEnded(domain, holder) ? state.OpenBorrowers(domain, holder)
                                        : std::set<std::string>();
}

json::array NamesJson(const std::set<std::string>& names) {
  json::array array;
  for (const std::string& it : names)
    array.emplace_back(it);
  return array;
}

// Describes whether the holder has ended and which hosts hold loans from it.
std::string HolderStateText(const BudgetState& state,
                            const std::string& domain,
                            const std::string& holder) {
  const std::set<std::string> borrowers = BorrowersOf(state, domain, holder);
  if (!state.HasEnded(domain, holder)) {
    return borrowers.empty()
               ? "not ended"
               : "may lend to " + std::to_string(borrowers.size());
  }
  std::string text;
  for (const std::string& it : OpenBorrowersOf(state, domain, holder))
    text += (text.empty() ? "ended, waits for " : " ") + it;
  return text.empty() ? "ended, closes soon" : text;
}

}  // namespace

json::object BudgetReportJson(const std::string& budget,
                              std::int64_t declared,
                              const BudgetState& state) {
  const BudgetSummary summary = SummarizeBudget(declared, state);
  json::object domains;
  for (const auto& [name, it] : state.domains) {
    json::object holders;
    for (const auto& [holder, counters] : it.holders) {
      holders[holder] = {
          {"granted", counters.granted},
          {"settled", counters.settled},
          {"given_back", counters.given_back},
          {"outstanding", counters.Outstanding()},
          {"may_lend_to", NamesJson(BorrowersOf(state, name, holder))},
          {"ended", state.HasEnded(name, holder)},
          {"waits_for", NamesJson(OpenBorrowersOf(state, name, holder))}};
    }
    const DomainAllocation& allocation = state.account.domains.at(name);
    domains[name] = {{"allocated", allocation.allocated},
                     {"returned", allocation.returned},
                     {"spent", it.Spent()},
                     {"free", it.Free(allocation.allocated)},
                     {"holders", holders}};
  }
  return {{"budget", budget},
          {"paid", summary.paid},
          {"spent", summary.spent},
          {"granted", summary.outstanding},
          {"allocated_free", summary.allocated_free},
          {"free", summary.free},
          {"pending", std::max<std::int64_t>(-summary.free, 0)},
          {"stranded", summary.stranded},
          {"domains", domains}};
}

std::string BudgetReportText(const std::string& budget,
                             std::int64_t declared,
                             const BudgetState& state) {
  const BudgetSummary summary = SummarizeBudget(declared, state);
  const auto text = [](std::int64_t n) { return std::to_string(n); };
  std::string report =
      FormatTable({{"BUDGET", "PAID", "SPENT", "GRANTED", "IN DOMAINS", "FREE"},
                   {budget, text(summary.paid), text(summary.spent),
                    text(summary.outstanding), text(summary.allocated_free),
                    text(summary.free)}});
  TextRows rows = {{"DOMAIN", "HOLDER", "GRANTED", "SPENT", "GIVEN BACK",
                    "OUTSTANDING", "STATE"}};
  for (const auto& [name, it] : state.domains) {
    for (const auto& [holder, counters] : it.holders) {
      rows.push_back({name, holder, text(counters.granted),
                      text(counters.settled), text(counters.given_back),
                      text(counters.Outstanding()),
                      HolderStateText(state, name, holder)});
    }
  }
  if (rows.size() > 1)
    report += "\n" + FormatTable(rows);
  return report;
}

}  // namespace turmericwinch
