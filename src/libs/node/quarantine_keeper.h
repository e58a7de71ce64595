// Suspects, verdicts and the retry budget of a host, and their way to other
// hosts.

#ifndef SRC_LIBS_NODE_QUARANTINE_KEEPER_H_
#define SRC_LIBS_NODE_QUARANTINE_KEEPER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "libs/delivery/quarantine.h"
#include "libs/peer/peer_frame.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

class FleetKeeper;

// Losses, answers to suspects and verdicts go to the hosts of the own domain
// and to kNoticeRelays hosts of each other one, which pass them on. Verdicts
// are also objects quarantine-DIGEST in the platform, which one host of each
// domain reads, for domains that don't reach each other. All but Run() and
// Receive() is safe from any thread.
class QuarantineKeeper {
 public:
  QuarantineKeeper(boost::asio::io_context& control,
                   PlatformClient& platform,
                   FleetKeeper& fleet,
                   std::string failure_domain);
  ~QuarantineKeeper();

  // Takes a peer's notice; false if `frame` is none.
  bool Receive(const PeerFrame& frame);

  // Digest of a request of `team`, for the calls below. Not needed for asking
  // where there are no suspects.
  static std::string DigestOf(std::string_view team, std::string_view text);
  bool HasSuspects() const;
  bool IsQuarantined(const std::string& digest) const;
  void OnLost(const std::string& digest, const std::string& target);
  void OnAnswered(const std::string& digest);
  std::size_t suspects() const;
  // Notices that were not sent, to bound what peers are told.
  std::uint64_t unsent_notices() const;

  // Counts a request's first attempt, and asks for one more attempt.
  void OnRequest();
  bool TakeRetry();

  // Reads verdicts of other domains and deletes old ones if this host has that
  // duty, on the control thread.
  boost::asio::awaitable<void> Run();

 private:
  class Private;
  std::shared_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_QUARANTINE_KEEPER_H_
