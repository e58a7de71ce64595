#include "libs/operations/budget_report.h"

#include <algorithm>

#include "libs/operations/text_table.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

struct BudgetFigures {
  std::int64_t paid = 0;
  std::int64_t spent = 0;
  std::int64_t outstanding = 0;
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
  }
  figures.free = figures.paid - figures.spent - figures.outstanding -
                 figures.allocated_free;
  return figures;
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
      holders[holder] = {{"granted", counters.granted},
                         {"settled", counters.settled},
                         {"given_back", counters.given_back},
                         {"outstanding", counters.Outstanding()}};
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
  TextRows rows = {
      {"DOMAIN", "HOLDER", "GRANTED", "SPENT", "GIVEN BACK", "OUTSTANDING"}};
  for (const auto& [name, it] : state.domains) {
    for (const auto& [holder, counters] : it.holders) {
      rows.push_back({name, holder, text(counters.granted),
                      text(counters.settled), text(counters.given_back),
                      text(counters.Outstanding())});
    }
  }
  if (rows.size() > 1)
    report += "\n" + FormatTable(rows);
  return report;
}

}  // namespace turmericwinch
