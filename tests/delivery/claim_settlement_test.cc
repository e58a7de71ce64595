#include "libs/delivery/claim_settlement.h"

#include <CppUTest/TestHarness.h>

#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

namespace {

const ClaimSettlement::Time kStart;

ClaimRecord DoneRecord() {
  ClaimRecord record;
  record.owner = "a";
  record.body_digest = "b";
  record.outcome = ClaimOutcome::kDone;
  record.status = 200;
  record.content_type = "application/json";
  record.answer = "{}";
  return record;
}

}  // namespace

TEST_GROUP(ClaimSettlement){};

TEST(ClaimSettlement, RetriesUntilTheTimeout) {
  ClaimSettlement settlement =
      ClaimSettlement::Record("n", {0, 1}, DoneRecord(), kStart);
  ClaimSettlement::Time now = kStart;
  int calls = 0;
  while (settlement.step() != SettleStep::kGivenUp) {
    now += settlement.pause();
    settlement.OnWritten(ResultCode::kPlatformUnavailable, now);
    ++calls;
  }
  CHECK(now <= kStart + kSettleTimeout);
  CHECK(now + kMaxSettleDelay >= kStart + kSettleTimeout);
  CHECK(calls < 50);
}

// These codes mean that the write had no effect, so it is repeated without a
// read.
TEST(ClaimSettlement, WriteWithoutEffectIsRepeated) {
  for (const ResultCode it :
       {ResultCode::kPlatformUnavailable, ResultCode::kPlatformLimited}) {
    ClaimSettlement settlement =
        ClaimSettlement::Record("n", {0, 1}, DoneRecord(), kStart);
    const SettleStep write = settlement.step();
    settlement.OnWritten(it, kStart);
    CHECK(write == settlement.step());
    CHECK(settlement.pause().count() > 0);
  }
}

TEST(ClaimSettlement, NeverOverwritesTheClaimOfAnotherAttempt) {
  ClaimSettlement settlement =
      ClaimSettlement::Abandon("n", {}, DoneRecord(), kStart);
  ClaimRecord other = DoneRecord();
  other.owner = "other";
  CHECK(SettleStep::kRead == settlement.step());
  settlement.OnRead({0, 7}, other);
  CHECK(SettleStep::kDone == settlement.step());
  ClaimSettlement record =
      ClaimSettlement::Record("n", {0, 1}, DoneRecord(), kStart);
  record.OnWritten(ResultCode::kPlatformConflict, kStart);
  CHECK(SettleStep::kRead == record.step());
  record.OnRead({0, 7}, other);
  CHECK(SettleStep::kGivenUp == record.step());
}

TEST(ClaimSettlement, DroppingTheAnswerKeepsTheOutcome) {
  ClaimSettlement settlement =
      ClaimSettlement::Record("n", {0, 1}, DoneRecord(), kStart);
  LONGS_EQUAL(2, settlement.AnswerBytes());
  settlement.DropAnswer();
  LONGS_EQUAL(0, settlement.AnswerBytes());
  std::optional<ClaimRecord> read =
      ParseClaimRecord(ToJson(settlement.record()));
  CHECK(read.has_value());
  CHECK(ClaimOutcome::kDone == read->outcome);
  CHECK(!read->answer.has_value());
}

TEST(ClaimSettlement, RecordIsUnchangedAfterFormattingAndParsing) {
  std::optional<ClaimRecord> read = ParseClaimRecord(ToJson(DoneRecord()));
  CHECK(read.has_value());
  STRCMP_EQUAL("{}", read->answer->c_str());
  STRCMP_EQUAL("application/json", read->content_type.c_str());
  CHECK(!ParseClaimRecord("{\"owner\":\"a\"}").has_value());
  CHECK(!ParseClaimRecord("[").has_value());
}

TEST(ClaimSettlement, OnlyOldClaimsExpire) {
  ClaimRecord record = DoneRecord();
  record.started_ms = 5;
  const std::int64_t end =
      5 + std::chrono::milliseconds(kClaimRetention).count();
  CHECK(!IsExpired(record, end));
  CHECK(IsExpired(record, end + 1));
}

}  // namespace turmericwinch
