// Keeps this host's row of the fleet's account, and its stock of tokens.

#ifndef SRC_LIBS_GATEWAY_ACCOUNT_KEEPER_H_
#define SRC_LIBS_GATEWAY_ACCOUNT_KEEPER_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <memory>

#include "libs/gateway/gateway_context.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// On the control thread. The account is one object that each host writes under
// the condition that it has not changed; rows hold totals that only grow, so a
// write that is repeated, lost or late changes nothing twice.
class AccountKeeper {
 public:
  AccountKeeper(GatewayContext& context, PlatformClient& platform);
  ~AccountKeeper();

  // Runs until the process ends.
  boost::asio::awaitable<void> Run();
  // Draws soon, as a request waits. Safe from any thread.
  void Wake();
  // Gives everything back that is not in use and closes the row. False if the
  // store could not be written.
  boost::asio::awaitable<bool> Close();
  // When the account was last as planned, by the store's answer or without need
  // of one; the start before that.
  std::chrono::steady_clock::time_point synced_at() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_ACCOUNT_KEEPER_H_
