#include "libs/node/target_probe.h"

#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr int kStatusOk = 200;

}  // namespace

asio::awaitable<ProbeResult> ProbeTarget(HttpClient& client,
                                         asio::ip::tcp::endpoint endpoint,
                                         HttpFailure failure,
                                         bool needs_ok) {
  if (failure.phase == HttpPhase::kConnect)
    co_return ProbeResult::kFailed;
  client.DropIdle(endpoint);
  HttpRequest request;
  request.target = "/healthz";
  const HttpTimeouts timeouts{kTargetConnectTimeout, kTargetProbeTimeout,
                              kTargetProbeTimeout};
  HttpFailure probe_failure;
  std::optional<HttpResponse> response =
      co_await client.Call(endpoint, request, timeouts, &probe_failure);
  if (response && (!needs_ok || response->status == kStatusOk))
    co_return ProbeResult::kAlive;
  if (failure.timed_out && probe_failure.timed_out)
    co_return ProbeResult::kSilent;
  const bool lost = !response && !probe_failure.timed_out && !failure.timed_out;
  co_return lost ? ProbeResult::kLost : ProbeResult::kFailed;
}

}  // namespace turmericwinch
