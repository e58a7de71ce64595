#include <random>

#include "delivery/fake_platform.h"

#include <CppUTest/TestHarness.h>

#include "libs/delivery/claim_session.h"
#include "libs/delivery/claim_settlement.h"
#include "libs/delivery/delivery_constants.h"

namespace turmericwinch {

namespace {

using Time = ClaimSession::Time;
using std::chrono::milliseconds;

constexpr std::int64_t kDeadlineMs = 10'000;
constexpr char kName[] = "claim-k";

// When the host of an attempt crashes.
enum class CrashPoint {
  kNever,
  kBeforeClaim,
  kAfterClaim,
  kAfterSend,
  kBeforeRecord
};

// How the target reacts to a request.
enum class TargetBehavior { kAnswers, kSilent, kUnreachable };

struct AttemptPlan {
  CrashPoint crash = CrashPoint::kNever;
  TargetBehavior target = TargetBehavior::kAnswers;
  // Time that the host is paused between its claim and its send.
  milliseconds pause{0};
  std::string body = "b";
};

// What the caller of an attempt gets; empty if its host crashed.
struct AttemptResult {
  std::optional<ResultCode> code;
  RanState ran = RanState::kRan;
  std::optional<std::string> answer;
};

// Simulates hosts that share one platform and one target of a plain service.
class Hosts {
 public:
  FakePlatform platform;
  int executions = 0;
  std::int64_t now_ms = 1'000'000;

  AttemptResult Run(const AttemptPlan& plan) {
    const Time start{milliseconds(now_ms)};
    ClaimRecord record;
    record.owner = std::to_string(++owners_);
    record.body_digest = plan.body;
    record.started_ms = now_ms;
    record.deadline_ms = now_ms + kDeadlineMs;
    ClaimSession session(kName, record, start);
    if (plan.crash == CrashPoint::kBeforeClaim)
      return {};
    Claim(session);
    if (plan.crash == CrashPoint::kAfterClaim)
      return {};
    now_ms += plan.pause.count();
    const bool sends = session.MaySend(Time(milliseconds(now_ms)));
    if (session.step() == ClaimStep::kReplay)
      return {ResultCode::kOk, RanState::kRan, session.stored_claim().answer};
    if (!sends) {
      if (session.NeedsAbandon())
        Settle(MakeAbandon(session));
      return {session.reason().code, session.ran(), std::nullopt};
    }
    return Send(session, plan);
  }

 private:
  void Claim(ClaimSession& session) {
    Reason reason;
    std::optional<StoreVersion> version =
        platform.Create(kName, ToJson(session.record()), &reason);
    if (version)
      session.OnCreated(*version);
    else
      session.OnCreateFailed(reason);
    while (session.step() == ClaimStep::kRead) {
      std::optional<FakePlatform::Object> found = platform.Get(kName, &reason);
      if (found)
        session.OnRead(found->version, ParseClaimRecord(found->value), now_ms);
      else
        session.OnReadFailed(reason);
    }
  }

  ClaimSettlement MakeAbandon(const ClaimSession& session) const {
    return ClaimSettlement::Abandon(kName, session.version(), session.record(),
                                    Time(milliseconds(now_ms)));
  }

  AttemptResult Send(const ClaimSession& session, const AttemptPlan& plan) {
    if (plan.target == TargetBehavior::kUnreachable) {
      Settle(MakeAbandon(session));
      return {ResultCode::kTargetFailed, RanState::kNotRun, std::nullopt};
    }
    ++executions;
    if (plan.crash == CrashPoint::kAfterSend)
      return {};
    ClaimRecord record = session.record();
    record.outcome = ClaimOutcome::kUnknown;
    if (plan.target == TargetBehavior::kAnswers) {
      record.outcome = ClaimOutcome::kDone;
      record.status = 200;
      record.answer = "done-" + record.owner;
    }
    if (plan.crash == CrashPoint::kBeforeRecord)
      return {ResultCode::kOk, RanState::kRan, record.answer};
    Settle(ClaimSettlement::Record(kName, session.version(), record,
                                   Time(milliseconds(now_ms))));
    if (plan.target == TargetBehavior::kSilent)
      return {ResultCode::kOutcomeUnknown, RanState::kUnknown, std::nullopt};
    return {ResultCode::kOk, RanState::kRan, record.answer};
  }

  void Settle(ClaimSettlement settlement) {
    Time now{milliseconds(now_ms)};
    while (settlement.step() != SettleStep::kDone &&
           settlement.step() != SettleStep::kGivenUp) {
      now += settlement.pause();
      RunStep(settlement, now);
    }
  }

  void RunStep(ClaimSettlement& settlement, Time now) {
    Reason reason;
    if (settlement.step() == SettleStep::kRead) {
      std::optional<FakePlatform::Object> found = platform.Get(kName, &reason);
      if (found)
        settlement.OnRead(found->version, ParseClaimRecord(found->value));
      else
        settlement.OnReadFailed(reason.code, now);
      return;
    }
    std::optional<StoreVersion> version =
        settlement.step() == SettleStep::kUpdate
            ? platform.Update(kName, settlement.version(),
                              ToJson(settlement.record()), &reason)
            : platform.Delete(kName, settlement.version(), &reason);
    settlement.OnWritten(version ? ResultCode::kOk : reason.code, now);
  }

  int owners_ = 0;
};

// First attempt, faults of its calls to the platform, and the expected result
// of a retry with the same key on another host.
struct FaultRow {
  const char* name;
  AttemptPlan first;
  std::deque<PlatformFault> faults;
  ResultCode retry;
  RanState retry_ran;
  int executions;
};

using enum PlatformFault;

const FaultRow kRows[] = {
    {"no fault", {}, {}, ResultCode::kOk, RanState::kRan, 1},
    {"host crashes before the claim",
     {.crash = CrashPoint::kBeforeClaim},
     {},
     ResultCode::kOk,
     RanState::kRan,
     1},
    {"host crashes after the claim, before sending",
     {.crash = CrashPoint::kAfterClaim},
     {},
     ResultCode::kInProgress,
     RanState::kUnknown,
     0},
    {"host crashes after sending",
     {.crash = CrashPoint::kAfterSend},
     {},
     ResultCode::kInProgress,
     RanState::kUnknown,
     1},
    {"host crashes before recording",
     {.crash = CrashPoint::kBeforeRecord},
     {},
     ResultCode::kInProgress,
     RanState::kUnknown,
     1},
    {"the response to the claim is lost",
     {},
     {kLostAnswer},
     ResultCode::kOk,
     RanState::kRan,
     1},
    {"the claim is lost, so the first host refuses",
     {},
     {kLostCall},
     ResultCode::kOk,
     RanState::kRan,
     1},
    {"the platform is down at the claim",
     {},
     {kDown},
     ResultCode::kOk,
     RanState::kRan,
     1},
    {"the response to the record is lost",
     {},
     {kNone, kLostAnswer},
     ResultCode::kOk,
     RanState::kRan,
     1},
    {"the record is lost",
     {},
     {kNone, kLostCall},
     ResultCode::kOk,
     RanState::kRan,
     1},
    {"the platform is down at the record",
     {},
     {kNone, kDown, kDown, kLostCall, kDown},
     ResultCode::kOk,
     RanState::kRan,
     1},
    {"the target is silent",
     {.target = TargetBehavior::kSilent},
     {},
     ResultCode::kOutcomeUnknown,
     RanState::kUnknown,
     1},
    {"the target is unreachable",
     {.target = TargetBehavior::kUnreachable},
     {},
     ResultCode::kOk,
     RanState::kRan,
     1},
    {"the response to abandoning is lost",
     {.target = TargetBehavior::kUnreachable},
     {kNone, kLostAnswer},
     ResultCode::kOk,
     RanState::kRan,
     1},
    {"abandoning is lost",
     {.target = TargetBehavior::kUnreachable},
     {kNone, kLostCall, kDown},
     ResultCode::kOk,
     RanState::kRan,
     1},
    {"the host pauses for longer than the send window",
     {.pause = kClaimSendWindow + milliseconds(1)},
     {},
     ResultCode::kOk,
     RanState::kRan,
     1},
    {"the host pauses for less",
     {.pause = kClaimSendWindow},
     {},
     ResultCode::kOk,
     RanState::kRan,
     1},
};

}  // namespace

TEST_GROUP(ClaimFaults){};

TEST(ClaimFaults, RetryOnAnotherHostNeverRunsAgain) {
  for (const FaultRow& row : kRows) {
    Hosts hosts;
    hosts.platform.faults = row.faults;
    const AttemptResult first = hosts.Run(row.first);
    if (first.code && first.ran == RanState::kNotRun)
      LONGS_EQUAL_TEXT(0, hosts.executions, row.name);
    const AttemptResult retry = hosts.Run({});
    LONGS_EQUAL_TEXT(static_cast<int>(row.retry), static_cast<int>(*retry.code),
                     row.name);
    LONGS_EQUAL_TEXT(static_cast<int>(row.retry_ran),
                     static_cast<int>(retry.ran), row.name);
    LONGS_EQUAL_TEXT(row.executions, hosts.executions, row.name);
  }
}

TEST(ClaimFaults, UnfinishedAttemptIsInProgressUntilItsDeadline) {
  Hosts hosts;
  hosts.Run({.crash = CrashPoint::kAfterSend});
  CHECK(ResultCode::kInProgress == *hosts.Run({}).code);
  hosts.now_ms += kDeadlineMs + kClaimClockSlack.count();
  const AttemptResult late = hosts.Run({});
  CHECK(ResultCode::kOutcomeUnknown == *late.code);
  CHECK(RanState::kUnknown == late.ran);
  LONGS_EQUAL(1, hosts.executions);
}

TEST(ClaimFaults, DifferentBodyWithTheSameKeyIsRefused) {
  Hosts hosts;
  hosts.Run({});
  const AttemptResult other = hosts.Run({.body = "other"});
  CHECK(ResultCode::kKeyReused == *other.code);
  LONGS_EQUAL(1, hosts.executions);
}

TEST(ClaimFaults, UnreadableClaimLeavesTheOutcomeUnknown) {
  Hosts hosts;
  hosts.Run({});
  hosts.platform.faults = {kNone, kDown, kDown, kDown};
  const AttemptResult retry = hosts.Run({});
  CHECK(ResultCode::kClaimUnavailable == *retry.code);
  CHECK(RanState::kUnknown == retry.ran);
}

TEST(ClaimFaults, PausedHolderMaySendWithinTheSendWindow) {
  Hosts hosts;
  ClaimRecord record;
  record.owner = "paused";
  record.body_digest = "b";
  const Time start{milliseconds(hosts.now_ms)};
  record.deadline_ms = hosts.now_ms + kDeadlineMs;
  ClaimSession paused(kName, record, start);
  Reason reason;
  paused.OnCreated(
      *hosts.platform.Create(kName, ToJson(paused.record()), &reason));
  CHECK(ResultCode::kInProgress == *hosts.Run({}).code);
  CHECK(paused.MaySend(start + kClaimSendWindow));
  CHECK(!paused.MaySend(start + kClaimSendWindow + milliseconds(1)));
  CHECK(paused.NeedsAbandon());
  CHECK(!paused.MaySend(start));
  LONGS_EQUAL(0, hosts.executions);
}

TEST(ClaimFaults, ClaimCreatedLateDoesNotCauseARun) {
  Hosts hosts;
  hosts.platform.faults = {kLateEffect};
  const AttemptResult first = hosts.Run({});
  CHECK(RanState::kNotRun == first.ran);
  hosts.platform.DeliverLate();
  const AttemptResult retry = hosts.Run({});
  CHECK(ResultCode::kInProgress == *retry.code);
  LONGS_EQUAL(0, hosts.executions);
}

TEST(ClaimFaults, RandomFaultsNeverRunAKeyTwice) {
  constexpr int kSeeds = 20'000;
  constexpr int kAttempts = 5;
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    std::mt19937 random(seed);
    Hosts hosts;
    std::optional<std::string> answer;
    for (int n = 0; n < kAttempts; ++n) {
      for (auto fault = random() % 8; fault > 0; --fault)
        hosts.platform.faults.push_back(
            static_cast<PlatformFault>(random() % 5));
      AttemptPlan plan;
      plan.crash = random() % 2 ? CrashPoint::kNever
                                : static_cast<CrashPoint>(random() % 5);
      plan.target = static_cast<TargetBehavior>(random() % 3);
      plan.pause = milliseconds(random() % 2 * (random() % 20'000));
      const int before = hosts.executions;
      const AttemptResult result = hosts.Run(plan);
      if (result.code && result.ran == RanState::kNotRun)
        LONGS_EQUAL(before, hosts.executions);
      if (result.answer && answer)
        CHECK(*answer == *result.answer);
      if (result.answer)
        answer = result.answer;
      if (random() % 3 == 0)
        hosts.platform.DeliverLate();
      hosts.now_ms += random() % 20'000;
    }
    CHECK_TEXT(hosts.executions <= 1, std::to_string(seed).c_str());
  }
}

}  // namespace turmericwinch
