#include "libs/standin/platform_stand_in.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <map>
#include <set>

#include "libs/base/json_fields.h"
#include "libs/standin/fault_switches.h"
#include "libs/standin/host_list_history.h"
#include "libs/standin/object_store.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::string_view kObjects = "/objects";
constexpr std::string_view kObjectPrefix = "/objects/";
constexpr std::size_t kMostValueBytes = 1024 * 1024;

std::uint64_t NumberOf(std::string_view text) {
  std::uint64_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

std::string ObjectJson(const StoredObject& object) {
  std::string text = "{\"metadata\":{\"name\":";
  text += json::serialize(json::string(object.name));
  text += ",\"resourceVersion\":" + std::to_string(object.version);
  text += "},\"value\":" + object.value + "}";
  return text;
}

HttpResponse VersionResponse(int status, std::uint64_t version) {
  return JsonResponse(status, "{\"metadata\":{\"resourceVersion\":" +
                                  std::to_string(version) + "}}");
}

HttpResponse ErrorResponse(int status, std::string_view text) {
  return JsonResponse(status, json::serialize(json::object{{"error", text}}));
}

// Name under which a call is counted.
std::string KindOf(const HttpRequest& request) {
  std::string_view path = PathOf(request.target);
  if (path == "/hosts")
    return QueryParameter(request.target, "watch") == "1" &&
                   QueryParameter(request.target, "after") != "0"
               ? "host_watch"
               : "hosts";
  if (request.method == "POST")
    return "create";
  if (request.method == "PUT")
    return "update";
  if (request.method == "DELETE")
    return "delete";
  if (path == kObjects)
    return "list";
  const bool waits = QueryParameter(request.target, "watch") == "1";
  return waits ? "watch" : "read";
}

// A write as it stands in a request's body.
struct WriteRequest {
  std::string name;
  std::uint64_t version = 0;
  std::string value;
};

std::optional<WriteRequest> WriteRequestOf(std::string_view body) {
  std::optional<json::value> value = ParseJson(body);
  const json::object* top = value ? value->if_object() : nullptr;
  const json::object* metadata = top ? ObjectField(*top, "metadata") : nullptr;
  if (!metadata || !top->contains("value"))
    return std::nullopt;
  return WriteRequest{StringField(*metadata, "name").value_or(""),
                      static_cast<std::uint64_t>(
                          IntField(*metadata, "resourceVersion").value_or(0)),
                      json::serialize(*top->if_contains("value"))};
}

}  // namespace

class PlatformStandIn::Private {
 public:
  explicit Private(asio::io_context& context) : context(context) {}

  asio::awaitable<void> Handle(const std::string& domain,
                               const HttpRequest& request,
                               HttpExchange& exchange);
  asio::awaitable<HttpResponse> Answer(const HttpRequest& request);
  asio::awaitable<HttpResponse> Watch(std::string name,
                                      const HttpRequest& request);
  asio::awaitable<HttpResponse> WatchHosts(const HttpRequest& request);
  HttpResponse Read(const HttpRequest& request, const std::string& name);
  HttpResponse ListObjects(const HttpRequest& request);
  HttpResponse Create(const HttpRequest& request);
  HttpResponse Update(const HttpRequest& request, const std::string& name);
  HttpResponse Delete(const HttpRequest& request, const std::string& name);
  void WakeWatches();

  asio::io_context& context;
  ObjectStore store;
  FaultSwitches faults;
  HostListHistory hosts;
  std::set<asio::steady_timer*> watches;
  std::map<std::string, std::uint64_t> calls;
};

PlatformStandIn::PlatformStandIn(asio::io_context& context)
    : d_(std::make_shared<Private>(context)) {}

PlatformStandIn::~PlatformStandIn() = default;

HttpHandler PlatformStandIn::Handler(std::string domain) {
  return [d = d_, domain = std::move(domain)](const HttpRequest& request,
                                              HttpExchange& exchange) {
    return d->Handle(domain, request, exchange);
  };
}

asio::awaitable<void> PlatformStandIn::Private::Handle(
    const std::string& domain,
    const HttpRequest& request,
    HttpExchange& exchange) {
  if (co_await HandleFaultRequest(faults, request, exchange))
    co_return;
  if (request.target == "/stats") {
    co_await exchange.Send(
        JsonResponse(200, json::serialize(json::value_from(calls))));
    co_return;
  }
  const bool sets_hosts = request.target == "/hosts" && request.method == "PUT";
  if (!sets_hosts && !co_await PassFaults(faults, request, exchange))
    co_return;
  if (!co_await PassCut(faults, domain, exchange))
    co_return;
  ++calls[KindOf(request)];
  calls["bytes_in"] += request.body.size();
  HttpResponse response = co_await Answer(request);
  if (!co_await PassCut(faults, domain, exchange))
    co_return;
  calls["bytes_out"] += response.body.size();
  const bool writes = request.method != "GET" && !sets_hosts;
  if (writes && faults.lose_write_answers > 0) {
    --faults.lose_write_answers;
    exchange.Abort();
    co_return;
  }
  co_await exchange.Send(response);
}

asio::awaitable<HttpResponse> PlatformStandIn::Private::Answer(
    const HttpRequest& request) {
  std::string_view path = PathOf(request.target);
  if (path == "/hosts") {
    const auto now = std::chrono::steady_clock::now();
    if (request.method == "PUT") {
      hosts.Set(request.body, now);
      WakeWatches();
    }
    if (QueryParameter(request.target, "watch") == "1")
      co_return co_await WatchHosts(request);
    const std::chrono::milliseconds lag(faults.lag_hosts_ms);
    co_return JsonResponse(200, hosts.At(now - lag));
  }
  if (path == kObjects && request.method == "GET")
    co_return ListObjects(request);
  if (path == kObjects && request.method == "POST")
    co_return Create(request);
  if (!path.starts_with(kObjectPrefix))
    co_return ErrorResponse(404, "no such path");
  std::string name = PercentDecode(path.substr(kObjectPrefix.size()));
  if (request.method == "PUT")
    co_return Update(request, name);
  if (request.method == "DELETE")
    co_return Delete(request, name);
  if (QueryParameter(request.target, "watch") == "1")
    co_return co_await Watch(std::move(name), request);
  co_return Read(request, name);
}

HttpResponse PlatformStandIn::Private::Read(const HttpRequest&,
                                            const std::string& name) {
  const StoredObject* object = store.Find(name);
  return object ? JsonResponse(200, ObjectJson(*object))
                : ErrorResponse(404, "no such object");
}

HttpResponse PlatformStandIn::Private::ListObjects(const HttpRequest& request) {
  std::string body = "{\"items\":[";
  for (const StoredObject& it :
       store.List(QueryParameter(request.target, "prefix"))) {
    if (body.back() != '[')
      body += ',';
    body += ObjectJson(it);
  }
  return JsonResponse(200, body + "]}");
}

HttpResponse PlatformStandIn::Private::Create(const HttpRequest& request) {
  std::optional<WriteRequest> write = WriteRequestOf(request.body);
  if (!write || write->name.empty())
    return ErrorResponse(400, "no name or no value");
  if (write->value.size() > kMostValueBytes)
    return ErrorResponse(413, "the value is too large");
  std::optional<std::uint64_t> version =
      store.Create(write->name, std::move(write->value));
  if (!version)
    return ErrorResponse(409, "the object exists");
  WakeWatches();
  return VersionResponse(201, *version);
}

HttpResponse PlatformStandIn::Private::Update(const HttpRequest& request,
                                              const std::string& name) {
  std::optional<WriteRequest> write = WriteRequestOf(request.body);
  if (!write)
    return ErrorResponse(400, "no value");
  if (write->value.size() > kMostValueBytes)
    return ErrorResponse(413, "the value is too large");
  std::optional<std::uint64_t> version =
      store.Update(name, write->version, std::move(write->value));
  if (!version)
    return ErrorResponse(409, "the object has another version");
  WakeWatches();
  return VersionResponse(200, *version);
}

HttpResponse PlatformStandIn::Private::Delete(const HttpRequest& request,
                                              const std::string& name) {
  const std::uint64_t version =
      NumberOf(QueryParameter(request.target, "resourceVersion"));
  if (!store.Delete(name, version))
    return ErrorResponse(409, "the object has another version");
  return VersionResponse(200, version);
}

asio::awaitable<HttpResponse> PlatformStandIn::Private::Watch(
    std::string name,
    const HttpRequest& request) {
  const std::uint64_t after = NumberOf(QueryParameter(request.target, "after"));
  const std::chrono::milliseconds wait(
      NumberOf(QueryParameter(request.target, "wait_ms")));
  const auto deadline = std::chrono::steady_clock::now() + wait;
  asio::steady_timer timer(context);
  for (;;) {
    const StoredObject* object = store.Find(name);
    if (object && object->version > after)
      co_return JsonResponse(200, ObjectJson(*object));
    if (std::chrono::steady_clock::now() >= deadline)
      break;
    timer.expires_at(deadline);
    watches.insert(&timer);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    watches.erase(&timer);
  }
  HttpResponse response;
  response.status = 204;
  co_return response;
}

asio::awaitable<HttpResponse> PlatformStandIn::Private::WatchHosts(
    const HttpRequest& request) {
  const std::uint64_t after = NumberOf(QueryParameter(request.target, "after"));
  const std::chrono::milliseconds wait(
      NumberOf(QueryParameter(request.target, "wait_ms")));
  const auto deadline = std::chrono::steady_clock::now() + wait;
  asio::steady_timer timer(context);
  for (;;) {
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::milliseconds lag(faults.lag_hosts_ms);
    if (after == 0)
      co_return JsonResponse(200, hosts.WholeAt(now - lag));
    if (hosts.VersionAt(now - lag) != after) {
      std::optional<std::string> changes = hosts.ChangesAt(now - lag, after);
      co_return changes ? JsonResponse(200, *changes)
                        : ErrorResponse(410, "the version is too old");
    }
    if (now >= deadline)
      break;
    const auto next = hosts.NextAfter(now - lag);
    timer.expires_at(next ? std::min(deadline, *next + lag) : deadline);
    watches.insert(&timer);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    watches.erase(&timer);
  }
  HttpResponse response;
  response.status = 204;
  co_return response;
}

void PlatformStandIn::Private::WakeWatches() {
  for (asio::steady_timer* it : watches)
    it->cancel();
}

}  // namespace turmericwinch
