#include "libs/delivery/chat_progress.h"

#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "libs/delivery/claim_record.h"
#include "libs/delivery/delivery_constants.h"
#include "libs/delivery/progress_timeouts.h"
#include "libs/http/sse_parser.h"

namespace turmericwinch {

namespace {

constexpr char kToken[] =
    R"({"id":"r.1","choices":[{"index":0,"delta":{"content":"t"}}]})";
constexpr char kUsage[] =
    R"({"id":"r.1","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2}})";
constexpr std::int64_t kMostTokens = 4;

struct EventRow {
  const char* name;
  std::vector<std::string> events;
  AnswerVerdict last;
  std::int64_t tokens;
  std::int64_t billed;
};

const EventRow kRows[] = {
    {"whole", {kToken, kToken, kUsage, "[DONE]"}, AnswerVerdict::kEnd, 2, 5},
    {"no usage", {kToken, "[DONE]"}, AnswerVerdict::kMalformed, 1, 1},
    {"not JSON", {kToken, "{\"id"}, AnswerVerdict::kMalformed, 1, 1},
    {"not an object", {"[]"}, AnswerVerdict::kMalformed, 0, 0},
    {"no id", {R"({"choices":[]})"}, AnswerVerdict::kCrossed, 0, 0},
    {"another's token",
     {kToken, R"({"id":"x","choices":[{"delta":{"content":"t"}}]})"},
     AnswerVerdict::kCrossed,
     1,
     1},
    {"an earlier attempt's token",
     {kToken, R"({"id":"r.0","choices":[{"delta":{"content":"t"}}]})"},
     AnswerVerdict::kLate,
     1,
     1},
    {"the caller's id, which others may know",
     {R"({"id":"caller","choices":[{"delta":{"content":"t"}}]})"},
     AnswerVerdict::kCrossed,
     0,
     0},
    {"neither token nor usage",
     {R"({"id":"r.1","choices":[]})"},
     AnswerVerdict::kMalformed,
     0,
     0},
    {"negative usage",
     {R"({"id":"r.1","usage":{"prompt_tokens":-3,"completion_tokens":2}})"},
     AnswerVerdict::kMalformed,
     0,
     0},
    {"more tokens than allowed",
     {kToken, kToken, kToken, kToken, kToken},
     AnswerVerdict::kMalformed,
     4,
     4},
};

ChatProgress NewProgress() {
  ChatProgress progress("r", "caller", kMostTokens);
  progress.StartAttempt();
  return progress;
}

}  // namespace

TEST_GROUP(ChatProgress){};

TEST(ChatProgress, OnlySoundPiecesOfThisAnswerPass) {
  for (const EventRow& row : kRows) {
    ChatProgress progress = NewProgress();
    AnswerVerdict verdict = AnswerVerdict::kPass;
    for (const std::string& it : row.events) {
      CHECK_TEXT(AnswerVerdict::kPass == verdict, row.name);
      verdict = progress.OnEvent(it);
    }
    CHECK_TEXT(row.last == verdict, row.name);
    LONGS_EQUAL_TEXT(row.tokens, progress.tokens(), row.name);
    LONGS_EQUAL_TEXT(row.billed, progress.BilledTokens(), row.name);
  }
}

TEST(ChatProgress, AWholeAnswerNeedsItsIdAndUsage) {
  ChatProgress progress = NewProgress();
  CHECK(AnswerVerdict::kMalformed == progress.OnWholeAnswer("{"));
  CHECK(AnswerVerdict::kMalformed == progress.OnWholeAnswer(R"({"id":"r.1"})"));
  CHECK(AnswerVerdict::kLate == progress.OnWholeAnswer(R"({"id":"r.2"})"));
  CHECK(AnswerVerdict::kCrossed == progress.OnWholeAnswer(R"({"id":"x"})"));
  CHECK(AnswerVerdict::kEnd == progress.OnWholeAnswer(kUsage));
  LONGS_EQUAL(5, progress.BilledTokens());
}

TEST(ChatProgress, ACancelledStreamIsBilledByWhatWasGenerated) {
  ChatProgress progress = NewProgress();
  progress.OnEvent(kToken);
  CHECK(!progress.OnCancelResponse(
      R"({"id":"x","usage":{"prompt_tokens":9,"completion_tokens":9}})"));
  LONGS_EQUAL(1, progress.BilledTokens());
  CHECK(progress.OnCancelResponse(
      R"({"id":"r.1","usage":{"prompt_tokens":3,"completion_tokens":4}})"));
  LONGS_EQUAL(7, progress.BilledTokens());
  CHECK(AnswerVerdict::kMalformed == progress.OnEvent("[DONE]"));
}

TEST(ChatProgress, EachAttemptHasItsIdAndTheCallerSeesItsOwn) {
  ChatProgress progress = NewProgress();
  STRCMP_EQUAL("", progress.resumed_id().c_str());
  progress.OnEvent(kToken);
  progress.StartAttempt();
  STRCMP_EQUAL("r.2", progress.attempt_id().c_str());
  STRCMP_EQUAL("r.1", progress.resumed_id().c_str());
  CHECK(AnswerVerdict::kLate == progress.OnEvent(kToken));
  LONGS_EQUAL(1, progress.tokens());
  const std::string answer = R"({"id":"r.2","a":1})";
  STRCMP_EQUAL(R"({"id":"caller","a":1})",
               progress.WithCallerId(answer).c_str());
  const std::string escaped = R"({"id":"\u0072.2","a":1})";
  STRCMP_EQUAL(R"({"id":"caller","a":1})",
               progress.WithCallerId(escaped).c_str());
  STRCMP_EQUAL("[DONE]", progress.WithCallerId("[DONE]").c_str());
}

TEST(ChatProgress, ALongPromptHasALongerFirstByteWithinItsDeadline) {
  using std::chrono::milliseconds;
  const ProgressTimeouts none = StreamTimeouts(0, milliseconds(60'000));
  const ProgressTimeouts some = StreamTimeouts(10'000, milliseconds(60'000));
  const ProgressTimeouts late = StreamTimeouts(10'000, milliseconds(-5));
  CHECK(none.first_byte == kFirstByteTimeout);
  CHECK(some.first_byte > none.first_byte);
  CHECK(some.between_tokens == kBetweenTokensTimeout);
  CHECK(late.first_byte == milliseconds(1));
}

// Mutations of a sound stream and of a claim: nothing crashes, no token of
// another id passes, and bills stay within what the engine may report.
TEST(ChatProgress, MutatedInputIsSurvived) {
  constexpr unsigned kSeeds = 20'000;
  const std::string stream = std::string("data: ") + kToken +
                             "\n\ndata: " + kUsage + "\n\ndata: [DONE]\n\n";
  ClaimRecord claim;
  claim.owner = "a";
  claim.body_digest = "b";
  claim.outcome = ClaimOutcome::kDone;
  claim.answer = "{}";
  const std::string claim_text = ToJson(claim);
  int ends = 0;
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    std::mt19937 random(seed);
    auto mutate = [&random](std::string text) {
      for (auto n = random() % 4; n > 0 && !text.empty(); --n) {
        const std::size_t at = random() % text.size();
        switch (random() % 4) {
          case 0:
            text[at] = static_cast<char>(random());
            break;
          case 1:
            text.erase(at, random() % 8);
            break;
          case 2:
            text.insert(at, text.substr(random() % text.size(), 9));
            break;
          default:
            text.resize(at);
        }
      }
      return text;
    };
    SseParser parser;
    const std::string mutated = mutate(stream);
    const std::size_t cut = mutated.empty() ? 0 : random() % mutated.size();
    parser.Feed(mutated.substr(0, cut));
    parser.Feed(mutated.substr(cut));
    ChatProgress progress = NewProgress();
    AnswerVerdict verdict = AnswerVerdict::kPass;
    while (verdict == AnswerVerdict::kPass) {
      std::optional<std::string> event = parser.Next();
      if (!event)
        break;
      verdict = progress.OnEvent(*event);
    }
    CHECK(progress.tokens() <= kMostTokens);
    CHECK(progress.BilledTokens() >= 0);
    ends += verdict == AnswerVerdict::kEnd ? 1 : 0;
    progress.OnWholeAnswer(mutate(kUsage));
    progress.OnCancelResponse(mutate(kUsage));
    ParseClaimRecord(mutate(claim_text));
  }
  CHECK(ends > 0);
}

}  // namespace turmericwinch
