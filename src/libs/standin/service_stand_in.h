// Stands in for a plain service with calls that may and may not be repeated.

#ifndef SRC_LIBS_STANDIN_SERVICE_STAND_IN_H_
#define SRC_LIBS_STANDIN_SERVICE_STAND_IN_H_

#include <boost/asio/io_context.hpp>
#include <memory>

#include "libs/http/http_server.h"

namespace turmericwinch {

// Answers every call, counts executions by Idempotency-Key, or by request id
// where there is none, and gives the counts at GET /stats. It does not guard
// against running a key twice. Used on one thread.
class ServiceStandIn {
 public:
  explicit ServiceStandIn(boost::asio::io_context& context);
  ~ServiceStandIn();

  HttpHandler Handler();

 private:
  class Private;
  std::shared_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_STANDIN_SERVICE_STAND_IN_H_
