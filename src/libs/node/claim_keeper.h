// Claims on requests that may run at most once, kept in the platform.

#ifndef SRC_LIBS_NODE_CLAIM_KEEPER_H_
#define SRC_LIBS_NODE_CLAIM_KEEPER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "libs/base/reason.h"
#include "libs/http/http_message.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// A claim held by this host. `owner` tells its own claims from others'.
struct Claim {
  std::string name;
  std::string owner;
  std::uint64_t version = 0;
};

// Answer to an attempt to claim a request: exactly one of `claim` and `kept`,
// or neither with a reason.
struct ClaimAnswer {
  std::optional<Claim> claim;
  std::optional<HttpResponse> kept;
  Reason reason;
  RanState ran = RanState::kNotRun;
};

// A claim is created in the platform before the request is sent, and never
// taken over: a request whose claim exists without an outcome is `unknown`.
// Runs on the control thread.
class ClaimKeeper {
 public:
  explicit ClaimKeeper(PlatformClient& platform);

  // Claims the request that `team` named `key` and whose content has the
  // digest `body_digest`.
  boost::asio::awaitable<ClaimAnswer> Take(std::string team,
                                           std::string key,
                                           std::string body_digest);

  // Records that nothing reached a target, so that the key may be used again.
  boost::asio::awaitable<void> Abandon(Claim claim);

  // Records the outcome. Answers are kept if they are short enough.
  boost::asio::awaitable<void> Complete(Claim claim,
                                        std::string body_digest,
                                        HttpResponse response);

 private:
  PlatformClient& platform_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_CLAIM_KEEPER_H_
