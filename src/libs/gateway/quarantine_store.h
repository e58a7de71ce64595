// Keeps the quarantined prompt parts in the platform's store.

#ifndef SRC_LIBS_GATEWAY_QUARANTINE_STORE_H_
#define SRC_LIBS_GATEWAY_QUARANTINE_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <vector>

#include "libs/gateway/quarantined_parts_object.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// The verdicts outlive the processes of all hosts there, and reach hosts that
// are cut off from the others. Used on the control thread.
class QuarantineStore {
 public:
  // Receives the parts that are quarantined according to the store.
  using Sink = std::function<void(const std::vector<QuarantinedPart>&)>;

  QuarantineStore(boost::asio::io_context& control,
                  PlatformClient& platform,
                  Sink on_parts);

  // Watches the object, and creates it first. Runs until the process ends.
  boost::asio::awaitable<void> Run();
  // Stores the verdicts that the store does not have, and removes the parts
  // whose hold is 0. Nothing is stored while the store does not answer.
  void Store(const std::vector<QuarantinedPart>& changes);

 private:
  // Returns whether the store answered.
  boost::asio::awaitable<bool> WatchOnce();
  boost::asio::awaitable<void> Write(std::vector<QuarantinedPart> changes);
  // Reads the object anew, as another host has changed it. Returns false and
  // sets `reason` if that fails.
  boost::asio::awaitable<bool> Refresh(Reason* reason);
  void HandleObject(const PlatformObject& object);

  boost::asio::io_context& control_;
  PlatformClient& platform_;
  Sink on_parts_;
  QuarantinedPartsObject stored_;
  // Version of the object; 0 until it was read or created.
  std::uint64_t version_ = 0;
  bool is_writing_ = false;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_QUARANTINE_STORE_H_
