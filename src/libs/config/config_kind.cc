#include "libs/config/config_kind.h"

#include "libs/config/config_constants.h"

namespace turmericwinch {

namespace {

constexpr std::string_view kKindNames[] = {
    "Team",        "Budget",        "Service", "Route",
    "TargetClass", "FailureDomain", "Limit"};

constexpr std::int64_t kMaxDeadlineMs = 3'600'000;
constexpr std::int64_t kMaxRate = 1'000'000;

using enum FieldType;

const std::vector<FieldSpec>& TeamFields() {
  static const std::vector<FieldSpec> fields = {
      {.name = "key_hashes",
       .type = kStringList,
       .required = true,
       .description = "SHA-256 of each API key, hexadecimal"},
      {.name = "priority",
       .type = kInteger,
       .min_value = 0,
       .max_value = 9,
       .description = "priority passed to model engines, 9 is the highest"},
      {.name = "share",
       .type = kInteger,
       .min_value = 1,
       .max_value = 1000,
       .description = "weight in fair queueing when a service is saturated"},
      {.name = "regions",
       .type = kStringList,
       .description = "regions whose targets may get the requests; all if "
                      "absent"},
  };
  return fields;
}

const std::vector<FieldSpec>& BudgetFields() {
  static const std::vector<FieldSpec> fields = {
      {.name = "team",
       .type = kReference,
       .required = true,
       .referenced_kind = ConfigKind::kTeam,
       .description = "team that owns the budget"},
      {.name = "tokens",
       .type = kInteger,
       .required = true,
       .min_value = 0,
       .max_value = kConfigMaxTokens,
       .description = "prepaid tokens, excluding top-ups"},
      {.name = "services",
       .type = kReferenceList,
       .referenced_kind = ConfigKind::kService,
       .description = "services that the budget pays for; all if absent"},
      {.name = "reserve_percent",
       .type = kInteger,
       .min_value = 1,
       .max_value = 100,
       .description =
           "percentage of the free tokens that hosts may hold as grants"},
  };
  return fields;
}

const std::vector<FieldSpec>& ServiceFields() {
  static const std::vector<FieldSpec> fields = {
      {.name = "protocol",
       .type = kEnum,
       .required = true,
       .allowed_values = {"model", "plain"},
       .description = "protocol of the service's targets"},
      {.name = "call_tokens",
       .type = kInteger,
       .min_value = 0,
       .max_value = 1'000'000,
       .description = "tokens billed for a plain call"},
      {.name = "most_output_tokens",
       .type = kInteger,
       .min_value = 1,
       .max_value = 10'000'000,
       .description = "upper bound of max_tokens, and its default"},
      {.name = "deadline_ms",
       .type = kInteger,
       .min_value = 1,
       .max_value = kMaxDeadlineMs,
       .description = "deadline of a request"},
  };
  return fields;
}

const std::vector<FieldSpec>& RouteFields() {
  static const std::vector<FieldSpec> fields = {
      {.name = "service",
       .type = kReference,
       .required = true,
       .referenced_kind = ConfigKind::kService,
       .description = "service that the calls go to"},
      {.name = "path",
       .type = kString,
       .required = true,
       .description = "path prefix below /services/NAME, or model name"},
      {.name = "methods",
       .type = kStringList,
       .description = "HTTP methods; all if absent"},
      {.name = "repeatable",
       .type = kBoolean,
       .description = "whether a call may be executed more than once"},
      {.name = "deadline_ms",
       .type = kInteger,
       .min_value = 1,
       .max_value = kMaxDeadlineMs,
       .description = "deadline of a request; that of the service if absent"},
      {.name = "teams",
       .type = kReferenceList,
       .referenced_kind = ConfigKind::kTeam,
       .description = "teams that may call; all if absent"},
      {.name = "regions",
       .type = kStringList,
       .description = "regions whose targets may get the calls; all if "
                      "absent"},
  };
  return fields;
}

const std::vector<FieldSpec>& TargetClassFields() {
  static const std::vector<FieldSpec> fields = {
      {.name = "service",
       .type = kReference,
       .required = true,
       .referenced_kind = ConfigKind::kService,
       .description = "service that its targets serve"},
      {.name = "tokens_per_second",
       .type = kInteger,
       .min_value = 1,
       .max_value = 1'000'000,
       .description = "expected tokens per second of one stream"},
      {.name = "most_in_flight",
       .type = kInteger,
       .min_value = 1,
       .max_value = 100'000,
       .description = "maximum concurrent requests at one target"},
      {.name = "cold_ms",
       .type = kInteger,
       .min_value = 0,
       .max_value = kMaxDeadlineMs,
       .description = "time for which a target is cold after its start"},
      {.name = "cold_requests_per_second",
       .type = kInteger,
       .min_value = 0,
       .max_value = kMaxRate,
       .description = "requests that a cold target takes from all hosts; no "
                      "limit if 0"},
      {.name = "memory_tokens",
       .type = kInteger,
       .min_value = 0,
       .max_value = kConfigMaxTokens,
       .description = "tokens of the requests that a target can hold at once; "
                      "no limit if 0"},
  };
  return fields;
}

const std::vector<FieldSpec>& FailureDomainFields() {
  static const std::vector<FieldSpec> fields = {
      {.name = "region",
       .type = kString,
       .required = true,
       .description = "region"},
      {.name = "overflow",
       .type = kReferenceList,
       .referenced_kind = ConfigKind::kFailureDomain,
       .description =
           "domains whose targets are used when this domain lacks capacity"},
  };
  return fields;
}

const std::vector<FieldSpec>& LimitFields() {
  static const std::vector<FieldSpec> fields = {
      {.name = "team",
       .type = kReference,
       .required = true,
       .referenced_kind = ConfigKind::kTeam,
       .description = "team that the limit applies to"},
      {.name = "service",
       .type = kReference,
       .referenced_kind = ConfigKind::kService,
       .description = "service that the limit applies to; all if absent"},
      {.name = "requests_per_second",
       .type = kInteger,
       .min_value = 1,
       .max_value = kMaxRate,
       .description = "request rate over the whole failure domain"},
      {.name = "most_in_flight",
       .type = kInteger,
       .min_value = 1,
       .max_value = kMaxRate,
       .description = "maximum concurrent requests at one host"},
      {.name = "most_tokens",
       .type = kInteger,
       .min_value = 1,
       .max_value = 10'000'000,
       .description = "maximum tokens of one request"},
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
