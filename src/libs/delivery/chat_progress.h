// What of a model's answer has reached its caller. Free of clocks, threads and
// sockets.

#ifndef SRC_LIBS_DELIVERY_CHAT_PROGRESS_H_
#define SRC_LIBS_DELIVERY_CHAT_PROGRESS_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericwinch {

// What to do with a piece of an answer.
enum class AnswerVerdict {
  // Pass it on.
  kPass,
  // The answer is whole.
  kEnd,
  // It belongs to another request: drop it and close its connection.
  kCrossed,
  // It belongs to an earlier attempt at this request: the same.
  kLate,
  // It is not what a sound target sends: the same.
  kMalformed,
};

// Checks the pieces of an answer against the id of the attempt under way, and
// counts the tokens passed on, so that a broken stream goes on after the last
// of them.
class ChatProgress {
 public:
  // `run_id` is the host's own id of the request, `caller_id` the caller's;
  // `most_tokens` is the number that the request allows the engine.
  ChatProgress(std::string run_id,
               std::string caller_id,
               std::int64_t most_tokens);

  // Starts the next attempt: only answers with its id pass from now on.
  void StartAttempt();
  // The id that the attempt's target gets.
  const std::string& attempt_id() const { return attempt_id_; }
  // The id of the attempt that the last token came from; empty if none came.
  const std::string& resumed_id() const { return resumed_id_; }

  // Takes the data of one server-sent event.
  AnswerVerdict OnEvent(std::string_view data);
  // Takes a whole answer that was not streamed.
  AnswerVerdict OnWholeAnswer(std::string_view body);
  // Takes the answer to a cancellation; false if it is not this attempt's.
  bool OnCancelResponse(std::string_view body);

  // `piece`, an event or an answer that passed, with the caller's id in place
  // of the attempt's.
  std::string WithCallerId(std::string_view piece) const;

  // Tokens passed on, and their text.
  std::int64_t tokens() const { return tokens_; }
  const std::string& text() const { return text_; }
  // Prompt and output tokens that the engine reported.
  std::optional<std::int64_t> usage() const { return usage_; }
  // What the team pays: the usage, or else what a cancelled engine had used or
  // the tokens passed on, whichever is more.
  std::int64_t BilledTokens() const;

 private:
  // kPass if `answer` has the attempt's id.
  AnswerVerdict CheckId(const boost::json::object& answer) const;
  bool TakeUsage(const boost::json::object& answer);

  std::string run_id_;
  std::string caller_id_;
  int attempts_ = 0;
  std::string attempt_id_;
  std::string resumed_id_;
  std::int64_t most_tokens_;
  std::int64_t tokens_ = 0;
  std::string text_;
  std::optional<std::int64_t> usage_;
  std::int64_t cancelled_usage_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_CHAT_PROGRESS_H_
