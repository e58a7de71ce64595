// Stands in for the platform: the object API and the host list over HTTP.

#ifndef SRC_LIBS_STANDIN_PLATFORM_STAND_IN_H_
#define SRC_LIBS_STANDIN_PLATFORM_STAND_IN_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "libs/http/http_server.h"

namespace turmericwinch {

// Serves GET/POST/PUT/DELETE /objects, watches, GET and PUT /hosts, PUT
// /faults, and GET /stats with the number of calls by kind and the bytes of
// their bodies. Used on one thread.
class PlatformStandIn {
 public:
  explicit PlatformStandIn(boost::asio::io_context& context);
  ~PlatformStandIn();

  // Handler of the listener that `domain` reaches the platform by; the faults
  // can cut it off. Without a domain it is never cut.
  HttpHandler Handler(std::string domain = {});

 private:
  class Private;
  std::shared_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_STANDIN_PLATFORM_STAND_IN_H_
