// Answers to chats with an idempotency key that run or ran on this host.

#ifndef SRC_LIBS_NODE_SHARED_ANSWERS_H_
#define SRC_LIBS_NODE_SHARED_ANSWERS_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "libs/delivery/idempotency_keys.h"
#include "libs/node/shared_answer.h"

namespace turmericwinch {

// How to handle a request, and the answer to write to or to read from. There is
// no answer for kReused; other requests can't read the answer of kRunAlone.
struct KeyedAnswer {
  KeyVerdict verdict = KeyVerdict::kReused;
  std::shared_ptr<SharedAnswer> answer;
};

// Thread-safe.
class SharedAnswers {
 public:
  KeyedAnswer BeginRun(const std::string& name, const std::string& body_digest);
  // Ends the run of `name`. Its answer is kept if it is `complete`.
  void EndRun(const std::string& name, bool complete);

  // Number of answers that are being generated or kept, and their total bytes.
  std::size_t size() const;
  std::size_t bytes() const;

 private:
  void RemoveForgotten();

  mutable std::mutex mutex_;
  IdempotencyKeys keys_;
  std::map<std::string, std::shared_ptr<SharedAnswer>> answers_;
  std::shared_ptr<std::atomic<std::size_t>> total_bytes_ =
      std::make_shared<std::atomic<std::size_t>>(0);
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_SHARED_ANSWERS_H_
