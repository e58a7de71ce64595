#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

#include "gateway_call_fixture.h"

namespace turmericwinch::platform {

namespace {

// Streams whose ids increase, each by another amount.
const std::vector<EventIds> kStreams = {
    {"1", "2", "3", "4", "5"},
    {"6", "12", "18", "24", "30"},
    {"0", "1", "40", "41", "1000000"},
    // The last event holds fewer tokens.
    {"6", "12", "18", "24", "26"},
    {"17", "9007199254740993", "9223372036854775808", "18446744073709551615",
     "340282366920938463463374607431768211456"},
    {"0007", "0008", "09", "10", "0011"}};

std::string TextOf(const EventIds& ids, std::size_t first = 0) {
  std::string text;
  for (std::size_t n = first; n < ids.size(); ++n)
    text += EventText(ids[n]);
  return text;
}

// Enough retries for all streams of a test.
GatewaySettings SettingsWithManyRetries() {
  GatewaySettings settings = GatewayCallSettings();
  settings.retry_slack = 100'000;
  return settings;
}

struct StreamFixture : GatewayCallFixture {
  StreamFixture() : GatewayCallFixture(SettingsWithManyRetries()) {}

  void SetEvents(const EventIds& ids) { one.event_ids = two.event_ids = ids; }
  // The body that the caller gets, after the event `after` unless it is empty;
  // "broken" if it got no complete answer.
  std::string BodyAfter(const std::string& after = "") {
    RestartTargets(*context.config.Get());
    HttpRequest request = Request("/stream/1");
    // One request that often breaks would be quarantined.
    request.body = std::to_string(++requests_);
    if (!after.empty())
      request.headers.Add("Last-Event-Id", after);
    const auto response = Call(request);
    return response && response->status == 200 ? response->body : "broken";
  }
};

}  // namespace

TEST_GROUP_BASE(GatewayCallStreams, StreamFixture){};

// Guards against streams that are cut because their ids increase by more than
// one.
TEST(GatewayCallStreams, IdsMayIncreaseByAnyAmount) {
  for (const EventIds& ids : kStreams) {
    SetEvents(ids);
    script = {TargetBehavior::kStream};
    STRCMP_EQUAL(TextOf(ids).c_str(), BodyAfter().c_str());
  }
}

TEST(GatewayCallStreams, AnotherTargetContinuesWithoutAGapForAnyIds) {
  for (const EventIds& ids : kStreams) {
    SetEvents(ids);
    for (std::size_t n = 1; n <= ids.size(); ++n) {
      one.events_before_cut = two.events_before_cut = n;
      script = {TargetBehavior::kCutStream, TargetBehavior::kStream};
      STRCMP_EQUAL(TextOf(ids).c_str(), BodyAfter().c_str());
    }
  }
}

TEST(GatewayCallStreams, ACallerResumesAfterAnyId) {
  for (const EventIds& ids : kStreams) {
    SetEvents(ids);
    for (std::size_t n = 0; n < ids.size(); ++n) {
      script = {TargetBehavior::kStream};
      STRCMP_EQUAL(TextOf(ids, n + 1).c_str(), BodyAfter(ids[n]).c_str());
      // The stream breaks once more.
      for (std::size_t cut = 0; cut < ids.size() - n; ++cut) {
        one.events_before_cut = two.events_before_cut = cut;
        script = {TargetBehavior::kCutStream, TargetBehavior::kStream};
        STRCMP_EQUAL(TextOf(ids, n + 1).c_str(), BodyAfter(ids[n]).c_str());
      }
    }
  }
}

// The ids alone do not show a gap.
TEST(GatewayCallStreams, ATargetThatSkipsEventsCompletesNoStream) {
  for (const EventIds& ids : kStreams) {
    SetEvents(ids);
    for (int skipped = 1; skipped < 4; ++skipped) {
      one.events_skipped = two.events_skipped = skipped;
      for (std::size_t n = 2; n <= ids.size(); ++n) {
        one.events_before_cut = two.events_before_cut = n;
        script = {TargetBehavior::kCutStream, TargetBehavior::kStream};
        STRCMP_EQUAL("broken", BodyAfter().c_str());
      }
    }
  }
}

TEST(GatewayCallStreams, ATargetThatEndsBeforeTheLastEventCompletesNoStream) {
  one.event_limit = two.event_limit = 0;
  script = {TargetBehavior::kCutStream, TargetBehavior::kStream};
  STRCMP_EQUAL("broken", BodyAfter().c_str());
}

TEST(GatewayCallStreams, ATargetMayRepeatWhatTheCallerHas) {
  one.ignores_last_event = two.ignores_last_event = true;
  for (const EventIds& ids : kStreams) {
    SetEvents(ids);
    for (std::size_t n = 1; n <= ids.size(); ++n) {
      one.events_before_cut = two.events_before_cut = n;
      script = {TargetBehavior::kCutStream, TargetBehavior::kStream};
      STRCMP_EQUAL(TextOf(ids).c_str(), BodyAfter().c_str());
    }
  }
}

// The events of another run do not fit to those that the caller has.
TEST(GatewayCallStreams, ARunWithOtherIdsIsNotJoined) {
  one.ignores_last_event = two.ignores_last_event = true;
  // The targets stand in any order.
  for (const bool is_swapped : {false, true}) {
    SetEvents({"6", "12", "18", "24"});
    (is_swapped ? one : two).event_ids = {"4", "8", "16", "20"};
    script = {TargetBehavior::kCutStream, TargetBehavior::kStream};
    STRCMP_EQUAL("broken", BodyAfter().c_str());
  }
  SetEvents({"4", "8", "16", "20"});
  script = {TargetBehavior::kStream, TargetBehavior::kStream};
  STRCMP_EQUAL("broken", BodyAfter("12").c_str());
}

}  // namespace turmericwinch::platform
