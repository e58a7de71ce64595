#include "libs/node/shared_answer.h"

#include <boost/asio.hpp>
#include <thread>

#include <CppUTest/TestHarness.h>

#include "libs/delivery/delivery_constants.h"
#include "support/run_coroutine.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

std::shared_ptr<std::atomic<std::size_t>> NewByteTotal() {
  return std::make_shared<std::atomic<std::size_t>>(0);
}

// Returns the whole answer, read part by part.
asio::awaitable<AnswerPart> ReadAll(SharedAnswer& answer) {
  AnswerPart all;
  while (!all.ended) {
    AnswerPart part = co_await answer.WaitForPart(all.bytes.size());
    part.bytes = all.bytes + part.bytes;
    all = std::move(part);
  }
  co_return all;
}

}  // namespace

TEST_GROUP(SharedAnswer){};

TEST(SharedAnswer, ReadersOnOtherThreadsGetWholeAnswer) {
  constexpr int kReaders = 3;
  constexpr int kParts = 500;
  SharedAnswer answer(NewByteTotal());
  std::string want;
  for (int n = 0; n < kParts; ++n)
    want += std::to_string(n) + " ";
  std::vector<AnswerPart> got(kReaders);
  std::vector<std::thread> threads;
  for (AnswerPart& it : got) {
    threads.emplace_back([&answer, &it] {
      asio::io_context context{1};
      auto guard = asio::make_work_guard(context);
      it = RunCoroutine(context, ReadAll(answer));
    });
  }
  for (int n = 0; n < kParts; ++n)
    answer.AppendEvents(std::to_string(n) + " ");
  answer.EndStream(true);
  for (std::thread& it : threads)
    it.join();
  for (const AnswerPart& it : got) {
    STRCMP_EQUAL(want.c_str(), it.bytes.c_str());
    CHECK(it.complete);
  }
  STRCMP_EQUAL(want.c_str(), answer.CompleteResponse()->body.c_str());
}

TEST(SharedAnswer, LaterEndsHaveNoEffect) {
  asio::io_context context{1};
  SharedAnswer answer(NewByteTotal());
  answer.EndWith(MakeRefusal({ResultCode::kNoTarget, "none"}));
  answer.EndWith(JsonResponse(200, "{}"));
  answer.EndStream(true);
  AnswerPart part = RunCoroutine(context, answer.WaitForPart(0));
  CHECK(part.refusal.has_value() && !part.response && !part.complete);
  CHECK(!answer.CompleteResponse());
}

TEST(SharedAnswer, AnswerAboveSizeLimitIsDiscarded) {
  asio::io_context context{1};
  auto total_bytes = NewByteTotal();
  {
    SharedAnswer answer(total_bytes);
    answer.AppendEvents("a");
    LONGS_EQUAL(1, total_bytes->load());
    answer.AppendEvents(std::string(kMaxSharedAnswerBytes, 'x'));
    LONGS_EQUAL(0, total_bytes->load());
    answer.EndStream(true);
    AnswerPart part = RunCoroutine(context, answer.WaitForPart(1));
    CHECK(ResultCode::kInProgress == part.refusal->reason.code);
    CHECK(!answer.CompleteResponse());
    SharedAnswer small(total_bytes);
    small.AppendEvents("abc");
    LONGS_EQUAL(3, total_bytes->load());
  }
  LONGS_EQUAL(0, total_bytes->load());
}

}  // namespace turmericwinch
