// Runs two hosts of a failure domain that exchange news of the store over
// loopback connections.

#include "libs/gateway/store_news_exchange.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio.hpp>

#include "loopback_peers.h"
#include "support/run_until.h"

namespace turmericwinch {

namespace {

constexpr std::chrono::hours kLongWait{1};

struct Host {
  Host(boost::asio::io_context& context, const std::string& name)
      : peers(context),
        news(context, peers.peers, name, "a", [] { return BootTime(1'000); }) {
    news.SetTargetsHandler(
        [this](const TargetListNews& it) { targets.push_back(it); });
  }

  LoopbackPeers peers;
  StoreNewsExchange news;
  std::vector<TargetListNews> targets;
};

}  // namespace

TEST_GROUP(StoreNewsExchange) {
  boost::asio::io_context context;
  Host reader{context, "reader"};
  Host other{context, "other"};

  void setup() override {
    FleetAccount account;
    account.heartbeats["reader_1"] = {"boot", BootTime(0),
                                      reader.peers.peers.address(), "a", 200};
    account.heartbeats["other_1"] = {"boot", BootTime(0),
                                     other.peers.peers.address(), "a", 20};
    // Hosts that are down.
    for (int n = 0; n < 4; ++n)
      account.heartbeats["down-" + std::to_string(n) + "_1"] = {
          "boot", BootTime(0), "127.0.0.1:1", "a", 20};
    for (Host* it : {&reader, &other})
      it->news.SetHosts(account);
    reader.news.RecordAnswer(StoreTopic::kConfig, {0, 7});
    reader.news.RecordTargets({{0, 20}, true, "{}"}, false);
    reader.news.Update();
  }

  // Starts a wait of the other host. Sets `due` to its result.
  void Wait(StoreTopic topic, StoreVersion version, std::optional<bool> & due) {
    boost::asio::co_spawn(
        context,
        [this, topic, version, &due]() -> boost::asio::awaitable<void> {
          due =
              co_await other.news.WaitUntilReadIsDue(topic, version, kLongWait);
        },
        boost::asio::detached);
    context.poll();
  }

  // Sends changes of the list until the other host has them.
  void SendTargets(StoreVersion version) {
    reader.news.RecordTargets({version, false, "[]"}, false);
    RunUntil(context, [this] { return !other.targets.empty(); });
  }
};

TEST(StoreNewsExchange, AHostWithoutNewsReadsForItself) {
  std::optional<bool> due;
  Wait(StoreTopic::kConfig, {0, 7}, due);
  CHECK(due && *due);
}

TEST(StoreNewsExchange, AHostReadsOnlyWhatTheNewsSayIsNewer) {
  SendTargets({0, 21});
  std::optional<bool> config;
  std::optional<bool> quarantine;
  Wait(StoreTopic::kConfig, {0, 7}, config);
  Wait(StoreTopic::kQuarantine, {0, 3}, quarantine);
  CHECK(!config && !quarantine);
  reader.news.RecordAnswer(StoreTopic::kConfig, {0, 9});
  RunUntil(context, [&] { return config.has_value(); });
  CHECK(*config);
  CHECK(!quarantine);
}

TEST(StoreNewsExchange, ChangesOfTheListOfTargetsComeWithTheNews) {
  SendTargets({0, 25});
  STRCMP_EQUAL("20", ToText(other.targets[0].from).c_str());
  STRCMP_EQUAL("25", ToText(other.targets[0].to).c_str());
  STRCMP_EQUAL("[]", other.targets[0].text.c_str());
  // What was applied needs no call.
  std::optional<bool> due;
  other.news.RecordAppliedTargets({0, 25});
  Wait(StoreTopic::kTargets, {0, 25}, due);
  CHECK(!due);
  CHECK(!other.news.HadOutageSince({0, 20}));
}

// Versions of one era must not count as of two once the revisions exceed 10^12.
TEST(StoreNewsExchange, ChangesComeWithTheNewsAtAnyRevision) {
  for (const std::uint64_t revision :
       {std::uint64_t{999'999'999'999}, std::uint64_t{1'000'000'000'000},
        (std::uint64_t{1} << 63) - 1, ~std::uint64_t{0} - 1}) {
    other.targets.clear();
    reader.news.RecordTargets({{0, revision}, true, "{}"}, false);
    SendTargets({0, revision + 1});
    CHECK((other.targets[0].from == StoreVersion{0, revision}));
    CHECK((other.targets[0].to == StoreVersion{0, revision + 1}));
  }
}

// Entries that expired in the outage may belong to live targets, so changes
// alone do not tell what to remove.
TEST(StoreNewsExchange, AnOutageThatAHostDidNotNoticeMakesItReadTheList) {
  SendTargets({0, 25});
  std::optional<bool> due;
  other.news.RecordAppliedTargets({0, 25});
  Wait(StoreTopic::kTargets, {0, 25}, due);
  reader.news.RecordTargets({{0, 40}, true, "{}"}, true);
  RunUntil(context, [&] { return due.has_value(); });
  CHECK(*due);
  CHECK(other.news.HadOutageSince({0, 25}));
  LONGS_EQUAL(1, other.targets.size());
}

}  // namespace turmericwinch
