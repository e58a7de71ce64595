// Runs hosts that read evacuations from a store in memory, or learn of them
// over loopback connections.

#include "libs/gateway/evacuation_source.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio.hpp>
#include <memory>

#include "loopback_peers.h"
#include "support/memory_platform.h"
#include "support/run_until.h"

namespace turmericwinch {

namespace {

using Domains = std::set<std::string>;

// Each host has a store of its own, so that a host learns nothing from the
// store that another one reads.
struct Host {
  Host(boost::asio::io_context& context,
       const std::string& name,
       const std::string& domain)
      : peers(context),
        news(context,
             peers.peers,
             name,
             domain,
             [] { return BootTime(1'000); }),
        source(platform, news, {"a", "b", "c"}, [this](const Domains& it) {
          published.push_back(it);
        }) {}

  LoopbackPeers peers;
  StoreNewsExchange news;
  MemoryPlatform platform;
  std::vector<Domains> published;
  EvacuationSource source;
};

}  // namespace

TEST_GROUP(EvacuationSource) {
  boost::asio::io_context context;
  Host reader{context, "reader", "a"};
  Host listener{context, "listener", "a"};
  Host far{context, "far", "b"};
  Host stranger{context, "stranger", "b"};

  void setup() override {
    FleetAccount account;
    auto add = [&](const std::string& holder, const std::string& address,
                   const char* domain, int weight) {
      account.heartbeats[holder] = {"boot", BootTime(0), address, domain,
                                    weight};
    };
    add("reader_1", reader.peers.peers.address(), "a", 200);
    add("listener_1", listener.peers.peers.address(), "a", 20);
    add("far_1", far.peers.peers.address(), "b", 20);
    // Hosts that are down.
    for (int n = 0; n < 4; ++n)
      add("down-" + std::to_string(n) + "_1", "127.0.0.1:1", "a", 20);
    for (Host* it : {&reader, &listener, &far, &stranger}) {
      it->peers.peers.UpdateAddresses(account);
      it->news.SetHosts(account);
    }
  }
  void Start(Host & host) {
    boost::asio::co_spawn(context, host.source.Run(), boost::asio::detached);
  }
  void Evacuate(Host & host, const std::string& domain) {
    CHECK(host.platform.store.Create("evacuations/" + domain, "1").has_value());
  }
  void EndEvacuation(Host & host, const std::string& domain) {
    const std::string name = "evacuations/" + domain;
    const StoredObject* object = host.platform.store.Find(name);
    CHECK(host.platform.store.Delete(name, object->version));
  }
  void RunUntilPublished(Host & host, const Domains& domains) {
    RunUntil(context, [&] {
      return !host.published.empty() && host.published.back() == domains;
    });
  }
  // Lets the host call the store `n` more times.
  void RunReads(Host & host, int n) {
    const int end = host.platform.reads + n;
    RunUntil(context, [&] { return host.platform.reads >= end; });
  }
  // The reader knows the other objects of the store too.
  void MakeReader() {
    reader.news.RecordAnswer(StoreTopic::kConfig, {0, 7});
    reader.news.RecordTargets({{0, 20}, true, "{}"}, false);
    reader.news.Update();
  }
};

// The host is ready once the first set is published.
TEST(EvacuationSource, AHostThatStartsKnowsNothingUntilTheStoreAnswers) {
  far.platform.down = true;
  Start(far);
  RunReads(far, 2);
  CHECK(far.published.empty());
  CHECK(!far.source.evacuations().is_known());
  far.platform.down = false;
  RunUntilPublished(far, {});
}

// The store of a new deployment has no objects and so no version.
TEST(EvacuationSource, AnEmptyStoreMakesAHostKnow) {
  Start(far);
  RunUntilPublished(far, {});
  CHECK(far.source.evacuations().is_known());
}

TEST(EvacuationSource, WhileTheStoreIsDownTheSetStaysInForce) {
  Evacuate(far, "c");
  Start(far);
  RunUntilPublished(far, {"c"});
  far.platform.down = true;
  EndEvacuation(far, "c");
  RunReads(far, 2);
  CHECK(far.source.evacuations().domains() == Domains{"c"});
  far.platform.down = false;
  RunUntilPublished(far, {});
}

// The last object's removal lowers the highest version in the list.
TEST(EvacuationSource, EachEvacuationEndsForItself) {
  Evacuate(far, "b");
  Evacuate(far, "c");
  Start(far);
  RunUntilPublished(far, {"b", "c"});
  EndEvacuation(far, "c");
  RunUntilPublished(far, {"b"});
  EndEvacuation(far, "b");
  RunUntilPublished(far, {});
}

TEST(EvacuationSource, ADomainOutsideTheDeploymentIsIgnored) {
  Evacuate(far, "nowhere");
  Start(far);
  RunUntilPublished(far, {});
  LONGS_EQUAL(1, far.published.size());
}

TEST(EvacuationSource, AListenerLearnsFromNewsWithoutTheStore) {
  listener.platform.down = true;
  Start(listener);
  Evacuate(reader, "c");
  MakeReader();
  Start(reader);
  RunUntilPublished(listener, {"c"});
  // The news hold all that a read would tell.
  std::optional<bool> due;
  boost::asio::co_spawn(
      context,
      [&]() -> boost::asio::awaitable<void> {
        due = co_await listener.news.WaitUntilReadIsDue(
            StoreTopic::kEvacuations, listener.source.evacuations().version(),
            std::chrono::milliseconds(0));
      },
      boost::asio::detached);
  RunUntil(context, [&] { return due.has_value(); });
  CHECK(!*due);
  MakeReader();
  Evacuate(reader, "b");
  RunUntilPublished(listener, {"b", "c"});
}

// All of domain a is cut off from the store, its first reader included, which
// reads for others and so gets no news from them.
TEST(EvacuationSource, AReaderWithoutTheStoreLearnsFromAnotherDomain) {
  reader.platform.down = true;
  MakeReader();
  Start(reader);
  Start(far);
  RunUntilPublished(far, {});
  Evacuate(far, "b");
  RunUntilPublished(reader, {"b"});
  CHECK(reader.source.evacuations().is_known());
}

// Frames are lost while links are down, so that one message is not enough.
TEST(EvacuationSource, TheEvacuationsAreSentAgainToHostsInTurn) {
  Evacuate(far, "b");
  Start(far);
  RunUntilPublished(far, {"b"});
  // Starts to listen to news after the message on the change.
  Host late{context, "reader", "a"};
  FleetAccount account;
  account.heartbeats["reader_1"] = {"boot", BootTime(0),
                                    late.peers.peers.address(), "a", 20};
  account.heartbeats["far_1"] = {"boot", BootTime(0), far.peers.peers.address(),
                                 "b", 20};
  late.news.SetHosts(account);
  far.peers.peers.UpdateAddresses(account);
  RunUntil(context, [&] {
    far.news.Update();
    return !late.published.empty();
  });
  CHECK(late.published.back() == Domains{"b"});
}

// News of a host of which the account knows nothing.
TEST(EvacuationSource, NewsOfAStrangerAreIgnored) {
  Start(stranger);
  Start(far);
  RunUntilPublished(stranger, {});
  RunUntilPublished(far, {});
  Evacuate(stranger, "c");
  RunUntilPublished(stranger, {"c"});
  Evacuate(far, "b");
  RunUntilPublished(listener, {"b"});
  LONGS_EQUAL(1, listener.published.size());
}

}  // namespace turmericwinch
