// Requests with an idempotency key that a host runs or has answered. Uses no
// clocks, threads or sockets.

#ifndef SRC_LIBS_DELIVERY_IDEMPOTENCY_KEYS_H_
#define SRC_LIBS_DELIVERY_IDEMPOTENCY_KEYS_H_

#include <chrono>
#include <cstddef>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace turmericwinch {

// How to handle a request with an idempotency key.
enum class KeyVerdict {
  // First request with its key on this host: run it, then call EndRun().
  kRun,
  // An equal request runs or ran here: give the caller its answer.
  kJoin,
  // The key was used for a different request: reject the request.
  kReused,
  // Too many requests with a key are running: run it, but don't let other
  // requests join it.
  kRunAlone,
};

// Names are those of claims, so that the keys of different teams don't collide.
// Ended runs are kept for kAnswerHold; the oldest are evicted first when their
// answers exceed the limits on number and bytes.
class IdempotencyKeys {
 public:
  using Time = std::chrono::steady_clock::time_point;

  KeyVerdict BeginRun(const std::string& name,
                      const std::string& body_digest,
                      Time now);
  // Records that the run of `name` ended. If `keep`, later requests can join
  // its answer of `bytes`.
  void EndRun(const std::string& name, bool keep, std::size_t bytes, Time now);

  // Returns the names that were forgotten since the last call.
  std::vector<std::string> TakeForgotten();

  std::size_t kept_bytes() const { return kept_bytes_; }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::string body_digest;
    bool ended = false;
    std::size_t bytes = 0;
    Time end;
  };

  void Expire(Time now);
  void Forget(const std::string& name);

  std::map<std::string, Entry> entries_;
  // Names of ended runs, the oldest first.
  std::list<std::string> ended_;
  std::vector<std::string> forgotten_;
  std::size_t kept_bytes_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_IDEMPOTENCY_KEYS_H_
