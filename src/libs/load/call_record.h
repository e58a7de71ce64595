// What became of one request, as its caller saw it.

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
enum class CallEnd { kAnswered, kNotRun, kUnknown };

std::string_view NameOf(CallKind kind);
std::string_view NameOf(CallEnd end);
bool IsChat(CallKind kind);

// Times count from the start of the run; `gaps` are the times between the
// pieces of a streamed answer. `tokens` is the usage that the caller saw, for
// chats. `host` is the entry host that answered last, `hosts` are all that were
// asked. `replayed`: the answer was said to be that of an earlier request.
struct CallRecord {
  std::string id;
  CallKind kind = CallKind::kRead;
  CallEnd end = CallEnd::kUnknown;
  std::string host;
  std::vector<std::string> hosts;
  bool replayed = false;
  std::string result;
  std::int64_t tokens = 0;
  int attempts = 0;
  std::chrono::microseconds start{0};
  std::chrono::microseconds first_byte{0};
  std::chrono::microseconds whole{0};
  std::vector<std::chrono::microseconds> gaps;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_LOAD_CALL_RECORD_H_
