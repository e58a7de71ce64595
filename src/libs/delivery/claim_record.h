// Stored form of the claim on a request that may run at most once.

#ifndef SRC_LIBS_DELIVERY_CLAIM_RECORD_H_
#define SRC_LIBS_DELIVERY_CLAIM_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericwinch {

// Recorded outcome of a claimed request.
enum class ClaimOutcome {
  // No outcome is recorded: the request is running, or its host failed.
  kOpen,
  // The request was sent, but no answer came.
  kUnknown,
  // The target answered.
  kDone,
};

// Times are UTC milliseconds. `status`, `content_type` and `answer` are set if
// the outcome is kDone; `answer` is absent if it was too long to keep.
struct ClaimRecord {
  std::string owner;
  std::string body_digest;
  std::int64_t started_ms = 0;
  std::int64_t deadline_ms = 0;
  ClaimOutcome outcome = ClaimOutcome::kOpen;
  int status = 0;
  std::string content_type;
  std::optional<std::string> answer;
};

inline constexpr char kClaimPrefix[] = "claim-";

// Name of the object that claims `key` of `team`; the same on all hosts.
std::string ClaimName(std::string_view team, std::string_view key);

// The idempotency key that is sent to targets for `key` of `team`. Keys of
// different teams never coincide.
std::string TargetKey(std::string_view team, std::string_view key);

// Formats `record` as JSON text.
std::string ToJson(const ClaimRecord& record);

// Parses JSON text; nullopt if it is not a claim.
std::optional<ClaimRecord> ParseClaimRecord(std::string_view text);

// Whether the claim is older than kClaimRetention and may be deleted.
bool IsExpired(const ClaimRecord& record, std::int64_t now_ms);

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_CLAIM_RECORD_H_
