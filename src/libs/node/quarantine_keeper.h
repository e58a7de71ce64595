// Suspects, verdicts and the retry budget of a host, and their way to other
// hosts.

#ifndef SRC_LIBS_NODE_QUARANTINE_KEEPER_H_
#define SRC_LIBS_NODE_QUARANTINE_KEEPER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "libs/delivery/quarantine.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// Verdicts travel as objects quarantine-DIGEST in the platform; a faster way
// may be added by SetVerdictHook() and Learn(). All but Run() is safe from any
// thread.
class QuarantineKeeper {
 public:
  QuarantineKeeper(boost::asio::io_context& control, PlatformClient& platform);
  ~QuarantineKeeper();

  // `on_verdict` is called on the control thread with each verdict of this
  // host. Set before the traffic threads start.
  void SetVerdictHook(std::function<void(const QuarantineVerdict&)> on_verdict);
  void Learn(const QuarantineVerdict& verdict);

  bool IsQuarantined(const std::string& digest) const;
  void OnLost(const std::string& digest, const std::string& target);
  void OnAnswered(const std::string& digest);
  std::size_t suspects() const;

  // Counts a request's first attempt, and asks for one more attempt.
  void OnRequest();
  bool TakeRetry();

  // Reads verdicts of other hosts and deletes old ones, on the control thread.
  boost::asio::awaitable<void> Run();

 private:
  class Private;
  std::shared_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_QUARANTINE_KEEPER_H_
