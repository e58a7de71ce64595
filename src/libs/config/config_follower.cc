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

// A manifest or chunk that has not arrived yet.
struct PendingPart {
  bool is_manifest = false;
  std::size_t attempts = 0;
  std::optional<Time> requested_at;
};

// A generation that is being fetched.
struct Candidate {
  ConfigOffer offer;
  // Addresses of the peers that have it; an empty one stands for the platform.
  std::vector<std::string> sources;
  std::string manifest;
  std::map<std::string, std::string> chunks;
  std::map<std::string, PendingPart> pending;
};

}  // namespace

std::string_view NameOf(OfferVerdict verdict) {
  return kVerdictNames[static_cast<int>(verdict)];
}

class ConfigFollower::Private {
 public:
  std::optional<OfferVerdict> CheckAgainstCurrent(const ConfigOffer& offer,
                                                  bool from_platform);
  std::string SelectSource(const PendingPart& part) const;
  void AddPendingChunks();
  void RejectCandidate();

  ConfigOffer current;
  std::string manifest;
  std::map<std::string, std::string> chunks;
  std::optional<Candidate> candidate;
  std::set<std::string> invalid_digests;
  std::string alarm;
  std::optional<Time> peer_wait_deadline;
  // The newest generation that a peer has reported to be in force there.
  std::uint64_t highest_peer_generation = 0;
  std::uint64_t bad_parts = 0;
};

std::optional<OfferVerdict> ConfigFollower::Private::CheckAgainstCurrent(
    const ConfigOffer& offer,
    bool from_platform) {
  if (from_platform)
    alarm.clear();
  if (invalid_digests.contains(offer.digest))
    return OfferVerdict::kInvalid;
  const std::uint64_t min_generation =
      current.generation > 0 ? current.generation : highest_peer_generation;
  if (offer.generation < min_generation) {
    if (from_platform) {
      alarm = "the platform publishes generation " +
              std::to_string(offer.generation) +
              ", which is older than generation " +
              std::to_string(min_generation) + " in use";
    }
    return OfferVerdict::kOutdated;
  }
  if (offer.generation > current.generation)
    return std::nullopt;
  if (offer.digest == current.digest)
    return OfferVerdict::kCurrent;
  if (from_platform) {
    alarm = "the platform publishes generation " +
            std::to_string(offer.generation) +
            " with a digest other than that of the generation in force";
  }
  return OfferVerdict::kFork;
}

// Tries each known source in turn, then the platform, and starts over.
std::string ConfigFollower::Private::SelectSource(
    const PendingPart& part) const {
  const std::size_t n = part.attempts % (candidate->sources.size() + 1);
  return n < candidate->sources.size() ? candidate->sources[n] : std::string();
}

void ConfigFollower::Private::RejectCandidate() {
  invalid_digests.insert(candidate->offer.digest);
  candidate.reset();
}

void ConfigFollower::Private::AddPendingChunks() {
  std::optional<std::vector<std::string>> digests =
      ParseChunkDigests(candidate->manifest, nullptr);
  if (!digests) {
    RejectCandidate();
    return;
  }
  for (const std::string& it : *digests) {
    auto known = chunks.find(it);
    if (known != chunks.end())
      candidate->chunks.insert(*known);
    else
      candidate->pending.try_emplace(it);
  }
}

ConfigFollower::ConfigFollower() : d_(std::make_unique<Private>()) {}

ConfigFollower::~ConfigFollower() = default;

void ConfigFollower::SetPeerWaitDeadline(Time deadline) {
  d_->peer_wait_deadline = deadline;
}

void ConfigFollower::RecordPeerGeneration(std::uint64_t generation) {
  d_->peer_wait_deadline.reset();
  d_->highest_peer_generation =
      std::max(d_->highest_peer_generation, generation);
  if (d_->current.generation == 0 && d_->candidate &&
      d_->candidate->offer.generation < d_->highest_peer_generation)
    d_->candidate.reset();
}

OfferVerdict ConfigFollower::HandleOffer(const ConfigOffer& offer,
                                         const std::string& peer,
                                         Time) {
  std::optional<OfferVerdict> verdict =
      d_->CheckAgainstCurrent(offer, peer.empty());
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
    candidate->pending[offer.digest].is_manifest = true;
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
  for (auto& [digest, it] : d_->candidate->pending) {
    if (it.requested_at && now - *it.requested_at < kConfigFetchTimeout)
      continue;
    it.requested_at = now;
    fetches.push_back({digest, it.is_manifest, d_->SelectSource(it)});
    ++it.attempts;
  }
  return fetches;
}

bool ConfigFollower::HandlePart(const std::string& digest, std::string text) {
  if (!d_->candidate)
    return false;
  auto it = d_->candidate->pending.find(digest);
  if (it == d_->candidate->pending.end())
    return false;
  if (Sha256Hex(text) != digest) {
    ++d_->bad_parts;
    return false;
  }
  const bool is_manifest = it->second.is_manifest;
  d_->candidate->pending.erase(it);
  if (!is_manifest) {
    d_->candidate->chunks.emplace(digest, std::move(text));
    return true;
  }
  d_->candidate->manifest = std::move(text);
  d_->AddPendingChunks();
  return true;
}

void ConfigFollower::HandleFetchFailure(const std::string& digest,
                                        const std::string& peer) {
  if (!d_->candidate || peer.empty())
    return;
  std::erase(d_->candidate->sources, peer);
  auto it = d_->candidate->pending.find(digest);
  if (it != d_->candidate->pending.end())
    it->second.requested_at.reset();
}

std::optional<ReadyConfig> ConfigFollower::TakeReady(Time now) {
  if (!d_->candidate || !d_->candidate->pending.empty())
    return std::nullopt;
  const std::vector<std::string>& sources = d_->candidate->sources;
  const bool from_peer =
      std::any_of(sources.begin(), sources.end(),
                  [](const std::string& it) { return !it.empty(); });
  if (!from_peer && d_->peer_wait_deadline && now < *d_->peer_wait_deadline)
    return std::nullopt;
  std::optional<ConfigSet> set =
      JoinChunks(d_->candidate->manifest, d_->candidate->chunks, nullptr);
  if (!set || !ValidateConfig(*set).empty()) {
    d_->RejectCandidate();
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

std::uint64_t ConfigFollower::fetching_generation() const {
  return d_->candidate ? d_->candidate->offer.generation : 0;
}

const std::string& ConfigFollower::alarm() const {
  return d_->alarm;
}

std::uint64_t ConfigFollower::bad_parts() const {
  return d_->bad_parts;
}

}  // namespace turmericwinch
