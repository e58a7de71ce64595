// Constants of the routing library.

#ifndef SRC_LIBS_ROUTING_ROUTING_CONSTANTS_H_
#define SRC_LIBS_ROUTING_ROUTING_CONSTANTS_H_

#include <chrono>
#include <cstddef>

namespace turmericwinch {

// Prompt tokens that a target is assumed to process in the time of one output
// token, until its answers have shown its speed.
inline constexpr double kPromptTokensPerOutputToken = 50;
// Weight of a new sample in the moving averages.
inline constexpr double kMovingAverageWeight = 0.2;
// Weight of a sample that is slower than the estimate of the idle target's
// prompt speed.
inline constexpr double kSlowerSampleWeight = 0.02;
// Weight of a new request in the moving average of the prompt lengths.
inline constexpr double kPromptAverageWeight = 0.02;
// Prompt length, in tokens, from which a request is used to measure the prompt
// speed.
inline constexpr double kMinPromptTokensForSpeed = 512;
// Half-life of a measured wait.
inline constexpr std::chrono::milliseconds kWaitHalfLife{2'000};
// Half-life of a load report.
inline constexpr std::chrono::milliseconds kReportHalfLife{500};
// Half-life of the average of the speeds that a target reports.
inline constexpr std::chrono::milliseconds kSpeedAverageHalfLife{100};
// Largest weight of one reported speed: a single one may be an outlier.
inline constexpr double kMaxSpeedReportWeight = 0.5;
// Bounds of a reported time of work, as a multiple of the usual time.
inline constexpr double kMinReportedSpeed = 0.25;
inline constexpr double kMaxReportedSpeed = 10;
// Bounds of the factor by which reports change the expected time of work. All
// hosts read the same report, so one of a fast target must not draw them all;
// one of a slow target must leave it requests that measure it.
inline constexpr double kMinSpeedFactor = 0.67;
inline constexpr double kMaxSpeedFactor = 4;
// Fraction of its largest output that a request is counted with at a target's
// memory. Output grows while the request runs, so that one that produces all of
// it holds half on average, and most end earlier: counting all of it would
// leave memory idle.
inline constexpr double kHeldOutputFraction = 0.5;
// Half-life of the estimate of other hosts' tokens at a target. Without new
// reports it falls in about the time in which such requests end.
inline constexpr std::chrono::milliseconds kMemoryReportHalfLife{8'000};
// Largest fraction of a target's memory that its cost takes into account.
inline constexpr double kMaxCostMemoryFraction = 0.95;
// Time after which a request that waits for memory is tried again while the
// estimate of other hosts' tokens falls.
inline constexpr std::chrono::milliseconds kMemoryCheckInterval{100};
// Output tokens whose time is added to that of the first token when targets are
// compared.
inline constexpr double kWeighedOutputTokens = 64;

// Cost of each prefix token that a target has to process although another one
// has it cached: the token takes 18 us at the usual speed, and delays the 16
// requests that run at a target when a quarter of its 64 slots is used.
inline constexpr double kPrefillAgainSecondsPerToken = 300e-6;

// Targets of one service and tier in a host's subset.
inline constexpr std::size_t kSubsetSize = 32;
// Targets of the subset that are compared for one request.
inline constexpr std::size_t kSampledTargets = 16;
// Time by which a target in a near domain must be faster than one in the own
// domain: traffic between domains costs a hundredth of the value of a long
// request.
inline constexpr double kNearDomainPenaltySeconds = 0.01;
// Points of one target on the prefix ring.
inline constexpr int kRingPointsPerTarget = 16;
// Targets that the ring gives for one prefix.
inline constexpr std::size_t kRingTargetsPerPrefix = 2;
// Prefixes that a host remembers, and targets that it remembers for each.
inline constexpr std::size_t kMaxPrefixes = 8'192;
inline constexpr std::size_t kMaxTargetsPerPrefix = 4;
// Time after which a prefix is assumed to have left a target's cache.
inline constexpr std::chrono::seconds kPrefixLifetime{120};
// Fraction of a prefix that the ring targets are assumed to have cached: other
// hosts send the prefix there too, which this host can't see.
inline constexpr double kRingCachedFraction = 0.95;

// Requests that one host may have in flight at a new target that has not
// answered any request yet.
inline constexpr double kNewTargetMaxInFlight = 1;
// Time in which a new target reaches its full weight: several first tokens of
// long prompts, which take up to 0.4 s at the slowest targets.
inline constexpr std::chrono::milliseconds kNewTargetSlowStart{4'000};
// Good answers to one host after which it gives a new target its full weight:
// answers then make up two thirds of the moving averages.
inline constexpr double kNewTargetAnswers = 5;

// Consecutive failures after which a target is ejected.
inline constexpr int kFailuresToEject = 3;
// Duration of the first ejection, and the maximum after doubling.
inline constexpr std::chrono::milliseconds kFirstEjection{5'000};
inline constexpr std::chrono::milliseconds kMaxEjection{60'000};
// Pause after a refused connection.
inline constexpr std::chrono::milliseconds kRefusedPause{2'000};
// Time for which a target that announced that it is leaving gets no requests.
inline constexpr std::chrono::milliseconds kLeavingHold{60'000};
// Percentage of a service's targets in a tier that ejections must leave.
inline constexpr std::size_t kMinKeptPercent = 50;
// A target is slow when its wait exceeds the median wait of its service by this
// factor, and exceeds the minimum.
inline constexpr double kSlowFactor = 4;
inline constexpr double kMinSlowSeconds = 1;
// Time in which a returning target reaches its full weight.
inline constexpr std::chrono::milliseconds kSlowStart{10'000};
// Initial weight of a returning or new target.
inline constexpr double kMinSlowStartWeight = 0.1;

// Queued requests of one service, in total and of one team.
inline constexpr std::size_t kMaxQueued = 512;
inline constexpr std::size_t kMaxQueuedPerTeam = 128;
// Longest wait for a target.
inline constexpr std::chrono::milliseconds kMaxTargetWait{10'000};
// Prompt tokens that a team of share 1 may start in each round of the queue.
inline constexpr double kQuantumTokens = 256;

// A first token is late when it takes longer than at an idle target by this
// factor.
inline constexpr double kLateFactor = 1.1;
// Largest fraction of a concurrency limit by which one decrease lowers it.
inline constexpr double kMaxLimitDecrease = 0.2;
// Increase for a timely first token while several teams are active, divided by
// the limit. While one team is active, the increase is 1 divided by the limit.
inline constexpr double kSharedLimitIncrease = 0.05;
// Fraction of the limit that must be in use for a timely first token to raise
// the limit.
inline constexpr double kLimitUsedFraction = 0.5;
// Fraction of the limit, at least one request, that is reserved for teams below
// their share.
inline constexpr double kReservedLimitFraction = 0.125;
// Lower bound for the sum of the hosts' limits of a target, as a fraction of
// the configured limit.
inline constexpr double kMinLimitFraction = 0.125;
// A target counts as idle when at most this fraction of the limit is in flight.
inline constexpr double kIdleLimitFraction = 0.25;
// Relative step by which a sample moves the idle time.
inline constexpr double kIdleStep = 0.02;
// A sample of a busy target below this fraction of the idle time shows that the
// idle time is too high, and corrects it by kIdleCorrection of the difference.
inline constexpr double kIdleTooHighFactor = 0.8;
inline constexpr double kIdleCorrection = 0.5;
// kIdleStep while the limit is below kLowLimitFraction of the configured limit.
inline constexpr double kIdleStepLowLimit = 0.0005;
inline constexpr double kLowLimitFraction = 0.5;
// Time for which a team counts as active after its last request.
inline constexpr std::chrono::seconds kTeamActiveTime{60};

// Hosts that get a share of the rate limit of a target, however low it is.
inline constexpr double kMinRateHosts = 2;
// Demand that a host without callers is assumed to have, as a fraction of the
// mean demand of the hosts: its callers may come back.
inline constexpr double kMinDemandFraction = 0.1;
// Longest wait for a request that a rate limit allows; beyond it the target
// counts as unusable.
inline constexpr std::chrono::duration<double> kMaxStartWait{60};
// Time whose starts at a target with a rate limit a host may save up, beyond
// one request.
inline constexpr std::chrono::duration<double> kSavedRateTime{0.5};
// Allowance, in requests, that is left over after one request at a target with
// a rate limit that is underused.
inline constexpr double kUnderusedAllowance = 0.5;
// Shortest wait for the next request that a rate limit allows.
inline constexpr std::chrono::milliseconds kMinRateWait{1};
// Requests may wait for targets with rate limits only as long as their starts
// take at most this time: callers are better off with another host.
inline constexpr std::chrono::duration<double> kMaxRateLimitQueue{0.5};
// Time without news of a target's rate limit after which each host may use an
// equal part: the hosts with a share may be gone.
inline constexpr std::chrono::milliseconds kRateLimitStale{4'000};
// Time for which a host tells others that a rate limit has ended.
inline constexpr std::chrono::milliseconds kRateLimitEndHold{10'000};

// Requests per second that each host with a share of a cold target's limit gets
// at least: fewer would make most requests wait for longer than callers do.
inline constexpr int kMinColdRequestsPerSender = 2;
// Difference of the times that requests take from a host to a target, which the
// spacing of requests allows for: the limit counts requests as they arrive.
inline constexpr std::chrono::milliseconds kColdArrivalJitter{50};
// Bound of the time for which a target is taken for cold: registrations may
// hold any number, and a sum of times must not overflow.
inline constexpr std::chrono::milliseconds kMaxColdTime{3'600'000};
// Bound of the limit of a cold target, for configurations with a huge one.
inline constexpr double kMaxColdRequestsPerSecond = 1e6;

// Time span whose allowance of a configured rate may be used in one burst.
inline constexpr std::chrono::duration<double> kRateBurst{1.0};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_ROUTING_CONSTANTS_H_
