// Constants of the delivery library.

#ifndef SRC_LIBS_DELIVERY_DELIVERY_CONSTANTS_H_
#define SRC_LIBS_DELIVERY_DELIVERY_CONSTANTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace turmericwinch {

// Age, counted from before it was asked for, above which a claim must not be
// followed by a first send.
inline constexpr std::chrono::milliseconds kClaimSendWindow{10'000};
// Readings of a claim whose creation is in doubt.
inline constexpr int kClaimReads = 3;
// Time for which a key is remembered.
inline constexpr std::chrono::hours kClaimRetention{24};
// Time after the end of a key's attempt during which it counts as in progress
// although the clocks of two hosts differ.
inline constexpr std::chrono::milliseconds kClaimClockSlack{5'000};
// Bytes of the longest answer that is kept for retries.
inline constexpr std::size_t kMaxClaimAnswerBytes = 16 * 1024;
// Time for which a host keeps the answer to a chat with a key, how many and how
// many bytes of them, and how many of these chats it runs at the same time.
inline constexpr std::chrono::minutes kAnswerHold{5};
inline constexpr std::size_t kMostKeptAnswers = 8'192;
inline constexpr std::size_t kMostKeptAnswerBytes = 16 * 1024 * 1024;
inline constexpr std::size_t kMostKeyedRuns = 4'096;
// Bytes of one answer that others can join, and of all of them.
inline constexpr std::size_t kMaxSharedAnswerBytes = 1024 * 1024;
inline constexpr std::size_t kMaxSharedBytes = 48 * 1024 * 1024;
// First and longest pause before an outcome is written again, and the time
// after which it is given up.
inline constexpr std::chrono::milliseconds kSettlePauseFirst{100};
inline constexpr std::chrono::milliseconds kSettlePauseMost{30'000};
inline constexpr std::chrono::minutes kSettleMost{15};
// Readings for a claim that may still be created after it was given up.
inline constexpr int kSettleAbsentReads = 4;

// Time to connect to a target.
inline constexpr std::chrono::milliseconds kTargetConnectTimeout{500};
// Time without progress before the first byte, beyond that for the prompt, and
// between two tokens.
inline constexpr std::chrono::milliseconds kFirstByteTimeout{4'000};
inline constexpr std::chrono::milliseconds kBetweenTokensTimeout{3'000};
// Prompt tokens that the slowest target reads in a second.
inline constexpr std::int64_t kSlowestPrefillTokensPerSecond = 500;
// Time for a target to answer a probe or a cancellation.
inline constexpr std::chrono::milliseconds kTargetProbeTimeout{1'000};
// Targets lost with the same request in flight before it is refused.
inline constexpr int kLossesToQuarantine = 2;
// Time within which requests lost on one target were lost together.
inline constexpr std::chrono::seconds kLostTogether{2};
// Losses that a host tells its peers at once, and the time that earns one more.
inline constexpr int kNoticeBurst = 16;
inline constexpr std::chrono::milliseconds kNoticeInterval{50};
// Time for which a request is refused: alone on its lost targets, or not.
inline constexpr std::chrono::milliseconds kQuarantineHold{600'000};
inline constexpr std::chrono::milliseconds kQuarantineDoubtHold{30'000};
// Requests that are suspected or refused at the same time.
inline constexpr std::size_t kMostSuspects = 4'096;

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_DELIVERY_CONSTANTS_H_
