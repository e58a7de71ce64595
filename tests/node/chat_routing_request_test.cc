#include "libs/node/chat_routing_request.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

RoutingRequest RequestFor(const std::string& messages) {
  Reason reason;
  auto request = ParseChatRequest(
      R"({"model":"m","messages":[)" + messages + "]}", &reason);
  return MakeChatRoutingRequest("m", *request);
}

std::string Message(const std::string& content) {
  return R"({"role":"user","content":")" + content + "\"}";
}

const std::string kManifest(8'000, 'm');

}  // namespace

TEST_GROUP(ChatRoutingRequest){};

TEST(ChatRoutingRequest, ShortChatHasNoPrefix) {
  UNSIGNED_LONGS_EQUAL(0, RequestFor(Message("Which sheet?")).prefix);
}

TEST(ChatRoutingRequest, ChatsWithEqualFirstMessageSharePrefix) {
  const RoutingRequest one =
      RequestFor(Message(kManifest) + "," + Message("one"));
  const RoutingRequest two =
      RequestFor(Message(kManifest) + "," + Message("two"));
  const RoutingRequest other =
      RequestFor(Message("x" + kManifest) + "," + Message("one"));
  CHECK(one.prefix != 0);
  CHECK(one.prefix == two.prefix);
  CHECK(one.prefix != other.prefix);
  CHECK(one.prefix_tokens <= one.prompt_tokens);
}

TEST(ChatRoutingRequest, SingleLongMessagesShareTheirFirstBytes) {
  const RoutingRequest one = RequestFor(Message(kManifest + "one"));
  const RoutingRequest two = RequestFor(Message(kManifest + "two"));
  CHECK(one.prefix != 0);
  CHECK(one.prefix == two.prefix);
}

}  // namespace turmericwinch
