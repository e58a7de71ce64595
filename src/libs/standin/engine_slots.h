// Bounds what an engine runs at once.

#ifndef SRC_LIBS_STANDIN_ENGINE_SLOTS_H_
#define SRC_LIBS_STANDIN_ENGINE_SLOTS_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <memory>

namespace turmericwinch {

// Requests beyond `slots` wait, first come first served. Used on one thread;
// outlives its holders.
class EngineSlots {
 public:
  // Gives its place back when dropped.
  class Holder {
   public:
    explicit Holder(EngineSlots& slots) : slots_(slots) {}
    Holder(const Holder&) = delete;
    Holder& operator=(const Holder&) = delete;
    ~Holder() { slots_.Leave(); }

   private:
    EngineSlots& slots_;
  };

  // 0 slots: no bound.
  explicit EngineSlots(std::int64_t slots) : slots_(slots) {}

  // Takes a place; the caller makes a Holder of it at once.
  boost::asio::awaitable<void> Enter();

 private:
  void Leave();

  std::int64_t slots_;
  std::int64_t running_ = 0;
  std::deque<std::shared_ptr<boost::asio::steady_timer>> waiting_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_STANDIN_ENGINE_SLOTS_H_
