// An answer that several callers follow as it comes.

#ifndef SRC_LIBS_NODE_SHARED_ANSWER_H_
#define SRC_LIBS_NODE_SHARED_ANSWER_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/http/http_message.h"
#include "libs/node/refusal.h"

namespace turmericwinch {

// What has come since a follower looked last. At the end either `response` or
// `refusal` is set, or the stream was `whole`, or it was broken off.
struct AnswerPart {
  std::string bytes;
  bool ended = false;
  bool whole = false;
  std::optional<HttpResponse> response;
  std::optional<Refusal> refusal;
};

// Written by one request's coroutine, read by those of others. Safe from any
// thread.
class SharedAnswer {
 public:
  // `total` counts the bytes of all answers, and outlives this one.
  explicit SharedAnswer(std::shared_ptr<std::atomic<std::size_t>> total);
  ~SharedAnswer();

  // Adds server-sent events. Where there is no room, followers are refused.
  void Append(std::string_view bytes);
  // Ends a stream.
  void EndStream(bool whole);
  // Ends with a whole response, or a refusal. Does nothing after an end.
  void EndWith(HttpResponse response);
  void EndWith(Refusal refusal);

  // The answer if it ended whole, for keeping.
  std::optional<HttpResponse> Whole() const;

  // Waits for bytes after the first `from`, or for the end.
  boost::asio::awaitable<AnswerPart> Next(std::size_t from);

 private:
  std::optional<AnswerPart> Part(std::size_t from) const;
  // Calls and forgets those who wait. The mutex is held.
  void Wake();

  std::shared_ptr<std::atomic<std::size_t>> total_;
  mutable std::mutex mutex_;
  std::string bytes_;
  bool dropped_ = false;
  bool ended_ = false;
  bool whole_ = false;
  std::optional<HttpResponse> response_;
  std::optional<Refusal> refusal_;
  std::vector<std::function<void()>> waiters_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_SHARED_ANSWER_H_
