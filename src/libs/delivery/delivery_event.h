// Events of delivery that are counted as metrics.

#ifndef SRC_LIBS_DELIVERY_DELIVERY_EVENT_H_
#define SRC_LIBS_DELIVERY_DELIVERY_EVENT_H_

#include <string_view>

namespace turmericwinch {

enum class DeliveryEvent {
  // An answer or event that carries another request's id.
  kCrossedAnswer,
  // An answer of an earlier attempt at the same request.
  kLateAnswer,
  // An answer that is not the JSON it should be, or has no usage.
  kMalformedAnswer,
  // A connection made no progress while its target answered a probe.
  kSilentConnection,
  // A target made no progress and did not answer a probe.
  kSilentTarget,
  // A stream was continued after it broke.
  kResumedStream,
  // A stream was cancelled at its engine since its caller was gone.
  kCancelledStream,
  // A request was given the answer of an earlier one with its key.
  kJoinedAnswer,
};
inline constexpr int kDeliveryEvents = 8;

// Name of `event` in metrics, such as "crossed_answer".
std::string_view NameOf(DeliveryEvent event);

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_DELIVERY_EVENT_H_
