// The record of one request from its caller's point of view.

#ifndef SRC_LIBS_LOAD_CALL_RECORD_H_
#define SRC_LIBS_LOAD_CALL_RECORD_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwinch {

enum class CallKind { kStreamedChat, kWholeChat, kWrite, kRead };

// kNotRun: every attempt was refused with "not_run" or did not reach a host.
// kUnknown: at least one attempt may have run, and none was answered.
enum class CallOutcome { kAnswered, kNotRun, kUnknown };

std::string_view NameOf(CallKind kind);
std::string_view NameOf(CallOutcome outcome);
bool IsChat(CallKind kind);

// `start` counts from the start of the run, `first_byte` from the start of the
// last attempt and `total_time` from the start of the first attempt. `gaps` are
// the times between the pieces of a streamed answer. `tokens` is the token
// usage that the answer to a chat reports. `host` is the entry host of the last
// attempt, `hosts` are those of all attempts. `replayed`: the answer was marked
// as the stored answer of an earlier request with the same key.
struct CallRecord {
  std::string id;
  CallKind kind = CallKind::kRead;
  CallOutcome outcome = CallOutcome::kUnknown;
  std::string host;
  std::vector<std::string> hosts;
  bool replayed = false;
  std::string result;
  std::int64_t tokens = 0;
  int attempts = 0;
  std::chrono::microseconds start{0};
  std::chrono::microseconds first_byte{0};
  std::chrono::microseconds total_time{0};
  std::vector<std::chrono::microseconds> gaps;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_LOAD_CALL_RECORD_H_
