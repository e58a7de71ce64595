#include "libs/node/attempt_meter.h"

#include <CppUTest/TestHarness.h>

#include <vector>

namespace turmericwinch {

namespace {

struct StatusCase {
  int status;
  const char* leaving;
  TargetAnswer answer;
};

const std::vector<StatusCase> kCases = {
    {200, "", TargetAnswer::kGood},
    {404, "", TargetAnswer::kNoVerdict},
    {429, "true", TargetAnswer::kNoVerdict},
    {500, "", TargetAnswer::kFailed},
    {503, "", TargetAnswer::kFailed},
    {503, "false", TargetAnswer::kFailed},
    {503, "true", TargetAnswer::kLeaving},
};

}  // namespace

TEST_GROUP(AttemptMeter){};

TEST(AttemptMeter, StatusTable) {
  for (const StatusCase& it : kCases) {
    HttpHeaders headers;
    headers.Add("X-Leaving", it.leaving);
    CHECK(it.answer == AnswerOfStatus(it.status, headers));
  }
}

TEST(AttemptMeter, OnlyAFailedConnectIsRefused) {
  HttpFailure failure;
  failure.phase = HttpPhase::kConnect;
  CHECK(AnswerOfFailure(failure) == TargetAnswer::kRefused);
  failure.phase = HttpPhase::kFirstByte;
  CHECK(AnswerOfFailure(failure) == TargetAnswer::kFailed);
}

}  // namespace turmericwinch
