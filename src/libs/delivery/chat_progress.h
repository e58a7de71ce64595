// Tracks the part of a model's answer that was passed to the caller. Uses no
// clocks, threads or sockets.

#ifndef SRC_LIBS_DELIVERY_CHAT_PROGRESS_H_
#define SRC_LIBS_DELIVERY_CHAT_PROGRESS_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericwinch {

// How to handle an event or a whole answer.
enum class AnswerVerdict {
  // Pass it to the caller.
  kPass,
  // The answer is complete.
  kEnd,
  // It carries the id of another request: drop it and close the connection.
  kCrossed,
  // It carries the id of another attempt of this request: drop it and close the
  // connection.
  kLate,
  // It violates the protocol: drop it and close the connection.
  kMalformed,
};

// Checks the id of each event or answer against that of the current attempt,
// and keeps the tokens that were passed on, so that a broken stream can be
// resumed after the last of them.
class ChatProgress {
 public:
  // `run_id` is the host's internal id of the request, `caller_id` the caller's
  // id. `max_tokens` is the number of output tokens that the request allows.
  ChatProgress(std::string run_id,
               std::string caller_id,
               std::int64_t max_tokens);

  // Starts the next attempt; from now on only answers with its id are accepted.
  void StartAttempt();
  // The id that is sent to the target of the current attempt.
  const std::string& attempt_id() const { return attempt_id_; }
  // The id of the attempt that the last token came from; empty before the first
  // token.
  const std::string& resumed_id() const { return resumed_id_; }

  // Handles the data of one server-sent event.
  AnswerVerdict OnEvent(std::string_view data);
  // Handles an answer that was not streamed.
  AnswerVerdict OnWholeAnswer(std::string_view body);
  // Handles the response to a cancellation. Returns false if it is not for this
  // attempt or has no valid usage.
  bool OnCancelResponse(std::string_view body);

  // Returns `piece`, an accepted event or answer, with the caller's id in place
  // of the attempt's id.
  std::string WithCallerId(std::string_view piece) const;

  // Number of tokens passed on, and their text.
  std::int64_t tokens() const { return tokens_; }
  const std::string& text() const { return text_; }
  // Sum of the prompt and output tokens that the engine reported.
  std::optional<std::int64_t> usage() const { return usage_; }
  // Tokens to bill to the team: the reported usage, or without one the larger
  // of the usage reported on cancellation and the number of tokens passed on.
  std::int64_t BilledTokens() const;

 private:
  // Returns kPass if `answer` has the id of the current attempt.
  AnswerVerdict CheckId(const boost::json::object& answer) const;
  bool ReadUsage(const boost::json::object& answer);

  std::string run_id_;
  std::string caller_id_;
  int attempts_ = 0;
  std::string attempt_id_;
  std::string resumed_id_;
  std::int64_t max_tokens_;
  std::int64_t tokens_ = 0;
  std::string text_;
  std::optional<std::int64_t> usage_;
  std::int64_t cancelled_usage_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_CHAT_PROGRESS_H_
