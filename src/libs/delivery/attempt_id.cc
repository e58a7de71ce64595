#include "libs/delivery/attempt_id.h"

namespace turmericwinch {

namespace {

constexpr char kSeparator = '.';

}  // namespace

std::string AttemptId(std::string_view run_id, int n) {
  std::string id(run_id);
  id += kSeparator;
  id += std::to_string(n);
  return id;
}

bool IsAttemptOf(std::string_view id, std::string_view run_id) {
  return !run_id.empty() && id.size() > run_id.size() &&
         id.starts_with(run_id) && id[run_id.size()] == kSeparator;
}

}  // namespace turmericwinch
