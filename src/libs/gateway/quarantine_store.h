// Keeps the verdicts of the quarantine in the platform's store.

#ifndef SRC_LIBS_GATEWAY_QUARANTINE_STORE_H_
#define SRC_LIBS_GATEWAY_QUARANTINE_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>

#include "libs/gateway/store_news_exchange.h"
#include "libs/gateway/stored_quarantine.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// The verdicts outlive the processes of all hosts there, and reach hosts that
// are cut off from the others. Used on the control thread.
class QuarantineStore {
 public:
  // Receives the verdicts that hold according to the store.
  using Sink = std::function<void(const QuarantineVerdicts&)>;

  QuarantineStore(boost::asio::io_context& control,
                  PlatformClient& platform,
                  StoreNewsExchange& news,
                  Sink on_verdicts);

  // Watches the object, and creates it first. Runs until the process ends.
  boost::asio::awaitable<void> Run();
  // Stores the verdicts that the store does not have, and removes those whose
  // hold is 0. Nothing is stored while the store does not answer.
  void Store(const QuarantineVerdicts& changes);

 private:
  // Returns whether the store answered.
  boost::asio::awaitable<bool> WatchOnce();
  boost::asio::awaitable<void> Write(QuarantineVerdicts changes);
  // Reads the object anew, as another host has changed it. Returns false and
  // sets `reason` if that fails.
  boost::asio::awaitable<bool> Refresh(Reason* reason);
  void HandleObject(const PlatformObject& object);

  boost::asio::io_context& control_;
  PlatformClient& platform_;
  StoreNewsExchange& news_;
  Sink on_verdicts_;
  StoredQuarantine stored_;
  // Version of the object; not set until it was read or created.
  StoreVersion version_;
  bool is_writing_ = false;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_QUARANTINE_STORE_H_
