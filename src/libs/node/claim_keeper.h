// Claims on requests that may run at most once, kept in the platform.

#ifndef SRC_LIBS_NODE_CLAIM_KEEPER_H_
#define SRC_LIBS_NODE_CLAIM_KEEPER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "libs/base/reason.h"
#include "libs/delivery/claim_session.h"
#include "libs/http/http_message.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// What is to be claimed: a request that `team` named `key`, whose content has
// the digest `body_digest` and which ends within `deadline`.
struct ClaimWish {
  std::string team;
  std::string key;
  std::string body_digest;
  std::chrono::milliseconds deadline{0};
};

// Answer to an attempt to claim a request: `held`, or `kept`, or a refusal.
// The answer of Find() has none of them (kOk) if there is no claim.
struct ClaimAnswer {
  std::optional<ClaimSession> held;
  std::optional<HttpResponse> kept;
  Reason reason;
  RanState ran = RanState::kNotRun;
};

// Counters for dumps.
struct ClaimFigures {
  // Claims whose end is still to be written, and the bytes of their answers.
  std::uint64_t unsettled = 0;
  std::uint64_t unsettled_bytes = 0;
  // Outcomes that were not written in time or for want of memory.
  std::uint64_t given_up = 0;
  // Old claims that were deleted.
  std::uint64_t swept = 0;
};

// Carries out what ClaimSession and ClaimSettlement decide. Runs on the
// control thread.
class ClaimKeeper {
 public:
  ClaimKeeper(boost::asio::io_context& control, PlatformClient& platform);
  ~ClaimKeeper();

  boost::asio::awaitable<ClaimAnswer> Take(ClaimWish wish);

  // Looks for a claim without making one.
  boost::asio::awaitable<ClaimAnswer> Find(ClaimWish wish);

  // Removes the claim of an attempt that sent nothing and never will.
  boost::asio::awaitable<void> Abandon(ClaimSession session);

  // Records the answer, or that there is none and never will be. Goes on in
  // the background if the platform does not take it soon.
  boost::asio::awaitable<void> Complete(ClaimSession session,
                                        std::optional<HttpResponse> response);
  // Records that the request was answered, but not how.
  boost::asio::awaitable<void> CompleteUnkept(ClaimSession session);

  // Deletes old claims, a part at a time, for as long as the host runs.
  boost::asio::awaitable<void> Sweep();

  // Safe from any thread.
  ClaimFigures Figures() const;

 private:
  class Private;
  std::shared_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_CLAIM_KEEPER_H_
