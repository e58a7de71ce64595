// Timeouts for calls that make no progress.

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

// Timeouts for a streamed answer to a prompt of at most `prompt_tokens`, with
// `left` until the deadline. The first byte of a long prompt gets the
// additional time that a slow target needs to process the prompt.
ProgressTimeouts StreamTimeouts(std::int64_t prompt_tokens,
                                std::chrono::milliseconds left);

// Timeouts for an answer that is not streamed; only the deadline limits it.
ProgressTimeouts WholeAnswerTimeouts(std::chrono::milliseconds left);

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_PROGRESS_TIMEOUTS_H_
