#include "libs/operations/daemon_verbs.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "libs/base/json_fields.h"
#include "libs/http/http_client.h"
#include "libs/operations/evacuation_report.h"
#include "libs/operations/explanation_text.h"
#include "libs/operations/indented_json.h"
#include "libs/operations/text_table.h"
#include "libs/operations/winch_commands.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr int kStatusOk = 200;

// Calls one daemon and returns the response body. Returns nothing and sets
// `reason` unless the daemon answers with status 200.
asio::awaitable<std::optional<std::string>> CallDaemon(WinchContext& context,
                                                       std::string address,
                                                       std::string method,
                                                       std::string target,
                                                       Reason* reason) {
  std::optional<asio::ip::tcp::endpoint> endpoint = ParseEndpoint(address);
  if (!endpoint) {
    co_return Fail(reason, ResultCode::kBadRequest,
                   "'" + address + "' is not IP:PORT");
  }
  HttpClient client(*context.io);
  HttpRequest request;
  request.method = std::move(method);
  request.target = std::move(target);
  request.headers.Add("Authorization",
                      "Bearer " + context.settings->Text("operator-token"));
  HttpFailure failure;
  std::optional<HttpResponse> response =
      co_await client.Call(*endpoint, request, HttpTimeouts(), &failure);
  if (!response) {
    co_return Fail(
        reason, ResultCode::kPeerUnavailable,
        "the daemon at " + address + " did not answer: " + failure.text);
  }
  if (response->status != kStatusOk) {
    co_return Fail(reason, ResultCode::kUnauthorized,
                   "the daemon at " + address + " answered " +
                       std::to_string(response->status) + ": " +
                       response->body);
  }
  co_return std::move(response->body);
}

// The addresses in --daemons, or the one in --daemon if --daemons is empty.
std::vector<std::string> DaemonAddresses(const WinchContext& context) {
  std::vector<std::string> daemons = context.settings->List("daemons");
  if (daemons.empty())
    daemons.push_back(context.settings->Text("daemon"));
  return daemons;
}

// One row of the status table.
struct DaemonStatus {
  std::string address;
  std::string host;
  std::string failure_domain;
  std::int64_t generation = 0;
  std::string state;
};

DaemonStatus ParseDaemonStatus(std::string address, const std::string& dump) {
  DaemonStatus status;
  status.address = std::move(address);
  std::optional<json::value> value = ParseJson(dump);
  const json::object* top = value ? value->if_object() : nullptr;
  if (!top) {
    status.state = "answers nonsense";
    return status;
  }
  status.host = StringField(*top, "host").value_or("");
  status.failure_domain = StringField(*top, "failure_domain").value_or("");
  if (const json::object* config = ObjectField(*top, "config"))
    status.generation = IntField(*config, "generation").value_or(0);
  status.state =
      BoolField(*top, "shutting_down").value_or(false) ? "draining" : "live";
  return status;
}

std::string FormatStatus(const std::vector<DaemonStatus>& statuses) {
  std::int64_t newest = 0;
  for (const DaemonStatus& it : statuses)
    newest = std::max(newest, it.generation);
  TextRows rows = {
      {"DAEMON", "HOST", "FAILURE DOMAIN", "GENERATION", "BEHIND", "STATE"}};
  for (const DaemonStatus& it : statuses) {
    rows.push_back({it.address, it.host, it.failure_domain,
                    std::to_string(it.generation),
                    std::to_string(newest - it.generation), it.state});
  }
  return FormatTable(rows);
}

json::array StatusJson(const std::vector<DaemonStatus>& statuses) {
  json::array items;
  for (const DaemonStatus& it : statuses) {
    items.push_back(json::object{{"daemon", it.address},
                                 {"host", it.host},
                                 {"failure_domain", it.failure_domain},
                                 {"generation", it.generation},
                                 {"state", it.state}});
  }
  return items;
}

}  // namespace

asio::awaitable<Reason> DumpDaemon(WinchContext& context) {
  Reason reason;
  std::optional<std::string> dump = co_await CallDaemon(
      context, context.settings->Text("daemon"), "GET", "/dump", &reason);
  if (!dump)
    co_return reason;
  std::optional<json::value> value = ParseJson(*dump);
  context.out = context.json() || !value ? *dump + "\n" : IndentedJson(*value);
  co_return Reason{};
}

asio::awaitable<Reason> ShowStatus(WinchContext& context) {
  Reason result;
  std::vector<DaemonStatus> statuses;
  for (const std::string& it : DaemonAddresses(context)) {
    Reason reason;
    std::optional<std::string> dump =
        co_await CallDaemon(context, it, "GET", "/dump", &reason);
    if (dump) {
      statuses.push_back(ParseDaemonStatus(it, *dump));
      continue;
    }
    statuses.push_back({it, "", "", 0, std::string(NameOf(reason.code))});
    result = reason;
  }
  context.out = context.json() ? json::serialize(StatusJson(statuses)) + "\n"
                               : FormatStatus(statuses);
  co_return result;
}

asio::awaitable<Reason> ShowEvacuations(WinchContext& context) {
  Reason result;
  std::vector<EvacuationRow> rows;
  for (const std::string& it : DaemonAddresses(context)) {
    Reason reason;
    std::optional<std::string> dump =
        co_await CallDaemon(context, it, "GET", "/state", &reason);
    if (dump) {
      rows.push_back(ParseEvacuations(it, *dump));
      continue;
    }
    EvacuationRow row;
    row.address = it;
    row.state = NameOf(reason.code);
    rows.push_back(std::move(row));
    result = reason;
  }
  context.out = context.json() ? json::serialize(EvacuationsJson(rows)) + "\n"
                               : FormatEvacuations(rows);
  co_return result;
}

asio::awaitable<Reason> ExplainRequest(WinchContext& context) {
  const std::string& id = context.arguments[0];
  json::array found;
  for (const std::string& it : DaemonAddresses(context)) {
    Reason reason;
    std::optional<std::string> text =
        co_await CallDaemon(context, it, "GET", "/requests?id=" + id, &reason);
    if (!text)
      co_return reason;
    std::optional<json::value> records = ParseJson(*text);
    if (!records || !records->is_array())
      co_return Reason{ResultCode::kPeerProtocol,
                       "the daemon at " + it +
                           " did not answer with a JSON array of records"};
    for (json::value& record : records->as_array())
      found.push_back(std::move(record));
  }
  if (found.empty())
    co_return Reason{
        ResultCode::kNotFound,
        "none of the daemons asked has a record of request '" + id + "'"};
  context.out =
      context.json() ? json::serialize(found) + "\n" : ExplanationText(found);
  co_return Reason{};
}

asio::awaitable<Reason> DrainDaemon(WinchContext& context) {
  const std::string daemon = context.settings->Text("daemon");
  Reason reason;
  std::optional<std::string> answer =
      co_await CallDaemon(context, daemon, "POST", "/drain", &reason);
  if (!answer)
    co_return reason;
  context.out =
      daemon + " is draining: it finishes its open requests and then stops\n";
  co_return Reason{};
}

}  // namespace turmericwinch
