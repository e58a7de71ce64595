#include "libs/node/shared_answer.h"

#include <boost/asio.hpp>

#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

Refusal NoRoom() {
  return MakeRefusal({ResultCode::kInProgress,
                      "an attempt with this key is in progress and its answer "
                      "is too long to follow; ask again for its answer"},
                     RanState::kUnknown);
}

}  // namespace

SharedAnswer::SharedAnswer(std::shared_ptr<std::atomic<std::size_t>> total)
    : total_(std::move(total)) {}

SharedAnswer::~SharedAnswer() {
  *total_ -= bytes_.size();
}

void SharedAnswer::Append(std::string_view bytes) {
  std::lock_guard lock(mutex_);
  if (dropped_ || ended_)
    return;
  if (bytes_.size() + bytes.size() > kMaxSharedAnswerBytes ||
      *total_ + bytes.size() > kMaxSharedBytes) {
    dropped_ = true;
    *total_ -= bytes_.size();
    bytes_.clear();
    bytes_.shrink_to_fit();
  } else {
    bytes_ += bytes;
    *total_ += bytes.size();
  }
  Wake();
}

void SharedAnswer::EndStream(bool whole) {
  std::lock_guard lock(mutex_);
  if (ended_)
    return;
  ended_ = true;
  whole_ = whole && !dropped_;
  Wake();
}

void SharedAnswer::EndWith(HttpResponse response) {
  std::lock_guard lock(mutex_);
  if (ended_)
    return;
  ended_ = true;
  whole_ = true;
  response_ = std::move(response);
  bytes_ += response_->body;
  *total_ += response_->body.size();
  Wake();
}

void SharedAnswer::EndWith(Refusal refusal) {
  std::lock_guard lock(mutex_);
  if (ended_)
    return;
  ended_ = true;
  refusal_ = std::move(refusal);
  Wake();
}

std::optional<HttpResponse> SharedAnswer::Whole() const {
  std::lock_guard lock(mutex_);
  if (!whole_)
    return std::nullopt;
  if (response_)
    return response_;
  HttpResponse response;
  response.headers.Add("Content-Type", "text/event-stream");
  response.body = bytes_;
  return response;
}

asio::awaitable<AnswerPart> SharedAnswer::Next(std::size_t from) {
  auto timer = std::make_shared<asio::steady_timer>(
      co_await asio::this_coro::executor,
      asio::steady_timer::time_point::max());
  for (;;) {
    {
      std::lock_guard lock(mutex_);
      std::optional<AnswerPart> part = Part(from);
      if (part)
        co_return std::move(*part);
      // The timer's own thread cancels it, so only after the wait has begun.
      waiters_.push_back([timer] {
        asio::post(timer->get_executor(), [timer] { timer->cancel(); });
      });
    }
    co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

std::optional<AnswerPart> SharedAnswer::Part(std::size_t from) const {
  AnswerPart part;
  part.ended = ended_;
  part.whole = whole_;
  part.response = response_;
  part.refusal = refusal_;
  if (dropped_) {
    part.ended = true;
    part.whole = false;
    part.refusal = NoRoom();
  }
  if (!response_ && from < bytes_.size())
    part.bytes = bytes_.substr(from);
  if (part.bytes.empty() && !part.ended)
    return std::nullopt;
  return part;
}

void SharedAnswer::Wake() {
  for (const auto& it : waiters_)
    it();
  waiters_.clear();
}

}  // namespace turmericwinch
