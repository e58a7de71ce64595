// Stands in for a model engine: streams made-up tokens at a set speed.

#ifndef SRC_LIBS_STANDIN_ENGINE_STAND_IN_H_
#define SRC_LIBS_STANDIN_ENGINE_STAND_IN_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "libs/http/http_server.h"

namespace turmericwinch {

// Speed of the engine. Times are those of an idle engine. Requests beyond
// `slots` wait in it; 0 for no bound.
struct EngineSpeed {
  std::chrono::microseconds first_token{1000};
  std::chrono::microseconds between_tokens{1000};
  std::int64_t slots = 0;
};

// Serves POST /v1/chat/completions, which `X-Resume-From: N` starts at token
// N; DELETE /v1/requests/ID, which ends a generation and answers its usage;
// GET /healthz, PUT /faults, and GET /stats with the tokens and runs of each
// request and the streams resumed and cancelled. Used on one thread.
class EngineStandIn {
 public:
  EngineStandIn(boost::asio::io_context& context,
                std::string name,
                EngineSpeed speed);
  ~EngineStandIn();

  HttpHandler Handler();

 private:
  class Private;
  std::shared_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_STANDIN_ENGINE_STAND_IN_H_
