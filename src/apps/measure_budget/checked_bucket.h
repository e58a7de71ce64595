// The platform's object of a bucket when every request is checked there.

#ifndef SRC_APPS_MEASURE_BUDGET_CHECKED_BUCKET_H_
#define SRC_APPS_MEASURE_BUDGET_CHECKED_BUCKET_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace turmericwinch {

// Tokens of one budget.
struct CheckedBudget {
  std::int64_t reserved = 0;
  std::int64_t spent = 0;
};

// `writes` names the last writes, so that one whose answer was lost is found.
struct CheckedBucket {
  std::map<std::string, CheckedBudget> budgets;
  std::deque<std::string> writes;

  std::string ToText() const;
  static CheckedBucket Of(std::string_view text);
};

// Prefix of the object's name; the bucket follows.
inline constexpr char kCheckedPrefix[] = "checked-";

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_CHECKED_BUCKET_H_
