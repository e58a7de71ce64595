// The claim on a request that may run at most once, as the platform keeps it.

#ifndef SRC_LIBS_DELIVERY_CLAIM_RECORD_H_
#define SRC_LIBS_DELIVERY_CLAIM_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericwinch {

// What is known of the run of a claimed request.
enum class ClaimOutcome {
  // No outcome was recorded: the request runs, or its host is lost.
  kOpen,
  // The request was sent and its answer did not come.
  kUnknown,
  // The target answered.
  kDone,
};

// Times are UTC milliseconds. `status`, `content_type` and `answer` are set
// for kDone; `answer` is absent if it was too long to keep.
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

// Name of the object that claims `key` of `team`. All hosts find the same.
std::string ClaimName(std::string_view team, std::string_view key);

// The key that targets get for `key` of `team`: no other team's is the same.
std::string TargetKey(std::string_view team, std::string_view key);

// `record` as JSON text.
std::string ToJson(const ClaimRecord& record);

// Reads JSON text; nothing if it is no claim.
std::optional<ClaimRecord> ParseClaimRecord(std::string_view text);

// Whether the claim is older than kClaimRetention and may be deleted.
bool IsExpired(const ClaimRecord& record, std::int64_t now_ms);

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_CLAIM_RECORD_H_
