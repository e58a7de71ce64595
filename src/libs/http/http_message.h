// HTTP requests and responses, independent of the HTTP implementation.

#ifndef SRC_LIBS_HTTP_HTTP_MESSAGE_H_
#define SRC_LIBS_HTTP_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace turmericwinch {

// Header fields in order of appearance. Names are case-insensitive.
class HttpHeaders {
 public:
  void Add(std::string name, std::string value);
  // First value of `name`; an empty string if there is none.
  std::string_view Get(std::string_view name) const;
  bool Has(std::string_view name) const;
  const std::vector<std::pair<std::string, std::string>>& fields() const {
    return fields_;
  }

 private:
  std::vector<std::pair<std::string, std::string>> fields_;
};

// A request with its complete body. `target` is the path and the query.
struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  HttpHeaders headers;
  std::string body;
};

// A response with its complete body.
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

// Whether `status` says that a request succeeded.
bool IsSuccess(int status);

// The path of `target` without its query.
std::string_view PathOf(std::string_view target);

// Percent-encodes all bytes but letters, digits and "-._~", so that `text` can
// stand in a path segment or in the value of a query parameter.
std::string PercentEncode(std::string_view text);

// Decodes percent-encoded bytes; returns `text` itself if it is not encoded
// correctly.
std::string PercentDecode(std::string_view text);

// Decoded value of the query parameter `name` of `target`; empty if absent.
std::string QueryParameter(std::string_view target, std::string_view name);

// A response with a JSON body.
HttpResponse JsonResponse(int status, std::string body);

}  // namespace turmericwinch

#endif  // SRC_LIBS_HTTP_HTTP_MESSAGE_H_
