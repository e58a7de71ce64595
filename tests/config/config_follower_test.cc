#include "libs/config/config_follower.h"

#include "libs/base/digest.h"
#include "libs/config/config_constants.h"
#include "libs/config/config_manifest.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

using Time = ConfigFollower::Time;

constexpr Time kNow{0};

ConfigManifest ManifestOf(const std::string& domain) {
  ConfigSet set;
  set.Add({ConfigKind::kFailureDomain, domain, {{"region", "north"}}, ""});
  return BuildManifest(set);
}

// Answers all fetches of `follower` from `manifest`.
void Serve(ConfigFollower& follower, const ConfigManifest& manifest, Time now) {
  for (std::vector<ConfigFetch> fetches = follower.StartDueFetches(now);
       !fetches.empty(); fetches = follower.StartDueFetches(now)) {
    for (const ConfigFetch& it : fetches) {
      if (it.digest == manifest.digest)
        follower.HandlePart(it.digest, manifest.text);
      for (const ConfigChunk& chunk : manifest.chunks) {
        if (it.digest == chunk.digest)
          follower.HandlePart(it.digest, chunk.text);
      }
    }
  }
}

void Adopt(ConfigFollower& follower,
           std::uint64_t generation,
           const ConfigManifest& manifest) {
  follower.HandleOffer({generation, manifest.digest}, "", kNow);
  Serve(follower, manifest, kNow);
  follower.TakeReady(kNow);
}

struct OfferCase {
  const char* name;
  std::uint64_t generation;
  const char* domain;
  const char* peer;
  OfferVerdict expected;
  bool alarm;
  std::uint64_t in_force_after;
};

// Generation 5 with domain "a" is in force.
const OfferCase kCases[] = {
    {"the next from the platform", 6, "b", "", OfferVerdict::kAccepted, false,
     6},
    {"the next from a peer", 6, "b", "p", OfferVerdict::kAccepted, false, 6},
    {"a later one, some missed", 9, "b", "p", OfferVerdict::kAccepted, false,
     9},
    {"same content under a new number", 6, "a", "", OfferVerdict::kAccepted,
     false, 6},
    {"the one in force", 5, "a", "p", OfferVerdict::kCurrent, false, 5},
    {"a stale read or a restored platform", 4, "b", "", OfferVerdict::kOutdated,
     true, 5},
    {"a peer with an older one", 4, "b", "p", OfferVerdict::kOutdated, false,
     5},
    {"a platform restored and published to again", 5, "b", "",
     OfferVerdict::kFork, true, 5},
    {"a peer that took such a one", 5, "b", "p", OfferVerdict::kFork, false, 5},
};

}  // namespace

TEST_GROUP(ConfigFollower) {
  ConfigFollower follower;
  const ConfigManifest a = ManifestOf("a");
  const ConfigManifest b = ManifestOf("b");
};

TEST(ConfigFollower, OfferTable) {
  for (const OfferCase& it : kCases) {
    ConfigFollower fresh;
    Adopt(fresh, 5, a);
    LONGS_EQUAL_TEXT(5, fresh.generation(), it.name);
    const ConfigManifest offered = ManifestOf(it.domain);
    const OfferVerdict verdict =
        fresh.HandleOffer({it.generation, offered.digest}, it.peer, kNow);
    CHECK_TEXT(it.expected == verdict, it.name);
    Serve(fresh, offered, kNow);
    fresh.TakeReady(kNow);
    LONGS_EQUAL_TEXT(it.in_force_after, fresh.generation(), it.name);
    CHECK_EQUAL_TEXT(it.alarm, !fresh.alarm().empty(), it.name);
  }
}

TEST(ConfigFollower, AlarmEndsWhenThePlatformHasCaughtUp) {
  Adopt(follower, 5, a);
  follower.HandleOffer({4, b.digest}, "", kNow);
  follower.HandleOffer({5, a.digest}, "", kNow);
  STRCMP_EQUAL("", follower.alarm().c_str());
}

TEST(ConfigFollower, GarbledPartIsCountedAndAskedForElsewhere) {
  follower.HandleOffer({1, a.digest}, "p", kNow);
  const std::vector<ConfigFetch> first = follower.StartDueFetches(kNow);
  STRCMP_EQUAL("p", first.at(0).peer.c_str());
  CHECK(!follower.HandlePart(a.digest, a.text + " "));
  LONGS_EQUAL(1, follower.bad_parts());
  LONGS_EQUAL(0, follower.StartDueFetches(kNow).size());
  const Time later = kNow + kConfigFetchTimeout;
  STRCMP_EQUAL("", follower.StartDueFetches(later).at(0).peer.c_str());
  Serve(follower, a, later + kConfigFetchTimeout);
  CHECK(follower.TakeReady(later).has_value());
}

TEST(ConfigFollower, PeerWithoutThePartIsNotAskedAgain) {
  follower.HandleOffer({1, a.digest}, "p", kNow);
  follower.HandleOffer({1, a.digest}, "q", kNow);
  follower.StartDueFetches(kNow);
  follower.HandleFetchFailure(a.digest, "p");
  for (int n = 0; n < 4; ++n) {
    for (const ConfigFetch& it :
         follower.StartDueFetches(n * kConfigFetchTimeout))
      CHECK(it.peer != "p");
  }
}

TEST(ConfigFollower, NewerOfferReplacesOneThatIsBeingFetched) {
  follower.HandleOffer({1, a.digest}, "p", kNow);
  follower.StartDueFetches(kNow);
  follower.HandleOffer({2, b.digest}, "q", kNow);
  CHECK(follower.HandleOffer({1, a.digest}, "p", kNow) ==
        OfferVerdict::kOutdated);
  Serve(follower, b, kNow);
  LONGS_EQUAL(2, follower.TakeReady(kNow)->generation);
}

TEST(ConfigFollower, InvalidContentIsRefusedForGood) {
  Adopt(follower, 1, a);
  const std::string chunk = R"([{"kind":"nonsense","name":"x","spec":{}}])";
  const std::string text = R"({"chunks":[")" + Sha256Hex(chunk) + R"("]})";
  const ConfigOffer offer{2, Sha256Hex(text)};
  follower.HandleOffer(offer, "p", kNow);
  CHECK(follower.HandlePart(offer.digest, text));
  CHECK(follower.HandlePart(Sha256Hex(chunk), chunk));
  CHECK(!follower.TakeReady(kNow));
  CHECK(follower.HandleOffer(offer, "p", kNow) == OfferVerdict::kInvalid);
  LONGS_EQUAL(1, follower.generation());
}

TEST(ConfigFollower, StartingHostWaitsForAPeersWordOnARestoredPlatform) {
  follower.SetPeerWaitDeadline(kNow + kConfigPeerWait);
  follower.HandleOffer({4, a.digest}, "", kNow);
  Serve(follower, a, kNow);
  CHECK(!follower.TakeReady(kNow));
  follower.RecordPeerGeneration(6);
  CHECK(!follower.TakeReady(kNow + 2 * kConfigPeerWait));
  CHECK(follower.HandleOffer({4, a.digest}, "", kNow) ==
        OfferVerdict::kOutdated);
  CHECK(!follower.alarm().empty());
  follower.HandleOffer({6, b.digest}, "p", kNow);
  Serve(follower, b, kNow);
  LONGS_EQUAL(6, follower.TakeReady(kNow)->generation);
}

TEST(ConfigFollower, PeerThatHasNoneEndsTheWait) {
  follower.SetPeerWaitDeadline(kNow + kConfigPeerWait);
  follower.HandleOffer({4, a.digest}, "", kNow);
  Serve(follower, a, kNow);
  follower.RecordPeerGeneration(0);
  CHECK(follower.TakeReady(kNow).has_value());
}

TEST(ConfigFollower, StartingHostWithoutPeersTakesThePlatformsInTheEnd) {
  follower.SetPeerWaitDeadline(kNow + kConfigPeerWait);
  follower.HandleOffer({4, a.digest}, "", kNow);
  Serve(follower, a, kNow);
  CHECK(!follower.TakeReady(kNow + kConfigPeerWait - Time(1)));
  CHECK(follower.TakeReady(kNow + kConfigPeerWait).has_value());
}

TEST(ConfigFollower, ServesThePartsInForceOnly) {
  Adopt(follower, 1, a);
  CHECK(follower.FindPart(a.digest) != nullptr);
  CHECK(follower.FindPart(a.chunks.at(0).digest) != nullptr);
  Adopt(follower, 2, b);
  CHECK(follower.FindPart(a.digest) == nullptr);
  CHECK(follower.FindPart(b.chunks.at(0).digest) != nullptr);
}

}  // namespace turmericwinch
