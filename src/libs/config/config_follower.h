// Decides which configuration to fetch and when to put it in force.

#ifndef SRC_LIBS_CONFIG_CONFIG_FOLLOWER_H_
#define SRC_LIBS_CONFIG_CONFIG_FOLLOWER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/config/config_set.h"

namespace turmericwinch {

// A generation that the platform or a peer says is published. `digest` is of
// its manifest.
struct ConfigOffer {
  std::uint64_t generation = 0;
  std::string digest;
};

// kBehind: older than the one in force, which stays. kFork: the same number
// with another digest; the one in force stays. kRefused: its content was found
// to be wrong before.
enum class OfferVerdict { kAccepted, kCurrent, kOutdated, kFork, kInvalid };

// "taken", "current", "behind", "fork" or "refused".
std::string_view NameOf(OfferVerdict verdict);

// One part to fetch: the manifest or a chunk. `peer` is IP:PORT; empty for the
// platform.
struct ConfigFetch {
  std::string digest;
  bool is_manifest = false;
  std::string peer;
};

// A generation that is whole, checked and valid.
struct ReadyConfig {
  std::uint64_t generation = 0;
  std::string digest;
  ConfigSet set;
};

// Generations only grow, whoever offers them; parts are checked by digest,
// wherever they come from. A host that has just started takes nothing from the
// platform before a peer was heard or a short wait is over, since the platform
// may have been restored to an earlier state. Free of sockets, threads and
// clocks; `now` is the time since any fixed point.
class ConfigFollower {
 public:
  using Time = std::chrono::milliseconds;

  ConfigFollower();
  ~ConfigFollower();

  // Until when the first generation waits for a peer's word.
  void SetPeerWaitDeadline(Time until);
  // A peer was heard that has this generation in force, 0 for none. A first
  // generation below it is not taken.
  void RecordPeerGeneration(std::uint64_t generation);
  // `peer` is empty for the platform.
  OfferVerdict HandleOffer(const ConfigOffer& offer,
                           const std::string& peer,
                           Time now);
  // Parts to ask for now. Each is asked for again, elsewhere, after a while.
  std::vector<ConfigFetch> StartDueFetches(Time now);
  // False if the part is not wanted or does not match its digest.
  bool HandlePart(const std::string& digest, std::string text);
  // `peer` has no such part, or the platform did not answer.
  void HandleFetchFailure(const std::string& digest, const std::string& peer);
  // The generation to put in force now; from then on it is the current one.
  std::optional<ReadyConfig> TakeReady(Time now);

  // Manifest or chunk of the current generation, or null.
  const std::string* FindPart(const std::string& digest) const;
  // 0 before the first.
  std::uint64_t generation() const;
  const std::string& digest() const;
  // The newest generation that is not whole yet, or 0.
  std::uint64_t fetching() const;
  // What is wrong with the platform's published generation, or empty.
  const std::string& alarm() const;
  std::uint64_t bad_parts() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_CONFIG_CONFIG_FOLLOWER_H_
