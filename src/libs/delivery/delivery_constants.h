// Constants of the delivery library.

#ifndef SRC_LIBS_DELIVERY_DELIVERY_CONSTANTS_H_
#define SRC_LIBS_DELIVERY_DELIVERY_CONSTANTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace turmericwinch {

// Age of a claim, counted from before the call that created it, after which the
// request must not be sent for the first time.
inline constexpr std::chrono::milliseconds kClaimSendWindow{10'000};
// Attempts to read a claim that exists or whose creation has an unknown result.
inline constexpr int kMaxClaimReads = 3;
// Time for which a claim is kept.
inline constexpr std::chrono::hours kClaimRetention{24};
// Time after the deadline of an attempt during which the attempt still counts
// as in progress, because the clocks of two hosts differ.
inline constexpr std::chrono::milliseconds kClaimClockSlack{5'000};
// Bytes of the longest answer that is stored for retries.
inline constexpr std::size_t kMaxClaimAnswerBytes = 16 * 1024;
// Time for which a host keeps the answer to a chat with an idempotency key.
inline constexpr std::chrono::minutes kAnswerHold{5};
// Number and total bytes of these answers.
inline constexpr std::size_t kMaxKeptAnswers = 8'192;
inline constexpr std::size_t kMaxKeptAnswerBytes = 16 * 1024 * 1024;
// Chats with a key that a host tracks while they run.
inline constexpr std::size_t kMaxKeyedRuns = 4'096;
// Bytes of one answer that other requests can join, and of all such answers.
inline constexpr std::size_t kMaxSharedAnswerBytes = 1024 * 1024;
inline constexpr std::size_t kMaxSharedBytes = 48 * 1024 * 1024;
// First and longest delay before the write of an outcome is retried.
inline constexpr std::chrono::milliseconds kFirstSettleDelay{100};
inline constexpr std::chrono::milliseconds kMaxSettleDelay{30'000};
// Time after which the write of an outcome is given up.
inline constexpr std::chrono::minutes kSettleTimeout{15};
// Reads that must find no object before an abandoned claim counts as deleted:
// the call that creates it may still take effect.
inline constexpr int kSettleAbsentReads = 4;

// Time to connect to a target.
inline constexpr std::chrono::milliseconds kTargetConnectTimeout{500};
// Time to the first byte of a stream, without the time to process the prompt.
inline constexpr std::chrono::milliseconds kFirstByteTimeout{4'000};
// Time between two tokens of a stream.
inline constexpr std::chrono::milliseconds kBetweenTokensTimeout{3'000};
// Prompt tokens that the slowest target processes in a second.
inline constexpr std::int64_t kSlowestPrefillTokensPerSecond = 500;
// Time for a target to respond to a probe or a cancellation.
inline constexpr std::chrono::milliseconds kTargetProbeTimeout{1'000};
// Targets lost while they run the same request, after which it is refused.
inline constexpr int kLossesToQuarantine = 2;
// Requests that are lost on one target within this time count as lost together.
inline constexpr std::chrono::seconds kLostTogether{2};
// Notices of losses that a host may send to its peers at once, and the time
// after which it may send one more.
inline constexpr int kNoticeBurst = 16;
inline constexpr std::chrono::milliseconds kNoticeInterval{50};
// Time for which a request is refused if it was alone on a lost target, and if
// it never was.
inline constexpr std::chrono::milliseconds kQuarantineHold{600'000};
inline constexpr std::chrono::milliseconds kUncertainQuarantineHold{30'000};
// Time for which the losses of a request are kept. Longer than a quarantine, so
// that one more crash after its end renews it.
inline constexpr std::chrono::milliseconds kSuspectRetention =
    2 * kQuarantineHold;
// Difference between the ends of one verdict as different hosts know it.
inline constexpr std::chrono::milliseconds kSameVerdictSlack{5'000};
// Requests that are suspected or refused at the same time.
inline constexpr std::size_t kMaxSuspects = 4'096;

// Crashes of targets after which a prompt part, or a request that is lost
// together with others, is taken for the cause. One more than a request that is
// tried at two targets can cause.
inline constexpr std::size_t kCrashesToBlame = 3;
// Crashes, and requests lost in one crash, that a host keeps as evidence.
inline constexpr std::size_t kMaxRecordedCrashes = 64;
inline constexpr std::size_t kMaxLostRequests = 256;
// Duration of the first quarantine of a part. It doubles each time that further
// crashes renew it, up to kQuarantineHold.
inline constexpr std::chrono::milliseconds kFirstPartHold{120'000};
// Time after the first report of a crash in which the other hosts have reported
// it. Hosts notice broken connections at the same time.
inline constexpr std::chrono::milliseconds kCrashReportTime{100};
// Time for which a crash is kept, and a verdict after its quarantine. Longer
// than a quarantine, so that one more crash after its end renews it.
inline constexpr std::chrono::milliseconds kCrashRetention =
    2 * kQuarantineHold;
// Parts that are quarantined at the same time.
inline constexpr std::size_t kMaxQuarantinedParts = 256;
// Answered parts that a host remembers, and the time for which it remembers an
// answer.
inline constexpr std::size_t kMaxAnsweredParts = 16'384;
inline constexpr std::chrono::milliseconds kAnsweredPartHold{600'000};

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_DELIVERY_CONSTANTS_H_
