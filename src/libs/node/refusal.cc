#include "libs/node/refusal.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace turmericwinch {

namespace {

namespace json = boost::json;

constexpr int kShortRetryAfterSeconds = 1;
constexpr int kLongRetryAfterSeconds = 5;

int RetryAfterSeconds(ResultCode code) {
  switch (code) {
    case ResultCode::kOverloaded:
    case ResultCode::kInProgress:
    case ResultCode::kLimitExceeded:
    case ResultCode::kShuttingDown:
    case ResultCode::kNoTarget:
    case ResultCode::kTargetFailed:
      return kShortRetryAfterSeconds;
    case ResultCode::kBudgetUnreachable:
    case ResultCode::kClaimUnavailable:
    case ResultCode::kNotReady:
    case ResultCode::kNoConfig:
    case ResultCode::kPlatformUnavailable:
    case ResultCode::kPlatformLimited:
      return kLongRetryAfterSeconds;
    default:
      return 0;
  }
}

}  // namespace

Refusal MakeRefusal(Reason reason, RanState ran) {
  const int retry_after_s = RetryAfterSeconds(reason.code);
  return {std::move(reason), ran, retry_after_s};
}

std::string RefusalBody(const Refusal& refusal, const std::string& request_id) {
  json::object error = {
      {"code", static_cast<int>(refusal.reason.code)},
      {"name", NameOf(refusal.reason.code)},
      {"message", refusal.reason.text},
      {"ran", NameOf(refusal.ran)},
      {"request_id", request_id},
  };
  return json::serialize(json::object{{"error", error}});
}

HttpResponse RefusalResponse(const Refusal& refusal,
                             const std::string& request_id) {
  HttpResponse response = JsonResponse(InfoOf(refusal.reason.code).http_status,
                                       RefusalBody(refusal, request_id));
  response.headers.Add("X-Request-Id", request_id);
  if (refusal.retry_after_s > 0)
    response.headers.Add("Retry-After", std::to_string(refusal.retry_after_s));
  return response;
}

}  // namespace turmericwinch
