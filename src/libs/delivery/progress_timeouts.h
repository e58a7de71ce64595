// How long each phase of a call may make no progress.

#ifndef SRC_LIBS_DELIVERY_PROGRESS_TIMEOUTS_H_
#define SRC_LIBS_DELIVERY_PROGRESS_TIMEOUTS_H_

#include <chrono>
#include <cstdint>

namespace turmericwinch {

struct ProgressTimeouts {
  std::chrono::milliseconds connect{0};
  std::chrono::milliseconds first_byte{0};
  std::chrono::milliseconds between_tokens{0};
};

// Limits for a streamed answer to a prompt of at most `prompt_tokens` of which
// `left` of its deadline is left: a long prompt gets the time that a slow
// target needs to read it. A whole answer has only its deadline.
ProgressTimeouts StreamTimeouts(std::int64_t prompt_tokens,
                                std::chrono::milliseconds left);
ProgressTimeouts WholeAnswerTimeouts(std::chrono::milliseconds left);

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_PROGRESS_TIMEOUTS_H_
