// Quarantine state and retry budget of a host, and their exchange with other
// hosts.

#ifndef SRC_LIBS_NODE_QUARANTINE_MANAGER_H_
#define SRC_LIBS_NODE_QUARANTINE_MANAGER_H_

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

class FleetManager;

// Sends a notice of each lost target, of each answered suspect and of each
// verdict to the hosts of the own failure domain and to kNoticeRelays hosts of
// each other domain, which relay it within theirs. Verdicts are also stored in
// the platform as objects quarantine-DIGEST; one host of each domain reads them
// there, for domains that cannot reach each other. All methods except Run() and
// HandleFrame() are safe from any thread.
class QuarantineManager {
 public:
  QuarantineManager(boost::asio::io_context& control,
                    PlatformClient& platform,
                    FleetManager& fleet,
                    std::string failure_domain);
  ~QuarantineManager();

  // Handles a notice from a peer. False if `frame` is not a quarantine notice.
  bool HandleFrame(const PeerFrame& frame);

  // Digest of the request `text` of `team`, for the methods below. Callers can
  // skip it for IsQuarantined() while HasSuspects() is false.
  static std::string RequestDigest(std::string_view team,
                                   std::string_view text);
  bool HasSuspects() const;
  bool IsQuarantined(const std::string& digest) const;
  void OnLost(const std::string& digest, const std::string& target);
  void OnAnswered(const std::string& digest);
  std::size_t suspects() const;
  // Notices that were not sent because of the rate limit.
  std::uint64_t unsent_notices() const;

  // OnRequest() counts a request's first attempt; TakeRetry() asks whether the
  // retry budget allows one more attempt.
  void OnRequest();
  bool TakeRetry();

  // Reads the verdicts of other domains and deletes expired ones while this
  // host holds that duty. Runs on the control thread.
  boost::asio::awaitable<void> Run();

 private:
  class Private;
  std::shared_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_QUARANTINE_MANAGER_H_
