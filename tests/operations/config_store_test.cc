#include "libs/operations/config_store.h"

#include <CppUTest/TestHarness.h>

#include "support/memory_platform.h"

namespace turmericwinch {

namespace {

ConfigSet OneDomain(const char* name) {
  ConfigSet set;
  set.Add({ConfigKind::kFailureDomain, name, {{"region", "north"}}, ""});
  return set;
}

std::optional<std::uint64_t> Publish(MemoryPlatform& platform,
                                     const PublishedConfig& base,
                                     const ConfigSet& set,
                                     Reason* reason) {
  return RunToEnd(PublishConfig(platform, base, set, "tester", reason));
}

PublishedConfig Fetch(MemoryPlatform& platform) {
  Reason reason;
  auto published = RunToEnd(FetchConfig(platform, &reason));
  CHECK(published.has_value());
  return published.value_or(PublishedConfig());
}

}  // namespace

TEST_GROUP(ConfigStore) {
  MemoryPlatform platform;
  Reason reason;
};

TEST(ConfigStore, PublishedSetIsReadBack) {
  auto generation = Publish(platform, Fetch(platform), OneDomain("a"), &reason);
  CHECK(generation == std::optional<std::uint64_t>(1));
  const PublishedConfig published = Fetch(platform);
  CHECK(published.set.Find(ConfigKind::kFailureDomain, "a") != nullptr);
  CHECK(Publish(platform, published, OneDomain("b"), &reason) ==
        std::optional<std::uint64_t>(2));
}

TEST(ConfigStore, ConcurrentPublicationFailsWithConflict) {
  Publish(platform, Fetch(platform), OneDomain("a"), &reason);
  const PublishedConfig base = Fetch(platform);
  CHECK(Publish(platform, base, OneDomain("b"), &reason).has_value());
  CHECK(!Publish(platform, base, OneDomain("c"), &reason).has_value());
  LONGS_EQUAL(static_cast<int>(ResultCode::kConfigConflict),
              static_cast<int>(reason.code));
  const PublishedConfig published = Fetch(platform);
  CHECK(published.set.Find(ConfigKind::kFailureDomain, "b") != nullptr);
  LONGS_EQUAL(2, published.head.generation());
}

TEST(ConfigStore, ConcurrentFirstPublicationIsRejected) {
  const PublishedConfig base = Fetch(platform);
  CHECK(Publish(platform, base, OneDomain("a"), &reason).has_value());
  CHECK(!Publish(platform, base, OneDomain("b"), &reason).has_value());
  LONGS_EQUAL(1, Fetch(platform).head.generation());
}

TEST(ConfigStore, PublicationSucceedsDespiteLostResponses) {
  // A publication writes two content-addressed objects and the head. The
  // responses to the first one, two or three writes are lost.
  for (int lost = 1; lost <= 3; ++lost) {
    MemoryPlatform fresh;
    fresh.lose_answers = lost;
    auto generation = Publish(fresh, Fetch(fresh), OneDomain("a"), &reason);
    CHECK(generation == std::optional<std::uint64_t>(1));
    LONGS_EQUAL(1, Fetch(fresh).head.generation());
  }
}

TEST(ConfigStore, NothingIsPublishedWhileThePlatformIsUnavailable) {
  const PublishedConfig base = Fetch(platform);
  platform.down = true;
  CHECK(!Publish(platform, base, OneDomain("a"), &reason).has_value());
  platform.down = false;
  LONGS_EQUAL(0, Fetch(platform).head.generation());
}

}  // namespace turmericwinch
