// Numbered result codes that callers, operators and peers receive.

#ifndef SRC_LIBS_BASE_RESULT_CODE_H_
#define SRC_LIBS_BASE_RESULT_CODE_H_

#include <optional>
#include <string_view>

namespace turmericwinch {

// Values are stable: they appear in responses, logs and docs/RESULT-CODES.md.
enum class ResultCode : int {
  kOk = 0,
  // 1xx: errors in the request.
  kBadRequest = 100,
  kUnauthorized = 101,
  kNotFound = 102,
  kTooLarge = 103,
  kMethodNotAllowed = 104,
  kRequestTimeout = 105,
  kKeyRequired = 106,
  kKeyReused = 107,
  kForbidden = 108,
  // 2xx: budgets and limits.
  kBudgetExhausted = 200,
  kBudgetUnreachable = 201,
  kLimitExceeded = 202,
  kBudgetTooSmall = 203,
  // 3xx: targets and delivery.
  kNoTarget = 300,
  kTargetFailed = 301,
  kTargetTimeout = 302,
  kOutcomeUnknown = 303,
  kQuarantined = 304,
  kOverloaded = 305,
  kInProgress = 306,
  kClaimUnavailable = 307,
  kCallerGone = 308,
  kDomainEvacuated = 309,
  kNoAllowedTarget = 310,
  // 4xx: this host.
  kNotReady = 400,
  kShuttingDown = 401,
  kInternal = 402,
  // 5xx: the platform's object API.
  kPlatformUnavailable = 500,
  kPlatformConflict = 501,
  kPlatformNotFound = 502,
  kPlatformExists = 503,
  kPlatformUnknown = 504,
  kPlatformRejected = 505,
  kPlatformLimited = 506,
  // 6xx: configuration and settings.
  kConfigInvalid = 600,
  kConfigConflict = 601,
  kSettingsInvalid = 602,
  kNoConfig = 603,
  // 7xx: peers.
  kPeerUnavailable = 700,
  kPeerRejected = 701,
  kPeerProtocol = 702,
};

// Whether a request that was answered with an error reached a target.
enum class RanState { kNotRun, kRan, kUnknown };

// One row of the result table.
struct ResultInfo {
  ResultCode code;
  std::string_view name;
  // HTTP status of the response; 0 if the code is never sent to a caller.
  int http_status;
  // Process exit code of `winch`.
  int exit_code;
};

// Table row of `code`; the row of kInternal for a value not in the table.
const ResultInfo& InfoOf(ResultCode code);

// Name of `code` as it appears in logs and responses, such as "no_target".
std::string_view NameOf(ResultCode code);

// "not_run", "ran" or "unknown".
std::string_view NameOf(RanState state);

// Code whose number is `number`; nullopt if there is none.
std::optional<ResultCode> ResultCodeOf(int number);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BASE_RESULT_CODE_H_
