#include "libs/operations/budget_report.h"

#include <algorithm>
#include <set>

#include "libs/operations/text_table.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

struct BudgetFigures {
  std::int64_t paid = 0;
  std::int64_t spent = 0;
  std::int64_t outstanding = 0;
  // The part of it at holders that have ended.
  std::int64_t stranded = 0;
  std::int64_t allocated_free = 0;
  std::int64_t free = 0;
};

// The configured size counts until a host has taken it over.
BudgetFigures FiguresOf(std::int64_t declared, const BudgetState& state) {
  BudgetFigures figures;
  figures.paid = AddSaturated(declared, state.account.topped_up);
  figures.spent = state.Spent();
  figures.outstanding = state.Outstanding();
  for (const auto& [name, it] : state.domains) {
    const DomainAllocation& allocation = state.account.domains.at(name);
    figures.allocated_free += it.Free(allocation.allocated);
    for (const auto& [holder, counters] : it.holders) {
      if (state.HasEnded(name, holder))
        figures.stranded += counters.Outstanding();
    }
  }
  figures.free = figures.paid - figures.spent - figures.outstanding -
                 figures.allocated_free;
  return figures;
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

std::set<std::string> WaitsFor(const BudgetState& state,
                               const std::string& domain,
                               const std::string& holder) {
  return state.HasEnded(domain, holder) ? state.WaitsFor(domain, holder)
                                        : std::set<std::string>();
}

json::array NamesJson(const std::set<std::string>& names) {
  json::array array;
  for (const std::string& it : names)
    array.emplace_back(it);
  return array;
}

// Why the holder's outstanding tokens lie there.
std::string StateText(const BudgetState& state,
                      const std::string& domain,
                      const std::string& holder) {
  const std::set<std::string> borrowers = BorrowersOf(state, domain, holder);
  if (!state.HasEnded(domain, holder)) {
    return borrowers.empty()
               ? "not ended"
               : "may lend to " + std::to_string(borrowers.size());
  }
  std::string text;
  for (const std::string& it : WaitsFor(state, domain, holder))
    text += (text.empty() ? "ended, waits for " : " ") + it;
  return text.empty() ? "ended, closes soon" : text;
}

}  // namespace

json::object BudgetReportJson(const std::string& budget,
                              std::int64_t declared,
                              const BudgetState& state) {
  const BudgetFigures figures = FiguresOf(declared, state);
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
          {"waits_for", NamesJson(WaitsFor(state, name, holder))}};
    }
    const DomainAllocation& allocation = state.account.domains.at(name);
    domains[name] = {{"allocated", allocation.allocated},
                     {"returned", allocation.returned},
                     {"spent", it.Spent()},
                     {"free", it.Free(allocation.allocated)},
                     {"holders", holders}};
  }
  return {{"budget", budget},
          {"paid", figures.paid},
          {"spent", figures.spent},
          {"granted", figures.outstanding},
          {"allocated_free", figures.allocated_free},
          {"free", figures.free},
          {"pending", std::max<std::int64_t>(-figures.free, 0)},
          {"stranded", figures.stranded},
          {"domains", domains}};
}

std::string BudgetReportText(const std::string& budget,
                             std::int64_t declared,
                             const BudgetState& state) {
  const BudgetFigures figures = FiguresOf(declared, state);
  const auto text = [](std::int64_t n) { return std::to_string(n); };
  std::string report =
      FormatTable({{"BUDGET", "PAID", "SPENT", "GRANTED", "IN DOMAINS", "FREE"},
                   {budget, text(figures.paid), text(figures.spent),
                    text(figures.outstanding), text(figures.allocated_free),
                    text(figures.free)}});
  TextRows rows = {{"DOMAIN", "HOLDER", "GRANTED", "SPENT", "GIVEN BACK",
                    "OUTSTANDING", "STATE"}};
  for (const auto& [name, it] : state.domains) {
    for (const auto& [holder, counters] : it.holders) {
      rows.push_back({name, holder, text(counters.granted),
                      text(counters.settled), text(counters.given_back),
                      text(counters.Outstanding()),
                      StateText(state, name, holder)});
    }
  }
  if (rows.size() > 1)
    report += "\n" + FormatTable(rows);
  return report;
}

}  // namespace turmericwinch
