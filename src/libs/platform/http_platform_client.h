// Client of the platform's object API over HTTP.

#ifndef SRC_LIBS_PLATFORM_HTTP_PLATFORM_CLIENT_H_
#define SRC_LIBS_PLATFORM_HTTP_PLATFORM_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "libs/platform/call_counter.h"
#include "libs/platform/platform_client.h"
#include "libs/platform/platform_gate.h"

namespace turmericwinch {

// Talks to one platform at one address. Used only from its io_context's thread.
class HttpPlatformClient : public PlatformClient {
 public:
  HttpPlatformClient(boost::asio::io_context& context,
                     boost::asio::ip::tcp::endpoint endpoint);
  ~HttpPlatformClient() override;

  // Limits calls from now on to this host's share of the rates of `fleet`.
  void Limit(PlatformRates fleet, std::size_t hosts);
  // Sets how many hosts share the fleet's rates. Has no effect before Limit().
  void SetHosts(std::size_t hosts);

  Answer<PlatformObject> Get(PlatformDuty duty,
                             std::string name,
                             Reason* reason) override;
  Answer<StoreVersion> Create(PlatformDuty duty,
                              std::string name,
                              std::string value,
                              Reason* reason) override;
  Answer<StoreVersion> Update(PlatformDuty duty,
                              PlatformObject object,
                              Reason* reason) override;
  Answer<StoreVersion> Delete(PlatformDuty duty,
                              std::string name,
                              StoreVersion version,
                              Reason* reason) override;
  Answer<std::vector<PlatformObject>> List(PlatformDuty duty,
                                           std::string prefix,
                                           Reason* reason) override;
  Answer<PlatformObject> Watch(PlatformDuty duty,
                               std::string name,
                               StoreVersion after,
                               std::chrono::milliseconds wait,
                               Reason* reason) override;
  Answer<std::string> Hosts(Reason* reason) override;
  Answer<PlatformHosts> HostsSince(StoreVersion after,
                                   std::chrono::milliseconds wait,
                                   Reason* reason) override;

  const CallCounter& counter() const;
  const CallCounter* call_counter() const override { return &counter(); }
  // Null before Limit() is called.
  const PlatformLimiter* limiter() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_PLATFORM_HTTP_PLATFORM_CLIENT_H_
