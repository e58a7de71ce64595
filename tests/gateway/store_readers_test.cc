#include "libs/gateway/store_readers.h"

#include <CppUTest/TestHarness.h>

#include <set>

#include "libs/gateway/gateway_constants.h"

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;

constexpr int kHosts = 12;
// A host in touch must know a change within this time.
constexpr milliseconds kMaxDelay{2'000};
constexpr milliseconds kStep{100};

std::string NameOfHost(int n) {
  return "host-" + std::to_string(n);
}

FleetAccount AccountOf(int hosts) {
  FleetAccount account;
  for (int n = 0; n < hosts; ++n)
    account.heartbeats[NameOfHost(n) + "_1"] = {"boot", BootTime(0),
                                                NameOfHost(n) + ":1", "a"};
  return account;
}

}  // namespace

TEST_GROUP(StoreReaders) {
  std::vector<StoreReaders> hosts;
  // Hosts whose frames are lost, and those to which the store does not answer.
  std::set<int> silent;
  std::set<int> cut_off;
  std::vector<StoreReaders::TimePoint> answered;
  StoreReaders::TimePoint now{std::chrono::hours(1)};

  void Start(int count) {
    for (int n = 0; n < count; ++n) {
      hosts.emplace_back(NameOfHost(n));
      hosts.back().SetHosts(AccountOf(count), "a");
    }
    answered.resize(hosts.size(), now);
  }

  StoreNews NewsOf(std::size_t n) const {
    StoreNews news;
    news.host = NameOfHost(static_cast<int>(n));
    news.sent =
        std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
    news.age = std::chrono::duration_cast<milliseconds>(now - answered[n]);
    news.config = {0, 7};
    return news;
  }

  // Lets the time pass. Returns the longest time for which a host neither had
  // valid news nor read for itself.
  void Run(milliseconds time) {
    for (milliseconds elapsed{0}; elapsed < time; elapsed += kStep) {
      now += kStep;
      for (std::size_t n = 0; n < hosts.size(); ++n) {
        if (!cut_off.contains(static_cast<int>(n)))
          answered[n] = now;
        const bool sends = hosts[n].UpdateRole(now);
        if (!sends || silent.contains(static_cast<int>(n)))
          continue;
        for (std::size_t other = 0; other < hosts.size(); ++other) {
          if (other != n)
            hosts[other].RecordNews(NewsOf(n), now);
        }
      }
    }
  }

  int Senders() const {
    int count = 0;
    for (const StoreReaders& it : hosts)
      count += it.is_sender() ? 1 : 0;
    return count;
  }
  int Sender() const {
    for (std::size_t n = 0; n < hosts.size(); ++n) {
      if (hosts[n].is_sender())
        return static_cast<int>(n);
    }
    return -1;
  }
  int Readers() const {
    int count = 0;
    for (const StoreReaders& it : hosts)
      count += it.NewsValidUntil(now) ? 0 : 1;
    return count;
  }
};

TEST(StoreReaders, OneHostOfALargeDomainReadsForTheOthers) {
  Start(kHosts);
  Run(milliseconds(5'000));
  LONGS_EQUAL(1, Senders());
  LONGS_EQUAL(1, Readers());
  LONGS_EQUAL(kHosts - 1, hosts[Sender()].Listeners().size());
  for (int n = 0; n < kHosts; ++n) {
    if (n != Sender())
      STRCMP_EQUAL(
          "7",
          ToText(hosts[n].NewestVersion(StoreTopic::kConfig, now)).c_str());
  }
}

TEST(StoreReaders, EveryHostOfASmallDomainReadsForItself) {
  Start(kMinHostsForReaders - 1);
  Run(milliseconds(5'000));
  LONGS_EQUAL(0, Senders());
  LONGS_EQUAL(hosts.size(), Readers());
}

TEST(StoreReaders, AHostWhoseReaderFailsReadsForItselfInTime) {
  Start(kHosts);
  Run(milliseconds(5'000));
  silent = {Sender()};
  Run(kMaxDelay - kStep);
  const int before = *silent.begin();
  // Everyone has read since, or hears from the host that took over.
  for (int n = 0; n < kHosts; ++n) {
    const auto until = hosts[n].NewsValidUntil(now);
    CHECK(n == before || !until || Senders() > 1);
  }
  Run(milliseconds(3'000));
  LONGS_EQUAL(2, Senders());
}

// Its own news say how old they are.
TEST(StoreReaders, NewsOfAReaderThatIsCutOffFromTheStoreEnd) {
  Start(kHosts);
  Run(milliseconds(5'000));
  const int first = Sender();
  cut_off = {first};
  Run(kMaxNewsAge + kStep);
  LONGS_EQUAL(kHosts, Readers());
  Run(milliseconds(5'000));
  CHECK(Senders() >= 2);
  CHECK(Readers() <= 2);
  cut_off.clear();
  Run(milliseconds(3'000));
  LONGS_EQUAL(1, Senders());
  LONGS_EQUAL(first, Sender());
}

TEST(StoreReaders, DelayedNewsAreNotTakenForFreshOnes) {
  Start(kHosts);
  Run(milliseconds(5'000));
  const auto reader = static_cast<std::size_t>(Sender());
  const std::size_t other = reader == 0 ? 1 : 0;
  const StoreNews news = NewsOf(reader);
  now += kMaxNewsAge;
  hosts[other].RecordNews(news, now);
  CHECK(!hosts[other].NewsValidUntil(now).has_value());
}

TEST(StoreReaders, AReaderThatRebootedIsHeardAgain) {
  Start(kHosts);
  Run(milliseconds(5'000));
  const auto reader = static_cast<std::size_t>(Sender());
  const std::size_t other = reader == 0 ? 1 : 0;
  StoreNews news = NewsOf(reader);
  now += milliseconds(10'000);
  news.sent = milliseconds(5);
  news.age = milliseconds(0);
  hosts[other].RecordNews(news, now);
  CHECK(hosts[other].NewsValidUntil(now).has_value());
}

TEST(StoreReaders, NewsOfAHostThatIsNotListedAreIgnored) {
  Start(kHosts);
  StoreNews news = NewsOf(0);
  news.host = "stranger";
  CHECK(!hosts[1].RecordNews(news, now));
  CHECK(!hosts[1].NewsValidUntil(now).has_value());
}

TEST(StoreReaders, AHostWithAWideLinkReadsFirst) {
  FleetAccount account = AccountOf(kHosts);
  account.heartbeats["host-5_1"].link_mbps = 200;
  std::vector<StoreReaders> readers;
  for (int n = 0; n < kHosts; ++n) {
    readers.emplace_back(NameOfHost(n));
    readers.back().SetHosts(account, "a");
    CHECK_EQUAL(n == 5, readers.back().UpdateRole(now));
  }
}

}  // namespace turmericwinch
