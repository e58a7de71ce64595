#include "libs/base/result_code.h"

namespace turmericwinch {

namespace {

// Exit codes of `winch`: 2 usage error, 3 request rejected, 4 conflict,
// 5 platform unavailable, 6 peer or daemon unavailable, 7 internal error.
constexpr ResultInfo kResults[] = {
    {ResultCode::kOk, "ok", 200, 0},
    {ResultCode::kBadRequest, "bad_request", 400, 2},
    {ResultCode::kUnauthorized, "unauthorized", 401, 3},
    {ResultCode::kNotFound, "not_found", 404, 3},
    {ResultCode::kTooLarge, "too_large", 413, 2},
    {ResultCode::kMethodNotAllowed, "method_not_allowed", 405, 2},
    {ResultCode::kRequestTimeout, "request_timeout", 408, 3},
    {ResultCode::kKeyRequired, "key_required", 400, 2},
    {ResultCode::kKeyReused, "key_reused", 422, 3},
    {ResultCode::kForbidden, "forbidden", 403, 3},
    {ResultCode::kBudgetExhausted, "budget_exhausted", 402, 3},
    {ResultCode::kBudgetUnreachable, "budget_unreachable", 503, 5},
    {ResultCode::kLimitExceeded, "limit_exceeded", 429, 3},
    {ResultCode::kBudgetTooSmall, "budget_too_small", 402, 3},
    {ResultCode::kNoTarget, "no_target", 503, 6},
    {ResultCode::kTargetFailed, "target_failed", 502, 6},
    {ResultCode::kTargetTimeout, "target_timeout", 504, 6},
    {ResultCode::kOutcomeUnknown, "outcome_unknown", 502, 3},
    {ResultCode::kQuarantined, "quarantined", 422, 3},
    {ResultCode::kOverloaded, "overloaded", 503, 3},
    {ResultCode::kInProgress, "in_progress", 409, 3},
    {ResultCode::kClaimUnavailable, "claim_unavailable", 503, 5},
    {ResultCode::kCallerGone, "caller_gone", 499, 3},
    {ResultCode::kDomainEvacuated, "domain_evacuated", 503, 6},
    {ResultCode::kNoAllowedTarget, "no_allowed_target", 503, 6},
    {ResultCode::kNotReady, "not_ready", 503, 6},
    {ResultCode::kShuttingDown, "shutting_down", 503, 6},
    {ResultCode::kInternal, "internal", 500, 7},
    {ResultCode::kPlatformUnavailable, "platform_unavailable", 503, 5},
    {ResultCode::kPlatformConflict, "platform_conflict", 409, 4},
    {ResultCode::kPlatformNotFound, "platform_not_found", 404, 3},
    {ResultCode::kPlatformExists, "platform_exists", 409, 4},
    {ResultCode::kPlatformUnknown, "platform_unknown", 503, 5},
    {ResultCode::kPlatformRejected, "platform_rejected", 502, 5},
    {ResultCode::kPlatformLimited, "platform_limited", 503, 5},
    {ResultCode::kConfigInvalid, "config_invalid", 0, 2},
    {ResultCode::kConfigConflict, "config_conflict", 0, 4},
    {ResultCode::kSettingsInvalid, "settings_invalid", 0, 2},
    {ResultCode::kNoConfig, "no_config", 503, 3},
    {ResultCode::kPeerUnavailable, "peer_unavailable", 503, 6},
    {ResultCode::kPeerRejected, "peer_rejected", 403, 6},
    {ResultCode::kPeerProtocol, "peer_protocol", 502, 6},
};

constexpr std::string_view kRanNames[] = {"not_run", "ran", "unknown"};

const ResultInfo* Find(int number) {
  for (const ResultInfo& it : kResults) {
    if (static_cast<int>(it.code) == number)
      return &it;
  }
  return nullptr;
}

}  // namespace

const ResultInfo& InfoOf(ResultCode code) {
  const ResultInfo* info = Find(static_cast<int>(code));
  return info ? *info : *Find(static_cast<int>(ResultCode::kInternal));
}

std::string_view NameOf(ResultCode code) {
  return InfoOf(code).name;
}

std::string_view NameOf(RanState state) {
  return kRanNames[static_cast<int>(state)];
}

std::optional<ResultCode> ResultCodeOf(int number) {
  const ResultInfo* info = Find(number);
  if (!info)
    return std::nullopt;
  return info->code;
}

}  // namespace turmericwinch
