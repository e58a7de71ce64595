#include "libs/gateway/stored_quarantine.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kNowMs = 1'700'000'000'000;
constexpr PromptPartId kPart = 0xfedc'ba98'7654'3210;

}  // namespace

TEST_GROUP(StoredQuarantine) {
  StoredQuarantine object;
  Reason reason;
};

TEST(StoredQuarantine, VerdictsSurviveTheirTextUntilTheirTimeEnds) {
  const milliseconds hold(60'000);
  CHECK(object.Apply({{{kPart, hold}}, {{"digest", hold}}}, kNowMs));
  const auto read = StoredQuarantine::Parse(object.ToText(), &reason);
  CHECK(read.has_value());
  const QuarantineVerdicts verdicts = read->Verdicts(kNowMs + 1);
  LONGS_EQUAL(1, verdicts.parts.size());
  CHECK(verdicts.parts[0].part == kPart);
  LONGS_EQUAL(59'999, verdicts.parts[0].hold.count());
  LONGS_EQUAL(1, verdicts.requests.size());
  CHECK(verdicts.requests[0].digest == "digest");
  LONGS_EQUAL(59'999, verdicts.requests[0].hold.count());
  CHECK(read->Verdicts(kNowMs + 60'000).empty());
}

TEST(StoredQuarantine, OnlyNewsChangesIt) {
  CHECK(!object.Apply({}, kNowMs));
  CHECK(object.Apply({{{1, milliseconds(60'000)}}, {}}, kNowMs));
  CHECK(!object.Apply({{{1, milliseconds(60'001)}}, {}}, kNowMs));
  CHECK(!object.Apply({{{1, milliseconds(30'000)}}, {}}, kNowMs));
  CHECK(object.Apply({{{1, milliseconds(120'000)}}, {}}, kNowMs));
  CHECK(object.Apply({{{1, milliseconds(0)}}, {}}, kNowMs));
  CHECK(!object.Apply({{{1, milliseconds(0)}}, {}}, kNowMs));
  CHECK(object.Verdicts(kNowMs).empty());
}

TEST(StoredQuarantine, TheTextOfAnEarlierVersionHoldsNoRequests) {
  const auto read = StoredQuarantine::Parse(R"({"until_ms":{}})", &reason);
  CHECK(read.has_value());
  CHECK(read->Verdicts(kNowMs).empty());
}

TEST(StoredQuarantine, UnreadableTextIsRejectedWithAReason) {
  for (const char* text :
       {"", "[]", "{}", R"({"until_ms":1})", R"({"until_ms":{"xyz":1}})",
        R"({"until_ms":{"1":"soon"}})", R"({"until_ms":{"":1}})",
        R"({"until_ms":{},"requests_until_ms":{"d":"soon"}})"}) {
    reason = {};
    CHECK_TEXT(!StoredQuarantine::Parse(text, &reason), text);
    CHECK_TEXT(!reason.text.empty(), text);
  }
}

}  // namespace turmericwinch
