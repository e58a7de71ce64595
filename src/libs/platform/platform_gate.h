// Delays calls to the platform until the limiter lets them start.

#ifndef SRC_LIBS_PLATFORM_PLATFORM_GATE_H_
#define SRC_LIBS_PLATFORM_PLATFORM_GATE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>

#include "libs/platform/platform_limiter.h"

namespace turmericwinch {

// Used only from its io_context's thread.
class PlatformGate {
 public:
  // Parameters as for PlatformLimiter, whose seed is random.
  PlatformGate(boost::asio::io_context& context,
               PlatformRates fleet,
               std::size_t hosts);
  ~PlatformGate();

  // Waits until the call may start. Returns false with the limiter's reason if
  // it may not start; nothing was sent then. The caller must call Leave() once
  // for each true.
  boost::asio::awaitable<bool> Enter(PlatformDuty duty,
                                     PlatformCallKind kind,
                                     Reason* reason);
  void Leave(bool answered);
  void SetHosts(std::size_t hosts);
  void SetProbingHosts(std::size_t hosts);
  const PlatformLimiter& limiter() const;

 private:
  class Private;
  std::shared_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_PLATFORM_PLATFORM_GATE_H_
