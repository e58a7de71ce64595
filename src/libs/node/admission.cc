#include "libs/node/admission.h"

#include <algorithm>
#include <chrono>

#include "libs/base/digest.h"
#include "libs/node/node_constants.h"
#include "libs/node/node_context.h"
#include "libs/routing/allowed_domains.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kMaxRequestIdLength = 128;
constexpr std::size_t kRequestIdBytes = 12;
constexpr std::size_t kRunIdBytes = 16;

std::int64_t UtcMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool IsValidId(std::string_view id) {
  constexpr std::string_view kAllowed =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:";
  return !id.empty() && id.size() <= kMaxRequestIdLength &&
         id.find_first_not_of(kAllowed) == std::string_view::npos;
}

}  // namespace

TokenReservation::TokenReservation(NodeContext& node,
                                   std::string budget,
                                   std::uint64_t id,
                                   InFlightSlot slot)
    : node_(node),
      budget_(std::move(budget)),
      id_(id),
      slot_(std::move(slot)) {}

TokenReservation::TokenReservation(TokenReservation&& other) noexcept
    : node_(other.node_),
      budget_(std::move(other.budget_)),
      id_(std::exchange(other.id_, 0)),
      slot_(std::move(other.slot_)) {}

TokenReservation::~TokenReservation() {
  if (id_ != 0)
    node_.ledger->Release(id_);
}

void TokenReservation::Settle(const Caller& caller,
                              const std::string& service,
                              std::int64_t tokens) {
  if (id_ == 0)
    return;
  Bill bill;
  bill.request_id = caller.request_id;
  bill.team = caller.team->name;
  bill.service = service;
  bill.tokens = tokens;
  bill.time_ms = UtcMilliseconds();
  std::optional<Bill> settled =
      node_.ledger->Settle(std::exchange(id_, 0), std::move(bill));
  if (settled)
    caller.record->billed_tokens = settled->tokens;
}

std::string NewRunId() {
  return RandomHex(kRunIdBytes);
}

std::string ChooseRequestId(const HttpRequest& request) {
  std::string_view id = request.headers.Get("X-Request-Id");
  return IsValidId(id) ? std::string(id) : RandomHex(kRequestIdBytes);
}

std::optional<Caller> AuthenticateCaller(NodeContext& node,
                                         const HttpRequest& request,
                                         std::shared_ptr<RequestRecord> record,
                                         Reason* reason) {
  Caller caller;
  caller.config = node.config.Get();
  caller.request_id = record->request_id;
  caller.record = std::move(record);
  if (!caller.config) {
    return Fail(reason, ResultCode::kNoConfig,
                "this host has no configuration yet");
  }
  std::string_view authorization = request.headers.Get("Authorization");
  if (!authorization.starts_with(kBearer)) {
    return Fail(reason, ResultCode::kUnauthorized,
                "the request has no 'Authorization: Bearer KEY'");
  }
  authorization.remove_prefix(kBearer.size());
  caller.team = caller.config->TeamOfKeyHash(Sha256Hex(authorization));
  if (!caller.team)
    return Fail(reason, ResultCode::kUnauthorized, "the API key is not known");
  caller.record->team = caller.team->name;
  caller.record->generation = caller.config->generation();
  return caller;
}

asio::awaitable<std::optional<TokenReservation>> ReserveTokens(
    NodeContext& node,
    const Caller& caller,
    const ServiceConfig& service,
    std::int64_t tokens,
    Reason* reason) {
  std::vector<const BudgetConfig*> budgets =
      caller.config->Budgets(caller.team->name, service.name);
  if (budgets.empty()) {
    co_return Fail(
        reason, ResultCode::kBudgetExhausted,
        "team " + caller.team->name + " has no budget for " + service.name);
  }
  std::optional<InFlightSlot> slot = node.limits.Admit(
      caller.config->Limits(caller.team->name, service.name), tokens, reason);
  if (!slot)
    co_return std::nullopt;
  for (const BudgetConfig* it : budgets) {
    std::optional<std::uint64_t> id =
        co_await node.ledger->Reserve(it->name, tokens, kGrantTimeout, reason);
    if (id) {
      caller.record->budget = it->name;
      caller.record->service = service.name;
      caller.record->reserved_tokens = tokens;
      co_return TokenReservation(node, it->name, *id, std::move(*slot));
    }
  }
  co_return std::nullopt;
}

bool IsRouteOpenTo(const RouteConfig& route, const TeamConfig& team) {
  return route.teams.empty() ||
         std::find(route.teams.begin(), route.teams.end(), team.name) !=
             route.teams.end();
}

std::shared_ptr<const std::set<std::string>> DomainsFor(
    const Caller& caller,
    const RouteConfig* route) {
  static const std::vector<std::string> every_region;
  return AllowedDomains(route ? route->regions : every_region,
                        caller.team->regions, caller.config->domain_regions());
}

}  // namespace turmericwinch
