#include "libs/node/chat_routing_request.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

RoutingRequest WishOf(const std::string& messages) {
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

TEST_GROUP(ChatWish){};

TEST(ChatWish, ShortChatHasNoPrefix) {
  UNSIGNED_LONGS_EQUAL(0, WishOf(Message("Which sheet?")).prefix);
}

TEST(ChatWish, LookupsOfOneManifestShareThePrefix) {
  const RoutingRequest one = WishOf(Message(kManifest) + "," + Message("one"));
  const RoutingRequest two = WishOf(Message(kManifest) + "," + Message("two"));
  const RoutingRequest other =
      WishOf(Message("x" + kManifest) + "," + Message("one"));
  CHECK(one.prefix != 0);
  CHECK(one.prefix == two.prefix);
  CHECK(one.prefix != other.prefix);
  CHECK(one.prefix_tokens <= one.prompt_tokens);
}

TEST(ChatWish, ASingleLongMessageSharesItsStart) {
  const RoutingRequest one = WishOf(Message(kManifest + "one"));
  const RoutingRequest two = WishOf(Message(kManifest + "two"));
  CHECK(one.prefix != 0);
  CHECK(one.prefix == two.prefix);
}

}  // namespace turmericwinch
