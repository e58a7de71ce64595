#include "libs/node/shared_answer.h"

#include <boost/asio.hpp>
#include <thread>

#include <CppUTest/TestHarness.h>

#include "libs/delivery/delivery_constants.h"
#include "support/run_coroutine.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

std::shared_ptr<std::atomic<std::size_t>> NewTotal() {
  return std::make_shared<std::atomic<std::size_t>>(0);
}

// All that a follower gets.
asio::awaitable<AnswerPart> FollowAll(SharedAnswer& answer) {
  AnswerPart all;
  while (!all.ended) {
    AnswerPart part = co_await answer.Next(all.bytes.size());
    part.bytes = all.bytes + part.bytes;
    all = std::move(part);
  }
  co_return all;
}

}  // namespace

TEST_GROUP(SharedAnswer){};

TEST(SharedAnswer, FollowersOnOtherThreadsGetAllOfIt) {
  constexpr int kFollowers = 3;
  constexpr int kPieces = 500;
  SharedAnswer answer(NewTotal());
  std::string want;
  for (int n = 0; n < kPieces; ++n)
    want += std::to_string(n) + " ";
  std::vector<AnswerPart> got(kFollowers);
  std::vector<std::thread> threads;
  for (AnswerPart& it : got) {
    threads.emplace_back([&answer, &it] {
      asio::io_context context{1};
      auto guard = asio::make_work_guard(context);
      it = RunCoroutine(context, FollowAll(answer));
    });
  }
  for (int n = 0; n < kPieces; ++n)
    answer.Append(std::to_string(n) + " ");
  answer.EndStream(true);
  for (std::thread& it : threads)
    it.join();
  for (const AnswerPart& it : got) {
    STRCMP_EQUAL(want.c_str(), it.bytes.c_str());
    CHECK(it.whole);
  }
  STRCMP_EQUAL(want.c_str(), answer.Whole()->body.c_str());
}

TEST(SharedAnswer, TheFirstEndCounts) {
  asio::io_context context{1};
  SharedAnswer answer(NewTotal());
  answer.EndWith(MakeRefusal({ResultCode::kNoTarget, "none"}));
  answer.EndWith(JsonResponse(200, "{}"));
  answer.EndStream(true);
  AnswerPart part = RunCoroutine(context, answer.Next(0));
  CHECK(part.refusal.has_value() && !part.response && !part.whole);
  CHECK(!answer.Whole());
}

TEST(SharedAnswer, AnAnswerWithoutRoomIsNotKept) {
  asio::io_context context{1};
  auto total = NewTotal();
  {
    SharedAnswer answer(total);
    answer.Append("a");
    LONGS_EQUAL(1, total->load());
    answer.Append(std::string(kMaxSharedAnswerBytes, 'x'));
    LONGS_EQUAL(0, total->load());
    answer.EndStream(true);
    AnswerPart part = RunCoroutine(context, answer.Next(1));
    CHECK(ResultCode::kInProgress == part.refusal->reason.code);
    CHECK(!answer.Whole());
    SharedAnswer small(total);
    small.Append("abc");
    LONGS_EQUAL(3, total->load());
  }
  LONGS_EQUAL(0, total->load());
}

}  // namespace turmericwinch
