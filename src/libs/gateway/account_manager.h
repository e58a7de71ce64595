// Synchronizes this host's row of the fleet account and its stock of tokens
// with the store.

#ifndef SRC_LIBS_GATEWAY_ACCOUNT_MANAGER_H_
#define SRC_LIBS_GATEWAY_ACCOUNT_MANAGER_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <memory>

#include "libs/gateway/account_stats.h"
#include "libs/gateway/gateway_context.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// Used on the control thread. The account is one object in the store. Hosts
// write it with a compare-and-swap on its version. Rows hold totals that only
// grow, so a write that is repeated, lost or late is never counted twice.
class AccountManager {
 public:
  AccountManager(GatewayContext& context, PlatformClient& platform);
  ~AccountManager();

  // Runs until the process ends.
  boost::asio::awaitable<void> Run();
  // Starts a sync soon. Thread-safe.
  void RequestSync();
  // Gets tokens for the requests that wait: from the host that keeps the stock
  // of this failure domain, else from the account, or from any other host while
  // the store is unavailable. Thread-safe.
  void RequestTokens();
  // Returns all unused tokens and closes this host's row. Returns false if the
  // write to the store failed.
  boost::asio::awaitable<bool> Close();
  // Time of the last successful sync, or of the start before the first one. A
  // sync also succeeds if the plan needs no call to the store.
  std::chrono::steady_clock::time_point synced_at() const;
  // Calls to the store for the account since the start.
  const AccountStats& stats() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_ACCOUNT_MANAGER_H_
