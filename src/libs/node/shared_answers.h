// Answers to chats with a key that run or ran on this host.

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

// What to do with a request, and the answer to write or to follow: none for
// kReused. That of kRunAlone can't be followed.
struct KeyedAnswer {
  KeyVerdict verdict = KeyVerdict::kReused;
  std::shared_ptr<SharedAnswer> answer;
};

// Safe from any thread.
class SharedAnswers {
 public:
  KeyedAnswer BeginRun(const std::string& name, const std::string& body_digest);
  // The run of `name` ended: its answer is kept if it is `whole`.
  void EndRun(const std::string& name, bool whole);

  // Answers that run or are kept, and their bytes.
  std::size_t size() const;
  std::size_t bytes() const;

 private:
  void RemoveForgotten();

  mutable std::mutex mutex_;
  IdempotencyKeys keys_;
  std::map<std::string, std::shared_ptr<SharedAnswer>> answers_;
  std::shared_ptr<std::atomic<std::size_t>> total_ =
      std::make_shared<std::atomic<std::size_t>>(0);
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_SHARED_ANSWERS_H_
