// Decides which hosts of a failure domain read the store for the others. Free
// of clocks and I/O.

#ifndef SRC_LIBS_GATEWAY_STORE_READERS_H_
#define SRC_LIBS_GATEWAY_STORE_READERS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/budget/fleet_account.h"
#include "libs/peer/peer_frame.h"

namespace turmericwinch {

// Objects of the store that every host has to know.
enum class StoreTopic { kConfig, kQuarantine, kTargets, kEvacuations };
inline constexpr std::size_t kStoreTopics = 4;

// Hosts of one failure domain are ranked, see RankHosts(). The first
// reads the store and sends its news to the others, which read only what the
// news say is newer. News are valid for kMaxNewsAge after the store's answer
// that they rest on; a host without valid news reads for itself, so a reader
// that is down, cut off or slow delays nothing for longer than that.
//
// The next host in rank takes over once it has had no valid news for a while.
// Nothing is agreed upon: two hosts that both send news cost some frames.
//
// It answers the load of watches, which would grow with the number of hosts:
// the store counts and prices each call, and a change wakes every watch.
class StoreReaders {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // `host` is the name of this host.
  explicit StoreReaders(std::string host) : host_(std::move(host)) {}

  // Sets the hosts of this host's failure domain, as listed in the account. A
  // domain of fewer than kMinHostsForReaders hosts has no readers: each of its
  // hosts reads for itself.
  void SetHosts(const FleetAccount& account, const std::string& domain);
  // Records what another host knows. Ignores hosts that are not listed.
  // Returns whether the news is used.
  bool RecordNews(const StoreNews& news, TimePoint now);

  // Whether this host should send news to Listeners() now. Must be called
  // regularly.
  bool UpdateRole(TimePoint now);
  bool is_sender() const { return is_sender_; }
  // Whether this host is among the first to take over without valid news.
  bool IsNextInRank(TimePoint now) const;
  // Time until which this host may rely on news; nullopt if it has to read for
  // itself now.
  std::optional<TimePoint> NewsValidUntil(TimePoint now) const;
  // Highest version of `topic` in the valid news; not set if there are none.
  // That of the targets is the version of their last change.
  StoreVersion NewestVersion(StoreTopic topic, TimePoint now) const;
  // Highest version in the valid news of a list of targets that was the first
  // after an outage of the store; not set if there is none.
  StoreVersion LastOutage(TimePoint now) const;
  // Addresses of the other hosts of the domain; empty if it has no readers.
  std::vector<std::string> Listeners() const;

 private:
  struct Member {
    std::string address;
    // Position in rank.
    std::size_t position = 0;
  };
  struct Record {
    StoreNews news;
    // Least difference between this host's clock at the receipt and the
    // sender's clock, which shows the delay of later news.
    std::chrono::milliseconds least_offset{0};
    TimePoint valid_until;
  };

  bool HasReaders() const;
  // Highest `value` of the valid news.
  StoreVersion NewestOf(
      const std::function<StoreVersion(const StoreNews&)>& value,
      TimePoint now) const;
  // Whether a host with a position below `position` sends valid news.
  bool HasSenderBefore(std::size_t position, TimePoint now) const;

  std::string host_;
  // By name. Contains this host.
  std::map<std::string, Member> members_;
  std::map<std::string, Record> records_;
  // Since when no host before this one sends valid news.
  std::optional<TimePoint> lacking_since_;
  bool is_sender_ = false;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_STORE_READERS_H_
