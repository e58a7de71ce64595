#include "libs/load/target_runs.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "libs/base/json_fields.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

asio::awaitable<std::optional<json::object>> FetchStats(
    HttpClient& client,
    asio::ip::tcp::endpoint endpoint,
    Reason* reason) {
  HttpRequest request;
  request.target = "/stats";
  HttpFailure failure;
  std::optional<HttpResponse> response =
      co_await client.Call(endpoint, request, {}, &failure);
  std::optional<json::value> value;
  if (response)
    value = ParseJson(response->body);
  if (!value || !value->is_object()) {
    co_return Fail(
        reason, ResultCode::kTargetFailed,
        "target " + ToText(endpoint) +
            " did not answer /stats with a JSON object: " + failure.text);
  }
  co_return std::move(value->get_object());
}

void AddRuns(std::map<std::string, std::int64_t>& runs,
             const json::object& counts) {
  for (const auto& it : counts)
    runs[it.key()] += IntField(counts, it.key()).value_or(0);
}

}  // namespace

asio::awaitable<std::optional<TargetRuns>> FetchTargetRuns(
    HttpClient& client,
    const LoadSettings& settings,
    Reason* reason) {
  TargetRuns runs;
  for (const auto& it : settings.engines) {
    std::optional<json::object> stats = co_await FetchStats(client, it, reason);
    if (!stats)
      co_return std::nullopt;
    if (const json::object* counts = ObjectField(*stats, "runs"))
      AddRuns(runs.chats, *counts);
  }
  for (const auto& it : settings.services) {
    std::optional<json::object> stats = co_await FetchStats(client, it, reason);
    if (!stats)
      co_return std::nullopt;
    AddRuns(runs.plain_calls, *stats);
  }
  co_return runs;
}

}  // namespace turmericwinch
