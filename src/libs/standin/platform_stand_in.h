// Stands in for the platform: the object API and the host list over HTTP.

#ifndef SRC_LIBS_STANDIN_PLATFORM_STAND_IN_H_
#define SRC_LIBS_STANDIN_PLATFORM_STAND_IN_H_

#include <boost/asio/io_context.hpp>
#include <memory>

#include "libs/http/http_server.h"

namespace turmericwinch {

// Serves GET/POST/PUT/DELETE /objects, watches, GET and PUT /hosts, PUT
// /faults, and GET /stats with the number of calls. Used on one thread.
class PlatformStandIn {
 public:
  explicit PlatformStandIn(boost::asio::io_context& context);
  ~PlatformStandIn();

  HttpHandler Handler();

 private:
  class Private;
  std::shared_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_STANDIN_PLATFORM_STAND_IN_H_
