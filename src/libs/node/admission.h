// Decides whether a call may run: its team, its route, its budget.

#ifndef SRC_LIBS_NODE_ADMISSION_H_
#define SRC_LIBS_NODE_ADMISSION_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "libs/config/config_snapshot.h"
#include "libs/http/http_message.h"
#include "libs/node/refusal.h"
#include "libs/node/request_record.h"
#include "libs/node/shared_limits.h"

namespace turmericwinch {

struct NodeContext;

// A caller that was recognised, with the generation that its request sees
// from start to end.
struct Caller {
  std::shared_ptr<const ConfigSnapshot> config;
  const TeamConfig* team = nullptr;
  std::string request_id;
  // Filled as the request goes on; never null.
  std::shared_ptr<RequestRecord> record;
};

// Tokens reserved for one request, and its place under the limits. Released
// when dropped, unless settled.
class TokenReservation {
 public:
  TokenReservation(NodeContext& node,
                   std::string budget,
                   std::uint64_t id,
                   InFlightSlot pass);
  TokenReservation(TokenReservation&& other) noexcept;
  TokenReservation& operator=(TokenReservation&&) = delete;
  ~TokenReservation();

  // Bills `tokens` for the request of `caller`. Later calls do nothing.
  void Settle(const Caller& caller,
              const std::string& service,
              std::int64_t tokens);

 private:
  NodeContext& node_;
  std::string budget_;
  std::uint64_t id_;
  InFlightSlot pass_;
};

// A new id that no one can guess, for the targets' side of a request.
std::string NewRunId();

// The request's id: the caller's own if it is sound, else a new one.
std::string ChooseRequestId(const HttpRequest& request);

// Recognises the caller by its key.
std::optional<Caller> AuthenticateCaller(NodeContext& node,
                                         const HttpRequest& request,
                                         std::shared_ptr<RequestRecord> record,
                                         Reason* reason);

// Admits the request under the team's limits and reserves `tokens` from the
// first of the team's budgets for `service` that
// has them.
boost::asio::awaitable<std::optional<TokenReservation>> ReserveTokens(
    NodeContext& node,
    const Caller& caller,
    const ServiceConfig& service,
    std::int64_t tokens,
    Reason* reason);

// Whether `route` is open to `team`: to all if it names none.
bool IsRouteOpenTo(const RouteConfig& route, const TeamConfig& team);

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_ADMISSION_H_
