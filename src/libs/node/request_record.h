// Record of how one request was handled, shown by `winch explain`.

#ifndef SRC_LIBS_NODE_REQUEST_RECORD_H_
#define SRC_LIBS_NODE_REQUEST_RECORD_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "libs/base/result_code.h"

namespace turmericwinch {

// One attempt on a target. `failure` is empty if the target answered.
struct AttemptRecord {
  std::string target;
  std::string failure;
};

// Filled by the handlers of one request, on its traffic thread.
struct RequestRecord {
  // The id for the caller, and the id from which the attempts' ids are made.
  std::string request_id;
  std::string run_id;
  std::string target;
  std::string team;
  std::string service;
  std::string budget;
  std::uint64_t generation = 0;
  std::int64_t reserved_tokens = 0;
  std::int64_t billed_tokens = 0;
  std::vector<AttemptRecord> attempts;
  ResultCode result = ResultCode::kOk;
  std::string reason;
  std::chrono::nanoseconds elapsed{0};
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_REQUEST_RECORD_H_
