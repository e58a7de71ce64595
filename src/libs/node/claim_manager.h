// Claims on requests that may run at most once, stored in the platform.

#ifndef SRC_LIBS_NODE_CLAIM_MANAGER_H_
#define SRC_LIBS_NODE_CLAIM_MANAGER_H_

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

// The request to claim: `team` sent it with the idempotency key `key`, its
// content has the digest `body_digest`, and it ends within `deadline`.
struct ClaimRequest {
  std::string team;
  std::string key;
  std::string body_digest;
  std::chrono::milliseconds deadline{0};
};

// Result of claiming a request: the `session` of a claim that this call holds,
// or the `stored_response` of an earlier run, or the `reason` of a refusal.
// Find() returns none of them (reason kOk) if there is no claim.
struct ClaimResult {
  std::optional<ClaimSession> session;
  std::optional<HttpResponse> stored_response;
  Reason reason;
  RanState ran = RanState::kNotRun;
};

// Counters for the state dump.
struct ClaimStats {
  // Claims whose outcome is not written yet, and the bytes of their answers.
  std::uint64_t unsettled = 0;
  std::uint64_t unsettled_bytes = 0;
  // Outcomes that were dropped: not written in time, or too many were pending.
  std::uint64_t given_up = 0;
  // Expired claims that were deleted.
  std::uint64_t swept = 0;
};

// Makes the platform calls that ClaimSession and ClaimSettlement decide on.
// Runs on the control thread.
class ClaimManager {
 public:
  ClaimManager(boost::asio::io_context& control, PlatformClient& platform);
  ~ClaimManager();

  boost::asio::awaitable<ClaimResult> Acquire(ClaimRequest request);

  // Looks up a claim without creating one.
  boost::asio::awaitable<ClaimResult> Find(ClaimRequest request);

  // Removes the claim of an attempt that has sent nothing and never will.
  boost::asio::awaitable<void> Abandon(ClaimSession session);

  // Records the response, or that the outcome is unknown and stays so. Goes on
  // in the background if the platform does not confirm it within
  // kClaimSettleTimeout.
  boost::asio::awaitable<void> Complete(ClaimSession session,
                                        std::optional<HttpResponse> response);
  // Records that the request was answered, without the response.
  boost::asio::awaitable<void> CompleteWithoutResponse(ClaimSession session);

  // Deletes expired claims, a part of them at a time, while the host runs.
  boost::asio::awaitable<void> RunExpirySweep();

  // Safe from any thread.
  ClaimStats Stats() const;

 private:
  class Private;
  std::shared_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_CLAIM_MANAGER_H_
