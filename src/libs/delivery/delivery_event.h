// Events of request delivery that are counted in metrics.

#ifndef SRC_LIBS_DELIVERY_DELIVERY_EVENT_H_
#define SRC_LIBS_DELIVERY_DELIVERY_EVENT_H_

#include <string_view>

namespace turmericwinch {

enum class DeliveryEvent {
  // An answer or event carried the id of another request.
  kCrossedAnswer,
  // An answer or event came from an earlier attempt of the same request.
  kLateAnswer,
  // An answer or event was not valid JSON of the protocol, or had no usage.
  kMalformedAnswer,
  // A connection made no progress while its target answered a probe.
  kSilentConnection,
  // A target made no progress and did not answer a probe.
  kSilentTarget,
  // A stream was continued after it broke.
  kResumedStream,
  // A stream was cancelled at its engine because its caller disconnected.
  kCancelledStream,
  // A request got the answer of an earlier request with the same key.
  kJoinedAnswer,
};
inline constexpr int kDeliveryEvents = 8;

// Name of `event` in metrics, such as "crossed_answer".
std::string_view NameOf(DeliveryEvent event);

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_DELIVERY_EVENT_H_
