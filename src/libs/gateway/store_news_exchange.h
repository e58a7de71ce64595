// Sends and receives news of the store, and tells the readers of the store's
// objects when to call it.

#ifndef SRC_LIBS_GATEWAY_STORE_NEWS_EXCHANGE_H_
#define SRC_LIBS_GATEWAY_STORE_NEWS_EXCHANGE_H_

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "libs/gateway/gateway_constants.h"
#include "libs/gateway/gateway_peers.h"
#include "libs/gateway/store_readers.h"
#include "libs/gateway/watch_pacer.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// Changes of the list of targets that another host has read: those after
// version `from`, up to version `to`. `text` is that of PlatformHosts.
struct TargetListNews {
  StoreVersion from;
  StoreVersion to;
  std::string text;
};

// The failure domains that another host knows to be evacuated at `version`.
// `age` is the time since the store last answered that host.
struct EvacuationNews {
  std::vector<std::string> domains;
  StoreVersion version;
  std::chrono::milliseconds age{0};
};

// Used on the control thread. `now` is the time since the host booted, with
// suspended periods.
class StoreNewsExchange {
 public:
  using Clock = std::chrono::steady_clock;
  using BootNow = std::function<BootTime()>;
  using EvacuationsHandler = std::function<void(const EvacuationNews&)>;
  using TargetsHandler = std::function<void(const TargetListNews&)>;

  StoreNewsExchange(boost::asio::io_context& control,
                    GatewayPeers& peers,
                    std::string host,
                    std::string domain,
                    BootNow now);

  // Calls Update() at an interval.
  boost::asio::awaitable<void> Run();
  // Decides whether this host reads for others now, and sends them news if so.
  void Update();
  // Sets the hosts of the fleet.
  void SetHosts(const FleetAccount& account);
  // Calls `handler` with changes of the list of targets that come with news.
  void SetTargetsHandler(TargetsHandler handler);

  // Calls `handler` with the evacuated failure domains in news of any host that
  // the account lists. From then on, news of this host are valid only as long
  // as it knows the evacuations.
  void SetEvacuationsHandler(EvacuationsHandler handler);

  // Waits, at most `max_wait`, while news of other hosts show that the store
  // has nothing newer than `version`. Returns whether this host should read
  // now: it has no valid news, or they name a newer version.
  boost::asio::awaitable<bool> WaitUntilReadIsDue(
      StoreTopic topic,
      StoreVersion version,
      std::chrono::milliseconds max_wait);
  // Waits like WaitUntilReadIsDue(), without an end, and then PaceRead().
  boost::asio::awaitable<void> WaitUntilRead(StoreTopic topic,
                                             StoreVersion version);
  // Waits until a watch of `topic` may start, so that a change that follows
  // others at once does not cost a call of its own.
  boost::asio::awaitable<void> PaceRead(StoreTopic topic);
  // Version of the list of targets that this host has according to news: at
  // least `version`, higher if the list has not changed since.
  StoreVersion ConfirmedTargets(StoreVersion version) const;
  // Records that this host applied news up to `version` of the list of targets.
  void RecordAppliedTargets(StoreVersion version);
  // Whether the store had an outage after `version` of the list of targets.
  bool HadOutageSince(StoreVersion version) const;
  // Longest time that a watch should last.
  std::chrono::milliseconds WatchWait() const;
  // Records that the store answered, and that it has no newer version of
  // `topic` than `version`.
  void RecordAnswer(StoreTopic topic, StoreVersion version);
  // Records that the store answered, and which failure domains are evacuated at
  // `version`; sends them to the listeners and to all other hosts of the fleet
  // if they changed after the first call, because a whole domain may be cut off
  // from the store.
  void RecordEvacuations(const std::set<std::string>& domains,
                         StoreVersion version);
  // Records an answer with the list of targets, and sends its changes to the
  // listeners. `after_outage`: it is the first after an outage of the store.
  void RecordTargets(const PlatformHosts& hosts, bool after_outage);

 private:
  struct Waiter {
    boost::asio::steady_timer timer;
    WatchPacer pacer{kMinWatchInterval};
    StoreVersion version;
    bool is_waiting = false;
  };

  bool HandleFrame(const PeerFrame& frame);
  void SendNews(std::string changes, StoreVersion changes_from);
  // Sends the evacuations to `count` hosts of the fleet in turn, unless the
  // store did not confirm them within kMaxNewsAge.
  void SendEvacuations(std::size_t count);
  void ApplyEvacuations(const StoreNews& news);
  // Shortest time between the starts of two watches.
  std::chrono::milliseconds WatchInterval(StoreTopic topic) const;
  Waiter& WaiterOf(StoreTopic topic);
  // When the store last answered a read of `topic`.
  Clock::time_point& AnsweredAt(StoreTopic topic);

  boost::asio::io_context& control_;
  GatewayPeers& peers_;
  StoreReaders readers_;
  std::string host_;
  std::string domain_;
  BootNow boot_now_;
  TargetsHandler on_targets_;
  EvacuationsHandler on_evacuations_;
  // Position of the next host of the fleet that gets the evacuations. Hosts
  // start at different ones.
  std::uint64_t next_receiver_;
  // Whether this host has read the evacuations itself.
  bool evacuations_read_ = false;
  std::array<Waiter, kStoreTopics> waiters_;
  // Number of hosts of the fleet.
  int fleet_hosts_ = 0;
  std::set<std::string> listed_hosts_;
  // What this host has read itself, and when the store last answered.
  StoreNews own_;
  std::array<Clock::time_point, kStoreTopics> answered_at_{};
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_STORE_NEWS_EXCHANGE_H_
