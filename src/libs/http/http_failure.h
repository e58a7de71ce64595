// Why an HttpClient call failed, and in which phase.

#ifndef SRC_LIBS_HTTP_HTTP_FAILURE_H_
#define SRC_LIBS_HTTP_HTTP_FAILURE_H_

#include <string>

namespace turmericwinch {

// Phases of a call, in order.
enum class HttpPhase { kConnect, kSend, kFirstByte, kBody };

// Describes a failed call. `may_have_arrived` is false only if no byte of the
// request can have reached the server.
struct HttpFailure {
  HttpPhase phase = HttpPhase::kConnect;
  bool may_have_arrived = false;
  bool timed_out = false;
  std::string text;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_HTTP_HTTP_FAILURE_H_
