// Which requests with an idempotency key a host runs or remembers. Free of
// clocks, threads and sockets.

#ifndef SRC_LIBS_DELIVERY_IDEMPOTENCY_KEYS_H_
#define SRC_LIBS_DELIVERY_IDEMPOTENCY_KEYS_H_

#include <chrono>
#include <cstddef>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace turmericwinch {

// What to do with a request.
enum class KeyVerdict {
  // It is the first with its key here: run it, then call EndRun().
  kRun,
  // An equal one runs or ran here: give the caller its answer.
  kJoin,
  // The key was used for another request.
  kReused,
  // Too many run with a key: run it, but no other can join it.
  kRunAlone,
};

// Names are those of claims, so that teams don't meet. Answers that ended are
// remembered for kAnswerHold, the oldest go first where bytes are short.
class IdempotencyKeys {
 public:
  using Time = std::chrono::steady_clock::time_point;

  KeyVerdict BeginRun(const std::string& name,
                      const std::string& body_digest,
                      Time now);
  // The run of `name` ended; its answer of `bytes` is kept if `keep`.
  void EndRun(const std::string& name, bool keep, std::size_t bytes, Time now);

  // Names that were forgotten since the last call.
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
  // Ended ones, the oldest first.
  std::list<std::string> ended_;
  std::vector<std::string> forgotten_;
  std::size_t kept_bytes_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_IDEMPOTENCY_KEYS_H_
