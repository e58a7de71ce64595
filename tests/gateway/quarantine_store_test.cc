#include "libs/gateway/quarantine_store.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio.hpp>

#include "support/memory_platform.h"
#include "support/run_until.h"

namespace turmericwinch {

namespace {

using Parts = std::vector<QuarantinedPart>;

constexpr std::chrono::milliseconds kHold{60'000};

}  // namespace

TEST_GROUP(QuarantineStore) {
  boost::asio::io_context context;
  MemoryPlatform platform;
  Parts learnt;
  GatewaySettings settings;
  GatewayPeers peers{context, settings};
  StoreNewsExchange news{context, peers, "host", "a",
                         [] { return BootTime(0); }};
  QuarantineStore first{context, platform, news,
                        [](const QuarantineVerdicts&) {}};
  QuarantineStore second{
      context, platform, news,
      [this](const QuarantineVerdicts& it) { learnt = it.parts; }};

  void Start(QuarantineStore & store) {
    boost::asio::co_spawn(context, store.Run(), boost::asio::detached);
  }

  std::size_t StoredParts() {
    Reason reason;
    const auto object = StoredQuarantine::Parse(
        platform.store.Find("quarantine/prompt-parts")->value, &reason);
    return object->Verdicts(0).parts.size();
  }

  // Waits until the store has taken the change.
  void Store(QuarantineStore & store, const Parts& changes) {
    const int before = platform.writes;
    RunUntil(context, [&] {
      store.Store({changes, {}});
      return platform.writes > before;
    });
  }
};

TEST(QuarantineStore, AHostThatStartsLaterLearnsTheVerdicts) {
  Start(first);
  RunUntil(context, [this] { return platform.writes > 0; });
  Store(first, {{7, kHold}});
  Start(second);
  RunUntil(context, [this] { return !learnt.empty(); });
  CHECK(learnt[0].part == 7);
}

TEST(QuarantineStore, WritersAtTheSameTimeLoseNoVerdict) {
  Start(first);
  Start(second);
  RunUntil(context, [this] { return platform.writes > 0; });
  RunUntil(context, [this] {
    first.Store({{{7, kHold}}, {}});
    second.Store({{{8, kHold}}, {}});
    return StoredParts() == 2;
  });
}

TEST(QuarantineStore, AWithdrawnPartIsRemoved) {
  Start(first);
  Start(second);
  RunUntil(context, [this] { return platform.writes > 0; });
  Store(first, {{7, kHold}});
  RunUntil(context, [this] { return !learnt.empty(); });
  Store(first, {{7, std::chrono::milliseconds(0)}});
  RunUntil(context, [this] { return learnt.empty(); });
}

TEST(QuarantineStore, VerdictsAreStoredAgainIfTheStoreComesBackWithoutThem) {
  Start(first);
  RunUntil(context, [this] { return platform.writes > 0; });
  Store(first, {{7, kHold}});
  platform.store = ObjectStore();
  ++platform.era;
  RunUntil(context, [this] {
    return platform.store.Find("quarantine/prompt-parts") != nullptr;
  });
  LONGS_EQUAL(1, StoredParts());
}

}  // namespace turmericwinch
