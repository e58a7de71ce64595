// Request ids that are sent to targets.

#ifndef SRC_LIBS_DELIVERY_ATTEMPT_ID_H_
#define SRC_LIBS_DELIVERY_ATTEMPT_ID_H_

#include <string>
#include <string_view>

namespace turmericwinch {

// The id of attempt `n`, counted from 1, of the request with the host's
// internal id `run_id`. It is never sent to callers, who can't guess it if
// `run_id` is random.
std::string AttemptId(std::string_view run_id, int n);

// Whether `id` is the id of an attempt of the request `run_id`.
bool IsAttemptOf(std::string_view id, std::string_view run_id);

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_ATTEMPT_ID_H_
