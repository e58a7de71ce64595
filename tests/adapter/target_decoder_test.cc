#include "platform/target_decoder.h"

#include <CppUTest/TestHarness.h>

#include <boost/json/parse.hpp>

namespace turmericwinch::platform {

TEST_GROUP(TargetDecoder){std::optional<ListedMember> Decode(const char* text){
    return DecodeTarget("i-1", boost::json::parse(text).as_object());
}
}
;

TEST(TargetDecoder, ARegistrationIsDecoded) {
  const auto target = Decode(
      R"({"service":"llm","address":"10.1.0.9:80","zone":"a","version":"v1",
          "slots":64,"state":"draining","born":1700000000123,"sequence":4})");
  CHECK(target.has_value());
  STRCMP_EQUAL("i-1", target->name.c_str());
  STRCMP_EQUAL("llm", target->target_class.c_str());
  STRCMP_EQUAL("a", target->failure_domain.c_str());
  STRCMP_EQUAL("1700000000123", target->incarnation.c_str());
  CHECK(target->leaving);
}

// Guards against a cold target that counts as warm because of the form of the
// number, and against an overflow.
TEST(TargetDecoder, ColdTimeOfAnyNumberIsRead) {
  auto cold_ms = [](const std::string& value) -> std::int64_t {
    const std::string text =
        R"({"service":"llm","address":"10.1.0.9:80","zone":"a",)"
        R"("state":"ready","cold_remaining_ms":)" +
        value + "}";
    const auto target =
        DecodeTarget("i-1", boost::json::parse(text).as_object());
    return target->cold_for ? target->cold_for->count() : -1;
  };
  LONGS_EQUAL(8'000, cold_ms("8000"));
  LONGS_EQUAL(1, cold_ms("0.2"));
  LONGS_EQUAL(0, cold_ms("0"));
  LONGS_EQUAL(0, cold_ms("-5"));
  LONGS_EQUAL(3'600'000, cold_ms("18446744073709551615"));
  LONGS_EQUAL(3'600'000, cold_ms("1e300"));
  LONGS_EQUAL(-1, cold_ms("null"));
  LONGS_EQUAL(-1, cold_ms(R"("8000")"));
}

TEST(TargetDecoder, EntriesThatAreNoRegistrationAreRejected) {
  const char* entries[] = {
      "{}",
      R"({"service":1,"address":"10.1.0.9:80","zone":"a","state":"ready"})",
      R"({"service":"llm","address":7,"zone":"a","state":"ready"})",
      R"({"service":"llm","address":"nowhere","zone":"a","state":"ready"})",
      R"({"service":"llm","address":"10.1.0.9:80","zone":"a","state":"odd"})",
      R"({"service":"llm","address":"10.1.0.9:80","zone":"a"})",
      R"({"service":"llm","address":"10.1.0.9:80","state":"ready"})",
  };
  for (const char* it : entries)
    CHECK(!Decode(it).has_value());
}

}  // namespace turmericwinch::platform
