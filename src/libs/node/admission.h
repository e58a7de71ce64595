// Admission of callers' requests: authentication, routes, limits and budgets.

#ifndef SRC_LIBS_NODE_ADMISSION_H_
#define SRC_LIBS_NODE_ADMISSION_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "libs/config/config_snapshot.h"
#include "libs/http/http_message.h"
#include "libs/node/refusal.h"
#include "libs/node/request_record.h"
#include "libs/node/shared_limits.h"

namespace turmericwinch {

struct NodeContext;

// An authenticated caller. `config` is the configuration generation that its
// request uses from start to end.
struct Caller {
  std::shared_ptr<const ConfigSnapshot> config;
  const TeamConfig* team = nullptr;
  std::string request_id;
  // Filled while the request is handled; never null.
  std::shared_ptr<RequestRecord> record;
};

// Tokens reserved for one request and the request's slot under the in-flight
// limits. The destructor releases the tokens unless they were settled.
class TokenReservation {
 public:
  TokenReservation(NodeContext& node,
                   std::string budget,
                   std::uint64_t id,
                   InFlightSlot slot);
  TokenReservation(TokenReservation&& other) noexcept;
  TokenReservation& operator=(TokenReservation&&) = delete;
  ~TokenReservation();

  // Bills `tokens` for the request of `caller`. Further calls have no effect.
  void Settle(const Caller& caller,
              const std::string& service,
              std::int64_t tokens);

 private:
  NodeContext& node_;
  std::string budget_;
  std::uint64_t id_;
  InFlightSlot slot_;
};

// Returns a new unguessable id, from which the ids sent to targets are made.
std::string NewRunId();

// Returns the caller's X-Request-Id if it is valid, else a new id.
std::string ChooseRequestId(const HttpRequest& request);

// Authenticates the caller by its API key.
std::optional<Caller> AuthenticateCaller(NodeContext& node,
                                         const HttpRequest& request,
                                         std::shared_ptr<RequestRecord> record,
                                         Reason* reason);

// Admits the request under the team's limits and reserves `tokens` from the
// first of the team's budgets for `service` that has enough.
boost::asio::awaitable<std::optional<TokenReservation>> ReserveTokens(
    NodeContext& node,
    const Caller& caller,
    const ServiceConfig& service,
    std::int64_t tokens,
    Reason* reason);

// Whether `team` may use `route`. A route that names no teams is open to all.
bool IsRouteOpenTo(const RouteConfig& route, const TeamConfig& team);

// Failure domains that a request of the caller may reach; null if all. `route`
// is null for a model without a route.
std::shared_ptr<const std::set<std::string>> DomainsFor(
    const Caller& caller,
    const RouteConfig* route);

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_ADMISSION_H_
