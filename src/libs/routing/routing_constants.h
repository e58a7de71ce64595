// Constants of the routing library.

#ifndef SRC_LIBS_ROUTING_ROUTING_CONSTANTS_H_
#define SRC_LIBS_ROUTING_ROUTING_CONSTANTS_H_

#include <chrono>
#include <cstddef>

namespace turmericwinch {

// Prompt tokens that a target is taken to read in the time of one output
// token, until its answers have shown its speed.
inline constexpr double kPromptTokensPerOutputToken = 50;
// Weight of one answer in the moving averages.
inline constexpr double kSpeedWeight = 0.2;
// Weight of an answer that was slower than the estimate of the idle target.
inline constexpr double kSlowerWeight = 0.02;
// Shortest prompt that tells the speed of reading, in tokens.
inline constexpr double kLeastPromptForSpeed = 512;
// Time after which a learnt wait counts half.
inline constexpr std::chrono::milliseconds kWaitHalfLife{2'000};
// Time after which a load report counts half.
inline constexpr std::chrono::milliseconds kReportHalfLife{500};
// Output tokens that the choice weighs against the first token's time.
inline constexpr double kWeighedOutputTokens = 64;

// Seconds that a token counts which a target has to read although another one
// keeps it: it is read in 18 us at the usual speed, and delays the 16 requests
// that run at the target when a quarter of its 64 slots is taken.
inline constexpr double kReadAgainSeconds = 300e-6;

// Targets of one service and tier that a host follows.
inline constexpr std::size_t kFollowedTargets = 32;
// Followed targets that are compared for one request.
inline constexpr std::size_t kSampledTargets = 16;
// Seconds that a target in a near domain must be faster than one in the own:
// bytes between domains cost a hundredth of what a long request is worth.
inline constexpr double kNearSeconds = 0.01;
// Points of one target on the prefix ring, and targets tried from it.
inline constexpr int kRingPoints = 16;
inline constexpr std::size_t kRingTargets = 2;
// Prefixes that a host remembers, and targets remembered for each.
inline constexpr std::size_t kMostPrefixes = 8'192;
inline constexpr std::size_t kMostHolders = 4;
// Time after which a remembered prefix counts as gone.
inline constexpr std::chrono::seconds kPrefixAge{120};
// Share of a prefix that the home of its hash is taken to hold: other hosts
// send it there, and this one need not have seen it.
inline constexpr double kHomeShare = 0.95;

// Requests from one host at a newcomer that has not answered any yet.
inline constexpr double kNewcomerInFlight = 1;
// Time in which a newcomer comes to its full share: some first tokens of long
// prompts, which take up to 0.4 s at the slowest targets.
inline constexpr std::chrono::milliseconds kNewcomerStart{4'000};
// Good answers to one host after which it is no newcomer to it any more: the
// moving averages then rest by two thirds on answers.
inline constexpr double kNewcomerAnswers = 5;

// Failures in a row after which a target is ejected.
inline constexpr int kFailuresToEject = 3;
// First and longest ejection.
inline constexpr std::chrono::milliseconds kEjectionFirst{5'000};
inline constexpr std::chrono::milliseconds kEjectionMost{60'000};
// Pause after a refused connection.
inline constexpr std::chrono::milliseconds kRefusedPause{2'000};
// Time for which a target that said it leaves gets nothing.
inline constexpr std::chrono::milliseconds kLeavingHold{60'000};
// A service keeps at least this share of its targets of a tier.
inline constexpr std::size_t kLeastKeptPercent = 50;
// A target is slow when its wait is this many times the service's middle one
// and at least the least.
inline constexpr double kSlowFactor = 4;
inline constexpr double kSlowLeastSeconds = 1;
// Time in which a returning target comes back to its full share.
inline constexpr std::chrono::milliseconds kSlowStart{10'000};
// Smallest share of a returning target.
inline constexpr double kSlowStartLeast = 0.1;

// Requests that wait for a target of one service, in all and of one team.
inline constexpr std::size_t kMostWaiting = 512;
inline constexpr std::size_t kMostWaitingOfTeam = 128;
// Longest wait for a target.
inline constexpr std::chrono::milliseconds kMaxTargetWait{10'000};
// Prompt tokens that a team of share 1 may start in its turn.
inline constexpr double kTurnTokens = 256;

// A first token is late when it takes more than this many times what an idle
// target takes.
inline constexpr double kLateFactor = 1.1;
// Most by which a target's limit falls at once, of itself.
inline constexpr double kLimitFallMost = 0.2;
// Rise for a first token in time while several teams are active, against 1 when
// one is, each over the limit.
inline constexpr double kLimitRiseShared = 0.05;
// Share of the limit that is in use when a first token in time may raise it.
inline constexpr double kLimitUsedShare = 0.5;
// Share of the limit kept from teams above their share; at least one request.
inline constexpr double kLimitKeptShare = 0.125;
// Least limit of all hosts of a failure domain, of what is configured.
inline constexpr double kLimitLeastShare = 0.125;
// Share of the limit up to which a target counts as idle, the step of the
// learnt time, and the share of it below which a busy target corrects it, and
// by how much of the difference.
inline constexpr double kIdleLimitShare = 0.25;
inline constexpr double kIdleStep = 0.02;
inline constexpr double kIdleWrong = 0.8;
inline constexpr double kIdleCorrection = 0.5;
// The same step while the limit is below this share of what is configured.
inline constexpr double kIdleStepFallen = 0.0005;
inline constexpr double kIdleFallenShare = 0.5;
// Time for which a team counts as active after its last request.
inline constexpr std::chrono::seconds kTeamActive{60};

// Time whose allowance of a rate may be used at once.
inline constexpr std::chrono::duration<double> kRateBurst{1.0};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_ROUTING_CONSTANTS_H_
