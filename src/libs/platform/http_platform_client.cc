#include "libs/platform/http_platform_client.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "libs/base/json_fields.h"
#include "libs/base/log.h"
#include "libs/platform/platform_response.h"
#include "libs/platform/platform_transport.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr LogCategory kLog{"store"};
constexpr std::chrono::milliseconds kCallTimeout{2000};
constexpr std::chrono::milliseconds kWatchTimeoutMargin{2000};
constexpr int kStatusNoContent = 204;

std::string PathOfObject(const std::string& name) {
  return "/objects/" + PercentEncode(name);
}

json::value ParseResponse(const HttpResponse& response) {
  return ParsePlatformResponse(response.body, {"value"});
}

HttpRequest MakeRequest(std::string method, std::string target) {
  HttpRequest request;
  request.method = std::move(method);
  request.target = std::move(target);
  request.headers.Add("Content-Type", "application/json");
  return request;
}

std::optional<PlatformObject> ParseObject(const json::value& value,
                                          Reason* reason) {
  const json::object* object = value.if_object();
  const json::object* metadata =
      object ? ObjectField(*object, "metadata") : nullptr;
  const json::value* content = object ? object->if_contains("value") : nullptr;
  if (!metadata || !content) {
    return Fail(reason, ResultCode::kPlatformRejected,
                "the platform's response has no metadata or no value");
  }
  std::optional<std::string> name = StringField(*metadata, "name");
  std::optional<std::uint64_t> version =
      UintField(*metadata, "resourceVersion");
  if (!name || !version) {
    return Fail(reason, ResultCode::kPlatformRejected,
                "the platform's response has no object name or no version");
  }
  return PlatformObject{*name, {0, *version}, json::serialize(*content)};
}

std::optional<StoreVersion> ParseVersion(const HttpResponse& response,
                                         Reason* reason) {
  const json::value value = ParseResponse(response);
  const json::object* top = value.if_object();
  const json::object* metadata = top ? ObjectField(*top, "metadata") : nullptr;
  std::optional<std::uint64_t> version;
  if (metadata)
    version = UintField(*metadata, "resourceVersion");
  if (!version) {
    return Fail(reason, ResultCode::kPlatformUnknown,
                "the platform's response to a write has no version");
  }
  return StoreVersion{0, *version};
}

std::string SerializeObject(const std::string& name,
                            StoreVersion version,
                            const std::string& value) {
  std::string body = "{\"metadata\":{\"name\":";
  body += json::serialize(json::string(name));
  body += ",\"resourceVersion\":" + std::to_string(version.revision);
  body += "},\"value\":" + value + "}";
  return body;
}

}  // namespace

class HttpPlatformClient::Private {
 public:
  Private(asio::io_context& context, asio::ip::tcp::endpoint endpoint)
      : transport(context, endpoint) {}

  PlatformTransport transport;
};

HttpPlatformClient::HttpPlatformClient(asio::io_context& context,
                                       asio::ip::tcp::endpoint endpoint)
    : d_(std::make_unique<Private>(context, endpoint)) {}

HttpPlatformClient::~HttpPlatformClient() = default;

void HttpPlatformClient::Limit(PlatformRates fleet, std::size_t hosts) {
  d_->transport.Limit(fleet, hosts);
}

void HttpPlatformClient::SetHosts(std::size_t hosts) {
  d_->transport.SetHosts(hosts);
}

const PlatformLimiter* HttpPlatformClient::limiter() const {
  return d_->transport.limiter();
}

const CallCounter& HttpPlatformClient::counter() const {
  return d_->transport.counter();
}

PlatformClient::Answer<PlatformObject>
HttpPlatformClient::Get(PlatformDuty duty, std::string name, Reason* reason) {
  std::optional<HttpResponse> response = co_await d_->transport.Send(
      duty, PlatformCallKind::kRead, MakeRequest("GET", PathOfObject(name)),
      kCallTimeout, reason);
  if (!response)
    co_return std::nullopt;
  co_return ParseObject(ParseResponse(*response), reason);
}

PlatformClient::Answer<StoreVersion> HttpPlatformClient::Create(
    PlatformDuty duty,
    std::string name,
    std::string value,
    Reason* reason) {
  HttpRequest request = MakeRequest("POST", "/objects");
  request.body = SerializeObject(name, {}, value);
  std::optional<HttpResponse> response = co_await d_->transport.Send(
      duty, PlatformCallKind::kWrite, std::move(request), kCallTimeout, reason);
  if (!response)
    co_return std::nullopt;
  co_return ParseVersion(*response, reason);
}

PlatformClient::Answer<StoreVersion> HttpPlatformClient::Update(
    PlatformDuty duty,
    PlatformObject object,
    Reason* reason) {
  HttpRequest request = MakeRequest("PUT", PathOfObject(object.name));
  request.body = SerializeObject(object.name, object.version, object.value);
  std::optional<HttpResponse> response = co_await d_->transport.Send(
      duty, PlatformCallKind::kWrite, std::move(request), kCallTimeout, reason);
  if (!response)
    co_return std::nullopt;
  co_return ParseVersion(*response, reason);
}

PlatformClient::Answer<StoreVersion> HttpPlatformClient::Delete(
    PlatformDuty duty,
    std::string name,
    StoreVersion version,
    Reason* reason) {
  HttpRequest request = MakeRequest(
      "DELETE", PathOfObject(name) +
                    "?resourceVersion=" + std::to_string(version.revision));
  std::optional<HttpResponse> response = co_await d_->transport.Send(
      duty, PlatformCallKind::kWrite, std::move(request), kCallTimeout, reason);
  if (!response)
    co_return std::nullopt;
  co_return version;
}

PlatformClient::Answer<std::vector<PlatformObject>> HttpPlatformClient::List(
    PlatformDuty duty,
    std::string prefix,
    Reason* reason) {
  std::optional<HttpResponse> response = co_await d_->transport.Send(
      duty, PlatformCallKind::kRead,
      MakeRequest("GET", "/objects?prefix=" + PercentEncode(prefix)),
      kCallTimeout, reason);
  if (!response)
    co_return std::nullopt;
  const json::value value = ParseResponse(*response);
  const json::object* top = value.if_object();
  const json::array* items = top ? ArrayField(*top, "items") : nullptr;
  if (!items) {
    co_return Fail(reason, ResultCode::kPlatformRejected,
                   "the platform's response to a list request has no items");
  }
  std::vector<PlatformObject> objects;
  for (const json::value& it : *items) {
    Reason why;
    std::optional<PlatformObject> object = ParseObject(it, &why);
    if (object)
      objects.push_back(std::move(*object));
    else
      LogEvent(kLog, Severity::kWarning, "object_ignored",
               {{"prefix", prefix}, {"reason", why.text}});
  }
  co_return objects;
}

PlatformClient::Answer<PlatformObject> HttpPlatformClient::Watch(
    PlatformDuty duty,
    std::string name,
    StoreVersion after,
    std::chrono::milliseconds wait,
    Reason* reason) {
  HttpRequest request = MakeRequest(
      "GET", PathOfObject(name) +
                 "?watch=1&after=" + std::to_string(after.revision) +
                 "&wait_ms=" + std::to_string(wait.count()));
  std::optional<HttpResponse> response = co_await d_->transport.Send(
      duty, PlatformCallKind::kWatch, std::move(request),
      wait + kWatchTimeoutMargin, reason);
  if (!response)
    co_return std::nullopt;
  if (response->status == kStatusNoContent) {
    co_return Fail(reason, ResultCode::kPlatformNotFound,
                   "object " + name + " has no version after " +
                       std::to_string(after.revision));
  }
  co_return ParseObject(ParseResponse(*response), reason);
}

PlatformClient::Answer<std::string> HttpPlatformClient::Hosts(Reason* reason) {
  std::optional<HttpResponse> response = co_await d_->transport.Send(
      PlatformDuty::kHosts, PlatformCallKind::kRead,
      MakeRequest("GET", "/hosts"), kCallTimeout, reason);
  if (!response)
    co_return std::nullopt;
  co_return std::move(response->body);
}

PlatformClient::Answer<PlatformHosts> HttpPlatformClient::HostsSince(
    StoreVersion after,
    std::chrono::milliseconds wait,
    Reason* reason) {
  const PlatformCallKind kind =
      after.IsSet() ? PlatformCallKind::kWatch : PlatformCallKind::kRead;
  HttpRequest request = MakeRequest(
      "GET", "/hosts?watch=1&after=" + std::to_string(after.revision) +
                 "&wait_ms=" + std::to_string(wait.count()));
  Reason why;
  std::optional<HttpResponse> response = co_await d_->transport.Send(
      PlatformDuty::kHosts, kind, std::move(request),
      wait + kWatchTimeoutMargin, &why);
  // The platform no longer keeps the changes since version `after`.
  if (!response && after.IsSet() && why.code == ResultCode::kPlatformNotFound)
    co_return co_await HostsSince({}, wait, reason);
  if (!response)
    co_return Fail(reason, why.code, why.text);
  if (response->status == kStatusNoContent)
    co_return PlatformHosts{after, false, ""};
  PlatformHosts hosts;
  const json::value value = ParseResponse(*response);
  const json::object* top = value.if_object();
  const json::object* metadata = top ? ObjectField(*top, "metadata") : nullptr;
  if (metadata) {
    hosts.version.revision =
        UintField(*metadata, "resourceVersion").value_or(0);
    hosts.is_whole = !top->contains("changes");
  }
  hosts.text = std::move(response->body);
  co_return hosts;
}

}  // namespace turmericwinch
