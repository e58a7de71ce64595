#include "apps/measure_budget/checked_bucket.h"

#include <sstream>

namespace turmericwinch {

namespace {

constexpr std::size_t kMaxRememberedWrites = 64;

}  // namespace

std::string CheckedBucket::ToText() const {
  std::ostringstream text;
  for (const auto& [name, it] : budgets)
    text << name << ' ' << it.reserved << ' ' << it.spent << '\n';
  text << "writes";
  const std::size_t first = writes.size() > kMaxRememberedWrites
                                ? writes.size() - kMaxRememberedWrites
                                : 0;
  for (std::size_t n = first; n < writes.size(); ++n)
    text << ' ' << writes[n];
  return text.str();
}

CheckedBucket CheckedBucket::Parse(std::string_view text) {
  CheckedBucket bucket;
  std::istringstream stream{std::string(text)};
  std::string word;
  while (stream >> word && word != "writes") {
    CheckedBudget& it = bucket.budgets[word];
    stream >> it.reserved >> it.spent;
  }
  while (stream >> word)
    bucket.writes.push_back(word);
  return bucket;
}

}  // namespace turmericwinch
