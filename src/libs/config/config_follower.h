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

// A generation that the platform publishes or a peer has in force. `digest` is
// that of its manifest.
struct ConfigOffer {
  std::uint64_t generation = 0;
  std::string digest;
};

// kOutdated: older than the generation in force, being fetched or reported by a
// peer; ignored. kFork: the same generation number with another digest;
// ignored. kInvalid: the content failed validation before.
enum class OfferVerdict { kAccepted, kCurrent, kOutdated, kFork, kInvalid };

// "taken", "current", "behind", "fork" or "refused".
std::string_view NameOf(OfferVerdict verdict);

// One part to fetch: the manifest or a chunk. `peer` is IP:PORT, or empty for
// the platform.
struct ConfigFetch {
  std::string digest;
  bool is_manifest = false;
  std::string peer;
};

// A generation that was fetched completely and passed validation.
struct ReadyConfig {
  std::uint64_t generation = 0;
  std::string digest;
  ConfigSet set;
};

// The generation in force only increases, whichever source offers a new one.
// Every part is checked against its digest. A host that has just started puts
// no generation of the platform in force until a peer has reported its own or
// a short wait has passed, because the platform may have been restored to an
// earlier state. Uses no sockets, threads or clocks; `now` is the time since an
// arbitrary fixed point.
class ConfigFollower {
 public:
  using Time = std::chrono::milliseconds;

  ConfigFollower();
  ~ConfigFollower();

  // Until `deadline`, the first generation is not put in force unless a peer
  // has reported or offered one.
  void SetPeerWaitDeadline(Time deadline);
  // Records that a peer has `generation` in force, 0 for none. An older one is
  // not accepted as the first generation.
  void RecordPeerGeneration(std::uint64_t generation);
  // Handles an offer from `peer`, or from the platform if `peer` is empty.
  OfferVerdict HandleOffer(const ConfigOffer& offer,
                           const std::string& peer,
                           Time now);
  // Parts to request now. A part that does not arrive within
  // kConfigFetchTimeout is returned again, with another source.
  std::vector<ConfigFetch> StartDueFetches(Time now);
  // False if the part is not pending or does not match its digest.
  bool HandlePart(const std::string& digest, std::string text);
  // `peer` does not have the part. Nothing changes if `peer` is empty (the
  // platform): the part is requested again after kConfigFetchTimeout.
  void HandleFetchFailure(const std::string& digest, const std::string& peer);
  // Returns the fetched generation that is to be put in force now, and makes
  // it the current one.
  std::optional<ReadyConfig> TakeReady(Time now);

  // Manifest or chunk of the current generation, or null.
  const std::string* FindPart(const std::string& digest) const;
  // The current generation, or 0 if there is none yet.
  std::uint64_t generation() const;
  const std::string& digest() const;
  // The generation that is being fetched, or 0.
  std::uint64_t fetching_generation() const;
  // Why the generation that the platform publishes cannot be used, or empty.
  const std::string& alarm() const;
  // Number of received parts that did not match their digest.
  std::uint64_t bad_parts() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_CONFIG_CONFIG_FOLLOWER_H_
