#include "libs/config/config_kind.h"

#include "libs/config/config_constants.h"

namespace turmericwinch {

namespace {

constexpr std::string_view kKindNames[] = {
    "Team",        "Budget",        "Service", "Route",
    "TargetClass", "FailureDomain", "Limit"};

constexpr std::int64_t kMostDeadlineMs = 3'600'000;
constexpr std::int64_t kMostRate = 1'000'000;

using enum FieldType;

const std::vector<FieldSpec>& TeamFields() {
  static const std::vector<FieldSpec> fields = {
      {.name = "key_hashes",
       .type = kTextList,
       .required = true,
       .label = "SHA-256 of each API key, hexadecimal"},
      {.name = "priority",
       .type = kInteger,
       .least = 0,
       .most = 9,
       .label = "priority given to engines, 9 first"},
      {.name = "share",
       .type = kInteger,
       .least = 1,
       .most = 1000,
       .label = "weight in the fair sharing of a full service"},
  };
  return fields;
}

const std::vector<FieldSpec>& BudgetFields() {
  static const std::vector<FieldSpec> fields = {
      {.name = "team",
       .type = kReference,
       .required = true,
       .refers_to = ConfigKind::kTeam,
       .label = "team that paid"},
      {.name = "tokens",
       .type = kInteger,
       .required = true,
       .least = 0,
       .most = kConfigMaxTokens,
       .label = "tokens paid for, top-ups not counted"},
      {.name = "services",
       .type = kReferenceList,
       .refers_to = ConfigKind::kService,
       .label = "services it pays for; all if absent"},
      {.name = "reserve_percent",
       .type = kInteger,
       .least = 1,
       .most = 100,
       .label = "share of the free tokens that may lie granted at hosts"},
  };
  return fields;
}

const std::vector<FieldSpec>& ServiceFields() {
  static const std::vector<FieldSpec> fields = {
      {.name = "protocol",
       .type = kChoice,
       .required = true,
       .choices = {"model", "plain"},
       .label = "what its targets speak"},
      {.name = "call_tokens",
       .type = kInteger,
       .least = 0,
       .most = 1'000'000,
       .label = "tokens billed for a plain call"},
      {.name = "most_output_tokens",
       .type = kInteger,
       .least = 1,
       .most = 10'000'000,
       .label = "bound of max_tokens, and its default"},
      {.name = "deadline_ms",
       .type = kInteger,
       .least = 1,
       .most = kMostDeadlineMs,
       .label = "time for a whole answer"},
  };
  return fields;
}

const std::vector<FieldSpec>& RouteFields() {
  static const std::vector<FieldSpec> fields = {
      {.name = "service",
       .type = kReference,
       .required = true,
       .refers_to = ConfigKind::kService,
       .label = "service of the calls"},
      {.name = "path",
       .type = kText,
       .required = true,
       .label = "path prefix below /services/NAME, or model name"},
      {.name = "methods",
       .type = kTextList,
       .label = "HTTP methods; all if absent"},
      {.name = "repeatable",
       .type = kFlag,
       .label = "whether a call may run more than once"},
      {.name = "deadline_ms",
       .type = kInteger,
       .least = 1,
       .most = kMostDeadlineMs,
       .label = "time for a whole answer; the service's if absent"},
      {.name = "teams",
       .type = kReferenceList,
       .refers_to = ConfigKind::kTeam,
       .label = "teams that may call; all if absent"},
  };
  return fields;
}

const std::vector<FieldSpec>& TargetClassFields() {
  static const std::vector<FieldSpec> fields = {
      {.name = "service",
       .type = kReference,
       .required = true,
       .refers_to = ConfigKind::kService,
       .label = "service that its targets serve"},
      {.name = "tokens_per_second",
       .type = kInteger,
       .least = 1,
       .most = 1'000'000,
       .label = "expected speed of one stream"},
      {.name = "most_in_flight",
       .type = kInteger,
       .least = 1,
       .most = 100'000,
       .label = "requests that one target takes at once"},
  };
  return fields;
}

const std::vector<FieldSpec>& FailureDomainFields() {
  static const std::vector<FieldSpec> fields = {
      {.name = "region", .type = kText, .required = true, .label = "region"},
      {.name = "overflow",
       .type = kReferenceList,
       .refers_to = ConfigKind::kFailureDomain,
       .label = "domains whose targets are used when its own are not enough"},
  };
  return fields;
}

const std::vector<FieldSpec>& LimitFields() {
  static const std::vector<FieldSpec> fields = {
      {.name = "team",
       .type = kReference,
       .required = true,
       .refers_to = ConfigKind::kTeam,
       .label = "team that is limited"},
      {.name = "service",
       .type = kReference,
       .refers_to = ConfigKind::kService,
       .label = "service it holds for; all if absent"},
      {.name = "requests_per_second",
       .type = kInteger,
       .least = 1,
       .most = kMostRate,
       .label = "rate over a whole failure domain"},
      {.name = "most_in_flight",
       .type = kInteger,
       .least = 1,
       .most = kMostRate,
       .label = "requests at once on one host"},
      {.name = "most_tokens",
       .type = kInteger,
       .least = 1,
       .most = 10'000'000,
       .label = "tokens of one request"},
  };
  return fields;
}

}  // namespace

std::string_view NameOf(ConfigKind kind) {
  return kKindNames[static_cast<int>(kind)];
}

std::optional<ConfigKind> ParseConfigKind(std::string_view name) {
  for (int n = 0; n < kConfigKindCount; ++n) {
    if (kKindNames[n] == name)
      return static_cast<ConfigKind>(n);
  }
  return std::nullopt;
}

const std::vector<FieldSpec>& FieldsOf(ConfigKind kind) {
  switch (kind) {
    case ConfigKind::kTeam:
      return TeamFields();
    case ConfigKind::kBudget:
      return BudgetFields();
    case ConfigKind::kService:
      return ServiceFields();
    case ConfigKind::kRoute:
      return RouteFields();
    case ConfigKind::kTargetClass:
      return TargetClassFields();
    case ConfigKind::kFailureDomain:
      return FailureDomainFields();
    case ConfigKind::kLimit:
      return LimitFields();
  }
  return TeamFields();
}

}  // namespace turmericwinch
