#include "libs/http/http_message.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/pct_string_view.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <boost/url/url_view.hpp>

namespace turmericwinch {

namespace {

constexpr int kFirstSuccessStatus = 200;
constexpr int kFirstNonSuccessStatus = 300;

}  // namespace

void HttpHeaders::Add(std::string name, std::string value) {
  fields_.emplace_back(std::move(name), std::move(value));
}

std::string_view HttpHeaders::Get(std::string_view name) const {
  for (const auto& [key, value] : fields_) {
    if (boost::algorithm::iequals(key, name))
      return value;
  }
  return {};
}

bool HttpHeaders::Has(std::string_view name) const {
  for (const auto& [key, value] : fields_) {
    if (boost::algorithm::iequals(key, name))
      return true;
  }
  return false;
}

bool IsSuccess(int status) {
  return status >= kFirstSuccessStatus && status < kFirstNonSuccessStatus;
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string PercentEncode(std::string_view text) {
  return boost::urls::encode(text, boost::urls::unreserved_chars);
}

std::string PercentDecode(std::string_view text) {
  const auto encoded = boost::urls::make_pct_string_view(text);
  return encoded ? encoded->decode() : std::string(text);
}

std::string QueryParameter(std::string_view target, std::string_view name) {
  auto url = boost::urls::parse_origin_form(target);
  if (!url)
    return {};
  auto params = url->params();
  auto it = params.find(name);
  if (it == params.end())
    return {};
  return (*it).value;
}

HttpResponse JsonResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = std::move(body);
  return response;
}

}  // namespace turmericwinch
