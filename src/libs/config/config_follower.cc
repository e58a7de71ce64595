#include "libs/config/config_follower.h"

#include <algorithm>
#include <set>

#include "libs/base/digest.h"
#include "libs/config/config_constants.h"
#include "libs/config/config_manifest.h"
#include "libs/config/config_validator.h"

namespace turmericwinch {

namespace {

using Time = ConfigFollower::Time;

constexpr std::string_view kVerdictNames[] = {"taken", "current", "behind",
                                              "fork", "refused"};

struct WantedPart {
  bool is_manifest = false;
  std::size_t attempts = 0;
  std::optional<Time> asked;
};

struct Candidate {
  ConfigOffer offer;
  // Peers that have it; an empty name is the platform.
  std::vector<std::string> sources;
  std::string manifest;
  std::map<std::string, std::string> chunks;
  std::map<std::string, WantedPart> wanted;
};

}  // namespace

std::string_view NameOf(OfferVerdict verdict) {
  return kVerdictNames[static_cast<int>(verdict)];
}

class ConfigFollower::Private {
 public:
  std::optional<OfferVerdict> JudgeAgainstCurrent(const ConfigOffer& offer,
                                                  bool from_platform);
  std::string SourceOf(const WantedPart& part) const;
  void ListChunks();
  void Refuse();

  ConfigOffer current;
  std::string manifest;
  std::map<std::string, std::string> chunks;
  std::optional<Candidate> candidate;
  std::set<std::string> refused;
  std::string alarm;
  std::optional<Time> wait_until;
  // The newest generation that a peer was heard to have.
  std::uint64_t floor = 0;
  std::uint64_t bad_parts = 0;
};

std::optional<OfferVerdict> ConfigFollower::Private::JudgeAgainstCurrent(
    const ConfigOffer& offer,
    bool from_platform) {
  if (from_platform)
    alarm.clear();
  if (refused.contains(offer.digest))
    return OfferVerdict::kInvalid;
  const std::uint64_t least =
      current.generation > 0 ? current.generation : floor;
  if (offer.generation < least) {
    if (from_platform) {
      alarm = "the platform publishes generation " +
              std::to_string(offer.generation) + ", older than " +
              std::to_string(least) + " in force";
    }
    return OfferVerdict::kOutdated;
  }
  if (offer.generation > current.generation)
    return std::nullopt;
  if (offer.digest == current.digest)
    return OfferVerdict::kCurrent;
  if (from_platform) {
    alarm = "the platform publishes another generation " +
            std::to_string(offer.generation) + " than the one in force";
  }
  return OfferVerdict::kFork;
}

// Peers come first; the platform is asked once each of them was.
std::string ConfigFollower::Private::SourceOf(const WantedPart& part) const {
  const std::size_t n = part.attempts % (candidate->sources.size() + 1);
  return n < candidate->sources.size() ? candidate->sources[n] : std::string();
}

void ConfigFollower::Private::Refuse() {
  refused.insert(candidate->offer.digest);
  candidate.reset();
}

void ConfigFollower::Private::ListChunks() {
  std::optional<std::vector<std::string>> digests =
      ParseChunkDigests(candidate->manifest, nullptr);
  if (!digests) {
    Refuse();
    return;
  }
  for (const std::string& it : *digests) {
    auto known = chunks.find(it);
    if (known != chunks.end())
      candidate->chunks.insert(*known);
    else
      candidate->wanted.try_emplace(it);
  }
}

ConfigFollower::ConfigFollower() : d_(std::make_unique<Private>()) {}

ConfigFollower::~ConfigFollower() = default;

void ConfigFollower::SetPeerWaitDeadline(Time until) {
  d_->wait_until = until;
}

void ConfigFollower::RecordPeerGeneration(std::uint64_t generation) {
  d_->wait_until.reset();
  d_->floor = std::max(d_->floor, generation);
  if (d_->current.generation == 0 && d_->candidate &&
      d_->candidate->offer.generation < d_->floor)
    d_->candidate.reset();
}

OfferVerdict ConfigFollower::HandleOffer(const ConfigOffer& offer,
                                         const std::string& peer,
                                         Time) {
  std::optional<OfferVerdict> verdict =
      d_->JudgeAgainstCurrent(offer, peer.empty());
  if (verdict)
    return *verdict;
  std::optional<Candidate>& candidate = d_->candidate;
  if (candidate && candidate->offer.generation > offer.generation)
    return OfferVerdict::kOutdated;
  if (candidate && candidate->offer.generation == offer.generation &&
      candidate->offer.digest != offer.digest && !peer.empty())
    return OfferVerdict::kFork;
  if (!candidate || candidate->offer.digest != offer.digest) {
    candidate.emplace();
    candidate->wanted[offer.digest].is_manifest = true;
  }
  candidate->offer = offer;
  std::vector<std::string>& sources = candidate->sources;
  if (std::find(sources.begin(), sources.end(), peer) == sources.end())
    sources.push_back(peer);
  return OfferVerdict::kAccepted;
}

std::vector<ConfigFetch> ConfigFollower::StartDueFetches(Time now) {
  std::vector<ConfigFetch> fetches;
  if (!d_->candidate)
    return fetches;
  for (auto& [digest, it] : d_->candidate->wanted) {
    if (it.asked && now - *it.asked < kConfigFetchTimeout)
      continue;
    it.asked = now;
    fetches.push_back({digest, it.is_manifest, d_->SourceOf(it)});
    ++it.attempts;
  }
  return fetches;
}

bool ConfigFollower::HandlePart(const std::string& digest, std::string text) {
  if (!d_->candidate)
    return false;
  auto it = d_->candidate->wanted.find(digest);
  if (it == d_->candidate->wanted.end())
    return false;
  if (Sha256Hex(text) != digest) {
    ++d_->bad_parts;
    return false;
  }
  const bool is_manifest = it->second.is_manifest;
  d_->candidate->wanted.erase(it);
  if (!is_manifest) {
    d_->candidate->chunks.emplace(digest, std::move(text));
    return true;
  }
  d_->candidate->manifest = std::move(text);
  d_->ListChunks();
  return true;
}

void ConfigFollower::HandleFetchFailure(const std::string& digest,
                                        const std::string& peer) {
  if (!d_->candidate || peer.empty())
    return;
  std::erase(d_->candidate->sources, peer);
  auto it = d_->candidate->wanted.find(digest);
  if (it != d_->candidate->wanted.end())
    it->second.asked.reset();
}

std::optional<ReadyConfig> ConfigFollower::TakeReady(Time now) {
  if (!d_->candidate || !d_->candidate->wanted.empty())
    return std::nullopt;
  const std::vector<std::string>& sources = d_->candidate->sources;
  const bool from_peer =
      std::any_of(sources.begin(), sources.end(),
                  [](const std::string& it) { return !it.empty(); });
  if (!from_peer && d_->wait_until && now < *d_->wait_until)
    return std::nullopt;
  std::optional<ConfigSet> set =
      JoinChunks(d_->candidate->manifest, d_->candidate->chunks, nullptr);
  if (!set || !ValidateConfig(*set).empty()) {
    d_->Refuse();
    return std::nullopt;
  }
  d_->current = d_->candidate->offer;
  d_->manifest = std::move(d_->candidate->manifest);
  d_->chunks = std::move(d_->candidate->chunks);
  d_->candidate.reset();
  return ReadyConfig{d_->current.generation, d_->current.digest,
                     std::move(*set)};
}

const std::string* ConfigFollower::FindPart(const std::string& digest) const {
  if (d_->current.generation > 0 && digest == d_->current.digest)
    return &d_->manifest;
  auto it = d_->chunks.find(digest);
  return it == d_->chunks.end() ? nullptr : &it->second;
}

std::uint64_t ConfigFollower::generation() const {
  return d_->current.generation;
}

const std::string& ConfigFollower::digest() const {
  return d_->current.digest;
}

std::uint64_t ConfigFollower::fetching() const {
  return d_->candidate ? d_->candidate->offer.generation : 0;
}

const std::string& ConfigFollower::alarm() const {
  return d_->alarm;
}

std::uint64_t ConfigFollower::bad_parts() const {
  return d_->bad_parts;
}

}  // namespace turmericwinch
