#include "libs/node/claim_keeper.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "libs/base/digest.h"
#include "libs/base/json_fields.h"
#include "libs/base/log.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr LogCategory kLog{"node"};
constexpr char kClaimPrefix[] = "claim-";
constexpr std::size_t kNameDigits = 40;
constexpr std::size_t kOwnerBytes = 12;
constexpr std::size_t kMostKeptBytes = 16 * 1024;
constexpr int kReadAttempts = 3;

ClaimAnswer Refused(ResultCode code, std::string text, RanState ran) {
  ClaimAnswer answer;
  answer.reason = {code, std::move(text)};
  answer.ran = ran;
  return answer;
}

// The answer to a request whose claim stands already.
ClaimAnswer AnswerFrom(const json::object& claim,
                       const std::string& body_digest) {
  if (StringField(claim, "body").value_or("") != body_digest) {
    return Refused(ResultCode::kKeyReused,
                   "the idempotency key was used for another request",
                   RanState::kNotRun);
  }
  std::optional<std::int64_t> status = IntField(claim, "status");
  if (!status) {
    return Refused(ResultCode::kOutcomeUnknown,
                   "an earlier attempt with this key has no known outcome; it "
                   "is not run again",
                   RanState::kUnknown);
  }
  std::optional<std::string> body = StringField(claim, "answer");
  if (!body) {
    return Refused(ResultCode::kOutcomeUnknown,
                   "the request ran; its answer is no longer kept",
                   RanState::kRan);
  }
  ClaimAnswer answer;
  answer.kept = JsonResponse(static_cast<int>(*status), *body);
  answer.kept->headers.Add("Idempotent-Replayed", "true");
  return answer;
}

}  // namespace

ClaimKeeper::ClaimKeeper(PlatformClient& platform) : platform_(platform) {}

asio::awaitable<ClaimAnswer> ClaimKeeper::Take(std::string team,
                                               std::string key,
                                               std::string body_digest) {
  Claim claim;
  claim.name =
      kClaimPrefix + Sha256Hex(team + "\n" + key).substr(0, kNameDigits);
  claim.owner = RandomHex(kOwnerBytes);
  Reason reason;
  std::string value = json::serialize(
      json::object{{"owner", claim.owner}, {"body", body_digest}});
  std::optional<std::uint64_t> version = co_await platform_.Create(
      PlatformDuty::kClaims, claim.name, value, &reason);
  if (version) {
    claim.version = *version;
    ClaimAnswer answer;
    answer.claim = std::move(claim);
    co_return answer;
  }
  const bool in_doubt = reason.code == ResultCode::kPlatformExists ||
                        reason.code == ResultCode::kPlatformUnknown;
  std::optional<PlatformObject> found;
  for (int n = 0; in_doubt && !found && n < kReadAttempts; ++n)
    found = co_await platform_.Get(PlatformDuty::kClaims, claim.name, &reason);
  std::optional<json::value> parsed;
  if (found)
    parsed = ParseJson(found->value);
  const json::object* existing = parsed ? parsed->if_object() : nullptr;
  if (!existing) {
    co_return Refused(
        ResultCode::kClaimUnavailable,
        "the request could not be claimed, so it was not run: " + reason.text,
        RanState::kNotRun);
  }
  if (StringField(*existing, "owner").value_or("") == claim.owner) {
    claim.version = found->version;
    ClaimAnswer answer;
    answer.claim = std::move(claim);
    co_return answer;
  }
  co_return AnswerFrom(*existing, body_digest);
}

asio::awaitable<void> ClaimKeeper::Abandon(Claim claim) {
  Reason reason;
  std::optional<std::uint64_t> deleted = co_await platform_.Delete(
      PlatformDuty::kClaims, claim.name, claim.version, &reason);
  if (!deleted) {
    LogEvent(kLog, Severity::kWarning, "claim_not_abandoned",
             {{"claim", claim.name}, {"reason", reason.text}});
  }
}

asio::awaitable<void> ClaimKeeper::Complete(Claim claim,
                                            std::string body_digest,
                                            HttpResponse response) {
  json::object value = {{"owner", claim.owner},
                        {"body", body_digest},
                        {"status", response.status}};
  if (response.body.size() <= kMostKeptBytes)
    value["answer"] = response.body;
  Reason reason;
  // Named, since GCC 12 destroys an aggregate twice that is built within a
  // co_await expression.
  PlatformObject object{claim.name, claim.version, json::serialize(value)};
  std::optional<std::uint64_t> version =
      co_await platform_.Update(PlatformDuty::kClaims, object, &reason);
  if (!version) {
    LogEvent(kLog, Severity::kWarning, "claim_outcome_not_recorded",
             {{"claim", claim.name}, {"reason", reason.text}});
  }
}

}  // namespace turmericwinch
