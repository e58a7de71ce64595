// The platform object of a bucket under the policy that checks every request.

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

// `writes` holds the ids of the last writes, so that a host can tell whether a
// write whose answer was lost took effect.
struct CheckedBucket {
  std::map<std::string, CheckedBudget> budgets;
  std::deque<std::string> writes;

  std::string ToText() const;
  static CheckedBucket Parse(std::string_view text);
};

// Prefix of the object name; the bucket number follows.
inline constexpr char kCheckedPrefix[] = "checked-";

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_CHECKED_BUCKET_H_
