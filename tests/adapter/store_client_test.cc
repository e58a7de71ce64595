#include "platform/store_client.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio.hpp>

#include "libs/routing/host_list_change.h"
#include "scripted_store.h"
#include "silenced_store.h"
#include "support/run_coroutine.h"
#include "support/run_until.h"

namespace turmericwinch::platform {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

}  // namespace

TEST_GROUP(StoreClient) {
  asio::io_context context{1};
  ScriptedStore store{context};
  StoreClient client{context, store.endpoint, kRates, 1};
  Reason reason;

  template <typename T>
  T Run(asio::awaitable<T> coroutine) {
    return RunCoroutine(context, std::move(coroutine));
  }

  void AddListOfMain(int revision, const std::string& spec, int at) {
    store.AddList(Object("main", revision, spec), at);
  }

  std::optional<PlatformObject> WatchMain(StoreVersion after) {
    return Run(client.Watch(PlatformDuty::kConfig, "config/main", after,
                            milliseconds(10), &reason));
  }

  std::optional<PlatformNames> NamesSince(StoreVersion after) {
    return Run(client.NamesSince(PlatformDuty::kConfig, "evacuations", after,
                                 milliseconds(10), &reason));
  }

  // Returns the version of the object; the store's next responses are of a
  // later era.
  StoreVersion ListMainBeforeRestore() {
    store.era = 1;
    AddListOfMain(35, "1", 39);
    const StoreVersion version = WatchMain({})->version;
    store.era = 2;
    return version;
  }
};

// Connections that are open go silent for good, and new ones work. Only one
// call may be lost to them.
TEST(StoreClient, AfterATimeoutTheNextCallOpensAConnection) {
  constexpr int kConnections = 3;
  SilencedStore silenced(context, Object("account", 12, "1"), kConnections);
  StoreClient other(context, silenced.endpoint(), kRates, 1);
  int answered = 0;
  for (int n = 0; n < kConnections; ++n) {
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
          const std::optional<PlatformObject> object =
              co_await other.Get(PlatformDuty::kBudget, "account", &reason);
          answered += object ? 1 : 0;
        },
        asio::detached);
  }
  RunUntil(context, [&] { return answered == kConnections; });
  LONGS_EQUAL(kConnections, silenced.connections());
  silenced.SilenceOpenConnections();
  CHECK(!Run(other.Get(PlatformDuty::kBudget, "account", &reason)));
  CHECK(Run(other.Get(PlatformDuty::kBudget, "account", &reason)).has_value());
}

TEST(StoreClient, ANameWithoutAKindGetsTheDefaultKind) {
  store.AddResponse(200, Object("account", 12, R"({"a":1})"));
  const auto object =
      Run(client.Get(PlatformDuty::kBudget, "account", &reason));
  STRCMP_EQUAL("12", ToText(object->version).c_str());
  STRCMP_EQUAL(R"({"a":1})", object->value.c_str());
  STRCMP_EQUAL("GET /api/objects/turmericwinch/account",
               store.calls[0].c_str());
}

TEST(StoreClient, WritesAreConditionalOnTheRevision) {
  store.AddResponse(200, Object("account", 13, "1"));
  const auto version = Run(
      client.Update(PlatformDuty::kBudget, {"account", {0, 12}, "1"}, &reason));
  STRCMP_EQUAL("13", ToText(*version).c_str());
  STRCMP_EQUAL("PUT /api/objects/turmericwinch/account",
               store.calls[0].c_str());
  CHECK(store.bodies[0].find(R"("revision":12)") != std::string::npos);
}

TEST(StoreClient, AfterAConflictTheObjectIsReadWithoutAnotherCall) {
  store.AddResponse(409, Object("account", 20, R"("theirs")"));
  CHECK(!Run(client.Update(PlatformDuty::kBudget, {"account", {0, 12}, "1"},
                           &reason)));
  CHECK(reason.code == ResultCode::kPlatformConflict);
  const auto object =
      Run(client.Get(PlatformDuty::kBudget, "account", &reason));
  STRCMP_EQUAL("20", ToText(object->version).c_str());
  STRCMP_EQUAL(R"("theirs")", object->value.c_str());
  LONGS_EQUAL(1, store.calls.size());
}

TEST(StoreClient, AFailedWriteReportsWhetherItMayHaveTakenEffect) {
  struct Case {
    int status;
    ResultCode code;
  };
  const Case cases[] = {
      {0, ResultCode::kPlatformUnknown},
      {200, ResultCode::kPlatformUnknown},  // the body is not an object
      {404, ResultCode::kPlatformNotFound},
      {409, ResultCode::kPlatformConflict},
      {429, ResultCode::kPlatformUnavailable},
      {500, ResultCode::kPlatformUnknown},
      {400, ResultCode::kPlatformRejected},
  };
  for (const Case& it : cases) {
    asio::io_context own_context{1};
    ScriptedStore own_store(own_context);
    StoreClient own_client(own_context, own_store.endpoint, kRates, 1);
    own_store.AddResponse(it.status, "garbage");
    CHECK(!RunCoroutine(own_context,
                        own_client.Update(PlatformDuty::kBudget,
                                          {"account", {0, 12}, "1"}, &reason)));
    CHECK(it.code == reason.code);
  }
}

TEST(StoreClient, AWatchListsFirstAndThenContinuesFromTheRevision) {
  store.AddResponse(200, R"({"items":[)" + Object("main", 5, "1") +
                             R"(],"has_more":false,"at":9})");
  store.AddResponse(200, R"({"events":[{"deleted":false,"object":)" +
                             Object("main", 12, "2") + R"(}],"at":12})");
  store.AddResponse(200, R"({"events":[],"at":15})");
  const milliseconds wait(10);
  const auto first = Run(
      client.Watch(PlatformDuty::kConfig, "config/main", {}, wait, &reason));
  STRCMP_EQUAL("5", ToText(first->version).c_str());
  const auto second = Run(client.Watch(PlatformDuty::kConfig, "config/main",
                                       {0, 5}, wait, &reason));
  STRCMP_EQUAL("2", second->value.c_str());
  STRCMP_EQUAL("GET /api/objects/config?watch=9&wait_ms=10",
               store.calls[1].c_str());
  CHECK(!Run(client.Watch(PlatformDuty::kConfig, "config/main", {0, 12}, wait,
                          &reason)));
  CHECK(reason.code == ResultCode::kPlatformNotFound);
}

TEST(StoreClient, AWatchOfARemovedHistoryListsAgain) {
  store.AddResponse(200, R"({"items":[)" + Object("main", 5, "1") +
                             R"(],"has_more":false,"at":9})");
  store.AddResponse(410, "{}");
  store.AddResponse(200, R"({"items":[)" + Object("main", 30, "3") +
                             R"(],"has_more":false,"at":31})");
  const milliseconds wait(10);
  Run(client.Watch(PlatformDuty::kConfig, "config/main", {}, wait, &reason));
  const auto object = Run(client.Watch(PlatformDuty::kConfig, "config/main",
                                       {0, 5}, wait, &reason));
  STRCMP_EQUAL("30", ToText(object->version).c_str());
  LONGS_EQUAL(3, store.calls.size());
}

// Another writer stores them under names of its own, and under that of a
// target.
TEST(StoreClient, AnOddEntryHidesNoOtherTarget) {
  const std::string deep = std::string(10'000, '[') + std::string(10'000, ']');
  // Too deep only together with the page around it.
  const std::string rather_deep = std::string(30, '[') + std::string(30, ']');
  const std::string odd_specs[] = {
      deep,
      rather_deep,
      R"({"service":"llm","slots":1e99999999999})",
      R"({"service":"llm","address":"10.0.0.1:99999","zone":"a","state":"ready"})",
      R"({"service":"llm","address":"10.0.0.1:0","zone":"a","state":"ready"})",
      R"({"a":")" + std::string("\xff\xfe") + R"("})",
      R"({"service":7})",
      "[]",
  };
  for (const std::string& spec : odd_specs) {
    store.AddResponse(200, R"({"items":[)" + Object("i-1", 5, Target("a")) +
                               "," + Object("odd", 6, spec) + "," +
                               Object("i-2", 7, Target("b")) +
                               R"(],"has_more":false,"at":9})");
    store.AddResponse(
        200, R"({"events":[{"deleted":false,"object":)" +
                 Object("i-2", 12, spec) + R"(},{"deleted":false,"object":)" +
                 Object("i-3", 13, Target("a")) + R"(}],"at":13})");
    const auto whole = Run(client.HostsSince({}, milliseconds(0), &reason));
    CHECK_TEXT(whole.has_value(), spec.substr(0, 60).c_str());
    LONGS_EQUAL(2, ParseHostList(whole->text, &reason)->targets.size());
    const auto next = Run(client.HostsSince({0, 9}, milliseconds(10), &reason));
    CHECK_TEXT(next.has_value(), spec.substr(0, 60).c_str());
    const auto changes = ParseHostListChanges(next->text, &reason);
    LONGS_EQUAL(2, changes->size());
    CHECK((*changes)[0].removed);
    STRCMP_EQUAL("i-2", (*changes)[0].member.name.c_str());
    CHECK(!(*changes)[1].removed);
  }
}

// Revisions go back, and the object's new revision was given out before.
TEST(StoreClient, AWatchReportsAChangeAfterTheStoreLostItsNewestWrites) {
  const StoreVersion before = ListMainBeforeRestore();
  store.AddResponse(410, "{}");
  AddListOfMain(20, "2", 25);
  const auto after = WatchMain(before);
  CHECK(after.has_value());
  STRCMP_EQUAL("2", after->value.c_str());
  CHECK(after->version > before);
}

// The store has given out the revision of the watch again, so it answers.
TEST(StoreClient, AWatchThatOutlastsARestoreListsAgain) {
  const StoreVersion before = ListMainBeforeRestore();
  store.AddResponse(200, R"({"events":[],"at":45})");
  AddListOfMain(30, "2", 45);
  const auto after = WatchMain(before);
  CHECK(after.has_value());
  STRCMP_EQUAL("2", after->value.c_str());
}

TEST(StoreClient, AWriteConditionalOnALostRevisionIsNotSent) {
  store.era = 1;
  store.AddResponse(200, Object("account", 12, "1"));
  const auto object =
      Run(client.Get(PlatformDuty::kBudget, "account", &reason));
  store.era = 2;
  store.AddResponse(200, Object("other", 3, "1"));
  Run(client.Get(PlatformDuty::kBudget, "other", &reason));
  CHECK(!Run(client.Update(PlatformDuty::kBudget, *object, &reason)));
  CHECK(reason.code == ResultCode::kPlatformConflict);
  LONGS_EQUAL(2, store.calls.size());
}

TEST(StoreClient, TargetsAreListedAnewAfterTheStoreLostItsNewestWrites) {
  store.era = 1;
  store.AddResponse(200, R"({"items":[)" + Object("i-1", 5, Target("a")) +
                             R"(],"has_more":false,"at":9})");
  const auto before = Run(client.HostsSince({}, milliseconds(0), &reason));
  store.era = 2;
  store.AddResponse(200, R"({"events":[],"at":12})");
  store.AddResponse(200, R"({"items":[)" + Object("i-2", 4, Target("a")) +
                             R"(],"has_more":false,"at":12})");
  const auto after =
      Run(client.HostsSince(before->version, milliseconds(10), &reason));
  CHECK(after->is_whole);
  CHECK(after->version > before->version);
}

TEST(StoreClient, TargetsAreListedOverAllPagesAndThenWatched) {
  store.AddResponse(200, R"({"items":[)" + Object("i-1", 5, Target("a")) + "," +
                             Object("odd", 6, R"("other")") + "," +
                             Object("i-2", 7, Target("b")) +
                             R"(],"has_more":true,"at":9})");
  store.AddResponse(200, R"({"items":[)" + Object("i-3", 8, Target("a")) +
                             R"(],"has_more":false,"at":11})");
  store.AddResponse(
      200, R"({"events":[{"deleted":true,"object":)" +
               Object("i-1", 12, "null") + R"(},{"deleted":false,"object":)" +
               Object("i-2", 13, R"({"state":"odd"})") + R"(}],"at":13})");
  const auto whole = Run(client.HostsSince({}, milliseconds(0), &reason));
  CHECK(whole->is_whole);
  STRCMP_EQUAL("9", ToText(whole->version).c_str());
  STRCMP_EQUAL("GET /api/objects/servers?since_revision=i-2",
               store.calls[1].c_str());
  LONGS_EQUAL(3, ParseHostList(whole->text, &reason)->targets.size());
  const auto next = Run(client.HostsSince({0, 9}, milliseconds(10), &reason));
  CHECK(!next->is_whole);
  const auto changes = ParseHostListChanges(next->text, &reason);
  LONGS_EQUAL(2, changes->size());
  CHECK((*changes)[0].removed);
  // An entry that no longer describes a target counts as removed.
  CHECK((*changes)[1].removed);
}

// Guards against a cold target whose entry, written again with the same time,
// looks unchanged.
TEST(StoreClient, EntriesOfColdTargetsHaveTheirVersion) {
  auto target = [](const char* cold_ms) {
    return std::string(R"({"service":"llm","address":"10.1.0.9:80","zone":"a",)"
                       R"("state":"ready","born":1,"cold_remaining_ms":)") +
           cold_ms + "}";
  };
  store.AddResponse(200, R"({"items":[)" + Object("i-1", 5, target("8000")) +
                             "," + Object("i-2", 6, target("0")) +
                             R"(],"has_more":false,"at":9})");
  store.AddResponse(200, R"({"events":[{"deleted":false,"object":)" +
                             Object("i-1", 12, target("8000")) +
                             R"(}],"at":12})");
  const auto whole = Run(client.HostsSince({}, milliseconds(0), &reason));
  const auto list = ParseHostList(whole->text, &reason);
  CHECK(list->targets[0].cold_for == milliseconds(8'000));
  STRCMP_EQUAL("5", list->targets[0].cold_version.c_str());
  STRCMP_EQUAL("", list->targets[1].cold_version.c_str());
  const auto next = Run(client.HostsSince({0, 9}, milliseconds(10), &reason));
  const auto changes = ParseHostListChanges(next->text, &reason);
  CHECK((*changes)[0].member != list->targets[0]);
}

// Only names matter: what an operator stored may be no valid JSON, or nested
// too deeply.
TEST(StoreClient, NamesAreListedAndThenWatched) {
  const std::string deep = std::string(10'000, '[') + std::string(10'000, ']');
  store.era = 1;
  store.AddResponse(200, R"({"items":[)" + Object("a", 5, deep) +
                             R"(],"has_more":true,"at":9})");
  store.AddResponse(200, R"({"items":[)" + Object("b", 6, "\"\xff\xfe\"") +
                             R"(],"has_more":false,"at":11})");
  const auto whole = NamesSince({});
  CHECK(whole->is_whole);
  STRCMP_EQUAL("1.9", ToText(whole->version).c_str());
  CHECK((whole->present == std::vector<std::string>{"a", "b"}));
  STRCMP_EQUAL("GET /api/objects/evacuations", store.calls[0].c_str());
  STRCMP_EQUAL("GET /api/objects/evacuations?since_revision=a",
               store.calls[1].c_str());
  // An object may change several times before the watch ends.
  store.AddResponse(
      200, R"({"events":[{"deleted":true,"object":)" + Object("a", 12, "null") +
               R"(},{"deleted":true,"object":)" + Object("b", 13, "null") +
               R"(},{"deleted":false,"object":)" + Object("c", 14, deep) +
               R"(},{"deleted":false,"object":)" + Object("b", 15, "1e99999") +
               R"(}],"at":15})");
  const auto next = NamesSince(whole->version);
  CHECK(!next->is_whole);
  CHECK((next->present == std::vector<std::string>{"b", "c"}));
  CHECK((next->removed == std::vector<std::string>{"a"}));
  STRCMP_EQUAL("GET /api/objects/evacuations?watch=9&wait_ms=10",
               store.calls[2].c_str());
  // Nothing changes until the watch ends.
  store.AddResponse(200, R"({"events":[],"at":20})");
  const auto quiet = NamesSince(next->version);
  CHECK(!quiet->is_whole && quiet->present.empty() && quiet->removed.empty());
  STRCMP_EQUAL("1.20", ToText(quiet->version).c_str());
}

// A deletion may be in the part of the history that the store has dropped.
TEST(StoreClient, NamesAreListedAnewAfterTheHistoryWasDropped) {
  store.AddResponse(410, "{}");
  store.AddResponse(200, R"({"items":[],"has_more":false,"at":31})");
  const auto names = NamesSince({0, 9});
  CHECK(names->is_whole);
  CHECK(names->present.empty());
  STRCMP_EQUAL("31", ToText(names->version).c_str());
}

// The store gives out revisions again, so it answers a watch from a lost one.
TEST(StoreClient, NamesAreListedAnewAfterTheStoreLostItsNewestWrites) {
  store.era = 1;
  store.AddResponse(200, R"({"items":[],"has_more":false,"at":39})");
  const auto before = NamesSince({});
  store.era = 2;
  store.AddResponse(200, R"({"events":[],"at":45})");
  store.AddResponse(200, R"({"items":[)" + Object("a", 5, "1") +
                             R"(],"has_more":false,"at":30})");
  const auto after = NamesSince(before->version);
  CHECK(after->is_whole);
  CHECK((after->present == std::vector<std::string>{"a"}));
  CHECK(after->version > before->version);
}

// Neither must look like a store without evacuations.
TEST(StoreClient, AFailedListHasNoNames) {
  store.AddResponse(0, "");
  CHECK(!NamesSince({}));
  store.AddResponse(200, "garbage");
  CHECK(!NamesSince({}));
  // The second page is lost.
  store.AddResponse(200, R"({"items":[)" + Object("a", 5, "1") +
                             R"(],"has_more":true,"at":9})");
  store.AddResponse(500, "");
  CHECK(!NamesSince({}));
}

}  // namespace turmericwinch::platform
