#include "libs/base/lenient_json.h"

#include <CppUTest/TestHarness.h>

#include <boost/json/serialize.hpp>

namespace turmericwinch {

TEST_GROUP(LenientJson){};

TEST(LenientJson, UnreadableValuesBecomeNull) {
  const std::string deep = std::string(100, '[') + std::string(100, ']');
  const std::string cases[][2] = {
      {R"({"a":1})", R"({"a":1})"},
      {R"({"a":[1,1e99999999999,"x"]})", R"({"a":[1,null,"x"]})"},
      {R"({"a":{"b":1e99999999999}})", R"({"a":{"b":null}})"},
      {R"({"spec":{"b":1e99999999999},"c":2})", R"({"spec":null,"c":2})"},
      {R"([{"spec":)" + deep + R"(},{"spec":1}])",
       R"([{"spec":null},{"spec":1}])"},
      {"[\"\xff\",\"a]\\\"\"]", R"([null,"a]\""])"},
      {R"( { "a" : [ 1e99999999999 , 2 ] } )", R"({"a":[null,2]})"},
      {"", "null"},
      {"{", "null"},
      {R"({"a)", "null"},
      {R"({"a":})", "null"},
      {R"({"a" 1})", "null"},
      {"[1,,2]", "null"},
      {"[1 2]", "null"},
      {"[1,]", "null"},
      {"[1e99999999999] 2", "null"},
      {"]", "null"},
  };
  for (const auto& [text, expected] : cases) {
    STRCMP_EQUAL(
        expected.c_str(),
        boost::json::serialize(ParseJsonLeniently(text, {"spec"})).c_str());
  }
}

}  // namespace turmericwinch
