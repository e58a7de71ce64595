// Ids under which targets get requests.

#ifndef SRC_LIBS_DELIVERY_ATTEMPT_ID_H_
#define SRC_LIBS_DELIVERY_ATTEMPT_ID_H_

#include <string>
#include <string_view>

namespace turmericwinch {

// The id of attempt `n`, from 1, at the request that this host calls `run_id`.
// Callers never see it, and can't guess it if `run_id` is random.
std::string AttemptId(std::string_view run_id, int n);

// Whether `id` names an attempt at the request `run_id`.
bool IsAttemptOf(std::string_view id, std::string_view run_id);

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_ATTEMPT_ID_H_
