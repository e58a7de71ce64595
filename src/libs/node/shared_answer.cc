#include "libs/node/shared_answer.h"

#include <boost/asio.hpp>

#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

Refusal TooLongRefusal() {
  return MakeRefusal({ResultCode::kInProgress,
                      "a request with this key is in progress and its answer "
                      "is too long to share; retry to get its answer"},
                     RanState::kUnknown);
}

}  // namespace

SharedAnswer::SharedAnswer(
    std::shared_ptr<std::atomic<std::size_t>> total_bytes)
    : total_bytes_(std::move(total_bytes)) {}

SharedAnswer::~SharedAnswer() {
  *total_bytes_ -= bytes_.size();
}

void SharedAnswer::AppendEvents(std::string_view bytes) {
  std::lock_guard lock(mutex_);
  if (overflowed_ || ended_)
    return;
  if (bytes_.size() + bytes.size() > kMaxSharedAnswerBytes ||
      *total_bytes_ + bytes.size() > kMaxSharedBytes) {
    overflowed_ = true;
    *total_bytes_ -= bytes_.size();
    bytes_.clear();
    bytes_.shrink_to_fit();
  } else {
    bytes_ += bytes;
    *total_bytes_ += bytes.size();
  }
  NotifyWaiters();
}

void SharedAnswer::EndStream(bool complete) {
  std::lock_guard lock(mutex_);
  if (ended_)
    return;
  ended_ = true;
  complete_ = complete && !overflowed_;
  NotifyWaiters();
}

void SharedAnswer::EndWith(HttpResponse response) {
  std::lock_guard lock(mutex_);
  if (ended_)
    return;
  ended_ = true;
  complete_ = true;
  response_ = std::move(response);
  bytes_ += response_->body;
  *total_bytes_ += response_->body.size();
  NotifyWaiters();
}

void SharedAnswer::EndWith(Refusal refusal) {
  std::lock_guard lock(mutex_);
  if (ended_)
    return;
  ended_ = true;
  refusal_ = std::move(refusal);
  NotifyWaiters();
}

std::optional<HttpResponse> SharedAnswer::CompleteResponse() const {
  std::lock_guard lock(mutex_);
  if (!complete_)
    return std::nullopt;
  if (response_)
    return response_;
  HttpResponse response;
  response.headers.Add("Content-Type", "text/event-stream");
  response.body = bytes_;
  return response;
}

asio::awaitable<AnswerPart> SharedAnswer::WaitForPart(std::size_t from) {
  auto timer = std::make_shared<asio::steady_timer>(
      co_await asio::this_coro::executor,
      asio::steady_timer::time_point::max());
  for (;;) {
    {
      std::lock_guard lock(mutex_);
      std::optional<AnswerPart> part = PartFrom(from);
      if (part)
        co_return std::move(*part);
      // The cancellation is posted to the timer's own thread, so that it runs
      // after the wait has begun.
      waiters_.push_back([timer] {
        asio::post(timer->get_executor(), [timer] { timer->cancel(); });
      });
    }
    co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

std::optional<AnswerPart> SharedAnswer::PartFrom(std::size_t from) const {
  AnswerPart part;
  part.ended = ended_;
  part.complete = complete_;
  part.response = response_;
  part.refusal = refusal_;
  if (overflowed_) {
    part.ended = true;
    part.complete = false;
    part.refusal = TooLongRefusal();
  }
  if (!response_ && from < bytes_.size())
    part.bytes = bytes_.substr(from);
  if (part.bytes.empty() && !part.ended)
    return std::nullopt;
  return part;
}

void SharedAnswer::NotifyWaiters() {
  for (const auto& it : waiters_)
    it();
  waiters_.clear();
}

}  // namespace turmericwinch
