#include <CppUTest/TestHarness.h>

#include <boost/asio.hpp>

#include "libs/routing/host_list_change.h"
#include "platform/store_client.h"
#include "scripted_store.h"
#include "support/run_coroutine.h"

namespace turmericwinch::platform {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr milliseconds kWait{10};
constexpr std::uint64_t kMax = ~std::uint64_t{0};
// 10^12 separated the era from the revision in packed versions.
constexpr std::uint64_t kRevisions[] = {1,
                                        999'999'999'998,
                                        999'999'999'999,
                                        1'000'000'000'000,
                                        7'000'000'000'123,
                                        std::uint64_t{1} << 53,
                                        (std::uint64_t{1} << 63) - 1,
                                        std::uint64_t{1} << 63,
                                        kMax - 1};
constexpr std::uint64_t kEras[] = {0, 1, 2'000'000'000'000, kMax - 1};

// One host and its store. `era` and `revision` are those of the store.
class Fixture {
 public:
  Fixture(std::uint64_t era, std::uint64_t revision)
      : revision_(revision),
        text_(std::to_string(era) + " " + std::to_string(revision)) {
    store.era = era;
  }

  template <typename T>
  T Run(asio::awaitable<T> coroutine) {
    return RunCoroutine(context_, std::move(coroutine));
  }

  void AddList(const std::string& name, const std::string& spec) {
    store.AddList(Object(name, revision_, spec), revision_);
  }
  void AddChange(const std::string& name, const std::string& spec) {
    store.AddResponse(200, R"({"events":[{"deleted":false,"object":)" +
                               Object(name, revision_ + 1, spec) +
                               R"(}],"at":)" + std::to_string(revision_ + 1) +
                               "}");
  }
  // Whether the last call was a watch of `kind` from the store's revision.
  bool HasWatched(const std::string& kind) const {
    return store.calls.back() == "GET /api/objects/" + kind +
                                     "?watch=" + std::to_string(revision_) +
                                     "&wait_ms=10";
  }
  // The era and revision, for messages.
  const char* text() const { return text_.c_str(); }

 private:
  asio::io_context context_{1};
  std::uint64_t revision_;
  std::string text_;

 public:
  ScriptedStore store{context_};
  StoreClient client{context_, store.endpoint, kRates, 1};
  Reason reason;
};

template <typename Check>
void ForEachVersion(Check check) {
  for (const std::uint64_t era : kEras) {
    for (const std::uint64_t revision : kRevisions) {
      Fixture fixture(era, revision);
      check(fixture, revision);
    }
  }
}

}  // namespace

// Guard against versions that mix up the era and the revision of the store, so
// that all that it returns counts as outdated.
TEST_GROUP(StoreRevisions){};

TEST(StoreRevisions, AChangeOfTheConfigurationIsWatchedFromAnyRevision) {
  ForEachVersion([](Fixture& it, std::uint64_t) {
    it.AddList("main", "1");
    it.AddChange("main", "2");
    const auto first = it.Run(it.client.Watch(
        PlatformDuty::kConfig, "config/main", {}, kWait, &it.reason));
    CHECK_TEXT(first.has_value(), it.text());
    const auto second =
        it.Run(it.client.Watch(PlatformDuty::kConfig, "config/main",
                               first->version, kWait, &it.reason));
    CHECK_TEXT(second && second->value == "2", it.text());
    CHECK_TEXT(second->version > first->version, it.text());
    CHECK_TEXT(it.HasWatched("config"), it.text());
  });
}

TEST(StoreRevisions, TheTargetsAreListedAndWatchedFromAnyRevision) {
  ForEachVersion([](Fixture& it, std::uint64_t) {
    it.AddList("i-1", Target("a"));
    it.AddChange("i-2", Target("a"));
    const auto whole = it.Run(it.client.HostsSince({}, kWait, &it.reason));
    CHECK_TEXT(whole && whole->is_whole, it.text());
    const auto changes =
        it.Run(it.client.HostsSince(whole->version, kWait, &it.reason));
    CHECK_TEXT(changes && !changes->is_whole, it.text());
    CHECK_TEXT(changes->version > whole->version, it.text());
    LONGS_EQUAL(1, ParseHostListChanges(changes->text, &it.reason)->size());
    CHECK_TEXT(it.HasWatched("servers"), it.text());
  });
}

TEST(StoreRevisions, NamesAreListedAndWatchedFromAnyRevision) {
  ForEachVersion([](Fixture& it, std::uint64_t) {
    it.AddList("a", "1");
    it.AddChange("b", "1");
    const auto whole = it.Run(it.client.NamesSince(
        PlatformDuty::kConfig, "evacuations", {}, kWait, &it.reason));
    CHECK_TEXT(whole && whole->is_whole, it.text());
    const auto changes =
        it.Run(it.client.NamesSince(PlatformDuty::kConfig, "evacuations",
                                    whole->version, kWait, &it.reason));
    CHECK_TEXT(changes && !changes->is_whole, it.text());
    CHECK_TEXT(it.HasWatched("evacuations"), it.text());
  });
}

TEST(StoreRevisions, WritesAreConditionalOnAnyRevision) {
  ForEachVersion([](Fixture& it, std::uint64_t revision) {
    const std::string text = std::to_string(revision);
    it.store.AddResponse(200, Object("account", revision, "1"));
    it.store.AddResponse(200, Object("account", revision + 1, "2"));
    it.store.AddResponse(409, Object("account", revision + 1, "2"));
    it.store.AddResponse(200, "{}");
    const auto object =
        it.Run(it.client.Get(PlatformDuty::kBudget, "account", &it.reason));
    CHECK_TEXT(object.has_value(), it.text());
    const auto written =
        it.Run(it.client.Update(PlatformDuty::kBudget, *object, &it.reason));
    CHECK_TEXT(written && *written > object->version, it.text());
    CHECK_TEXT(it.store.bodies[1].find(R"("revision":)" + text + ",") !=
                   std::string::npos,
               it.text());
    // The object that comes with a conflict is read without a call.
    CHECK(
        !it.Run(it.client.Update(PlatformDuty::kBudget, *object, &it.reason)));
    const auto current =
        it.Run(it.client.Get(PlatformDuty::kBudget, "account", &it.reason));
    CHECK_TEXT(current->version == *written, it.text());
    CHECK_TEXT(it.Run(it.client.Delete(PlatformDuty::kBudget, "account",
                                       object->version, &it.reason))
                   .has_value(),
               it.text());
    CHECK_TEXT(it.store.calls.back().ends_with("?revision=" + text), it.text());
  });
}

// The era rises while a host runs, and the revision goes back.
TEST(StoreRevisions, ARestoredStoreIsReadAnewAtAnyRevision) {
  ForEachVersion([](Fixture& it, std::uint64_t revision) {
    if (revision == 1)
      return;
    it.AddList("main", "1");
    const auto before = it.Run(it.client.Watch(
        PlatformDuty::kConfig, "config/main", {}, kWait, &it.reason));
    CHECK_TEXT(before.has_value(), it.text());
    ++it.store.era;
    it.store.AddResponse(
        200, R"({"events":[],"at":)" + std::to_string(revision) + "}");
    it.store.AddResponse(200, R"({"items":[)" +
                                  Object("main", revision - 1, "2") +
                                  R"(],"has_more":false,"at":)" +
                                  std::to_string(revision) + "}");
    const auto after =
        it.Run(it.client.Watch(PlatformDuty::kConfig, "config/main",
                               before->version, kWait, &it.reason));
    CHECK_TEXT(after && after->value == "2", it.text());
    CHECK_TEXT(after->version > before->version, it.text());
    const std::size_t calls = it.store.calls.size();
    CHECK(
        !it.Run(it.client.Update(PlatformDuty::kBudget, *before, &it.reason)));
    CHECK(it.reason.code == ResultCode::kPlatformConflict);
    LONGS_EQUAL(calls, it.store.calls.size());
  });
}

TEST(StoreRevisions, WhatIsNoRevisionIsRejected) {
  for (const char* revision :
       {"-5", "1.5", R"("7")", "null", "1e30", "18446744073709551616"}) {
    Fixture it(0, 1);
    it.store.AddResponse(
        200, std::string(R"({"metadata":{"name":"account","revision":)") +
                 revision + R"(},"spec":1,"status":null})");
    CHECK_TEXT(
        !it.Run(it.client.Get(PlatformDuty::kBudget, "account", &it.reason)),
        revision);
    it.store.AddResponse(
        200,
        std::string(R"({"items":[],"has_more":false,"at":)") + revision + "}");
    CHECK_TEXT(!it.Run(it.client.HostsSince({}, kWait, &it.reason)), revision);
    CHECK(it.reason.code == ResultCode::kPlatformRejected);
  }
}

}  // namespace turmericwinch::platform
