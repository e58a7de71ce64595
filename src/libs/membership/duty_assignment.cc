#include "libs/membership/duty_assignment.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "libs/base/digest.h"

namespace turmericwinch {

namespace {

constexpr double kHashRange = 18446744073709551616.0;

double ScoreOf(std::string_view duty, const Member& member) {
  const std::uint64_t hash = Hash64(duty, Hash64(member.name));
  const double uniform = (static_cast<double>(hash) + 0.5) / kHashRange;
  return std::max(1, member.weight) / -std::log(std::min(uniform, 1 - 1e-16));
}

}  // namespace

std::vector<std::string> SelectDutyHolders(std::string_view duty,
                                           const std::vector<Member>& members,
                                           std::size_t n) {
  std::vector<std::pair<double, std::string>> scores;
  for (const Member& it : members) {
    if (IsUsable(it))
      scores.emplace_back(-ScoreOf(duty, it), it.name);
  }
  std::sort(scores.begin(), scores.end());
  scores.resize(std::min(n, scores.size()));
  std::vector<std::string> names;
  for (auto& it : scores)
    names.push_back(std::move(it.second));
  return names;
}

}  // namespace turmericwinch
