#include "libs/gateway/quarantined_parts_object.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kNowMs = 1'700'000'000'000;
constexpr PromptPartId kPart = 0xfedc'ba98'7654'3210;

}  // namespace

TEST_GROUP(QuarantinedPartsObject) {
  QuarantinedPartsObject object;
  Reason reason;
};

TEST(QuarantinedPartsObject, PartsSurviveTheirTextUntilTheirTimeEnds) {
  CHECK(object.Apply({{kPart, milliseconds(60'000)}}, kNowMs));
  const auto read = QuarantinedPartsObject::Parse(object.ToText(), &reason);
  CHECK(read.has_value());
  const std::vector<QuarantinedPart> parts = read->Parts(kNowMs + 1);
  LONGS_EQUAL(1, parts.size());
  CHECK(parts[0].part == kPart);
  LONGS_EQUAL(59'999, parts[0].hold.count());
  CHECK(read->Parts(kNowMs + 60'000).empty());
}

TEST(QuarantinedPartsObject, OnlyNewsChangesIt) {
  CHECK(!object.Apply({}, kNowMs));
  CHECK(object.Apply({{1, milliseconds(60'000)}}, kNowMs));
  CHECK(!object.Apply({{1, milliseconds(60'001)}}, kNowMs));
  CHECK(!object.Apply({{1, milliseconds(30'000)}}, kNowMs));
  CHECK(object.Apply({{1, milliseconds(120'000)}}, kNowMs));
  CHECK(object.Apply({{1, milliseconds(0)}}, kNowMs));
  CHECK(!object.Apply({{1, milliseconds(0)}}, kNowMs));
  CHECK(object.Parts(kNowMs).empty());
}

TEST(QuarantinedPartsObject, UnreadableTextIsRejectedWithAReason) {
  for (const char* text :
       {"", "[]", "{}", R"({"until_ms":1})", R"({"until_ms":{"xyz":1}})",
        R"({"until_ms":{"1":"soon"}})", R"({"until_ms":{"":1}})"}) {
    reason = {};
    CHECK_TEXT(!QuarantinedPartsObject::Parse(text, &reason), text);
    CHECK_TEXT(!reason.text.empty(), text);
  }
}

}  // namespace turmericwinch
