#include "libs/node/attempt_meter.h"

#include <CppUTest/TestHarness.h>

#include <vector>

namespace turmericwinch {

namespace {

struct StatusCase {
  int status;
  const char* leaving;
  AttemptOutcome outcome;
};

const std::vector<StatusCase> kCases = {
    {200, "", AttemptOutcome::kGood},
    {404, "", AttemptOutcome::kNoVerdict},
    {429, "true", AttemptOutcome::kNoVerdict},
    {500, "", AttemptOutcome::kFailed},
    {503, "", AttemptOutcome::kFailed},
    {503, "false", AttemptOutcome::kFailed},
    {503, "true", AttemptOutcome::kLeaving},
};

}  // namespace

TEST_GROUP(AttemptMeter){};

TEST(AttemptMeter, OutcomeOfEachStatus) {
  for (const StatusCase& it : kCases) {
    HttpHeaders headers;
    headers.Add("X-Leaving", it.leaving);
    CHECK(it.outcome == OutcomeOfStatus(it.status, headers));
  }
}

TEST(AttemptMeter, OnlyConnectFailureIsRefused) {
  HttpFailure failure;
  failure.phase = HttpPhase::kConnect;
  CHECK(OutcomeOfFailure(failure) == AttemptOutcome::kRefused);
  failure.phase = HttpPhase::kFirstByte;
  CHECK(OutcomeOfFailure(failure) == AttemptOutcome::kFailed);
}

}  // namespace turmericwinch
