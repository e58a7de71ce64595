// Sends randomly mutated requests, with a fixed seed. The sanitizers check the
// parser; the test checks that the server still answers afterwards.

#include <CppUTest/TestHarness.h>

#include <random>

#include "http/raw_exchange.h"

namespace turmericwinch {

namespace {

constexpr std::uint32_t kSeed = 20260304;
constexpr int kRequests = 1500;
constexpr int kMaxMutations = 4;
constexpr std::chrono::milliseconds kShortRead{20};

constexpr const char* kValidRequests[] = {
    "GET /drawers/7?x=%41 HTTP/1.1\r\nHost: a\r\nX-Request-Id: b-1\r\n\r\n",
    "POST /call HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde",
    ("POST /call HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
     "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"),
    "PUT /call HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n1",
};

// Applies up to kMaxMutations random replacements, deletions, duplications or
// insertions to a valid request.
std::string MutateRequest(std::mt19937& random) {
  std::string text = kValidRequests[random() % std::size(kValidRequests)];
  const int mutations = 1 + static_cast<int>(random() % kMaxMutations);
  for (int n = 0; n < mutations && !text.empty(); ++n) {
    const std::size_t at = random() % text.size();
    const std::size_t length = 1 + random() % 8;
    switch (random() % 4) {
      case 0:
        text[at] = static_cast<char>(random());
        break;
      case 1:
        text.erase(at, length);
        break;
      case 2:
        text.insert(at, text.substr(at, length));
        break;
      default:
        text.insert(at, length, static_cast<char>(random()));
        break;
    }
  }
  return text;
}

}  // namespace

TEST_GROUP(MutatedRequest){};

TEST(MutatedRequest, ServerStillAnswersAfterwards) {
  RawExchange server({kMaxTestBodyBytes, 100, kShortRead});
  std::mt19937 random(kSeed);
  for (int n = 0; n < kRequests; ++n)
    server.Send(MutateRequest(random), true, 0);
  CHECK_TRUE(server.AnswersRequests());
}

}  // namespace turmericwinch
