#include "libs/operations/config_store.h"

#include <chrono>
#include <ctime>
#include <map>

#include "libs/base/digest.h"
#include "libs/config/config_constants.h"
#include "libs/config/config_manifest.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

constexpr std::size_t kPublicationBytes = 12;
constexpr int kMaxStoreAttempts = 5;

std::string FormatUtcNow() {
  const std::time_t now = std::time(nullptr);
  std::tm parts{};
  gmtime_r(&now, &parts);
  char buf[32];
  const std::size_t n =
      std::strftime(buf, sizeof(buf), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return {buf, n};
}

// Creates a content-addressed object. An object that already exists under this
// name has the same content, so that counts as success.
asio::awaitable<bool> CreateIfAbsent(PlatformClient& platform,
                                     std::string name,
                                     std::string value,
                                     Reason* reason) {
  for (int n = 0; n < kMaxStoreAttempts; ++n) {
    std::optional<StoreVersion> version =
        co_await platform.Create(PlatformDuty::kOperator, name, value, reason);
    if (version || reason->code == ResultCode::kPlatformExists)
      co_return true;
    if (reason->code == ResultCode::kPlatformRejected)
      co_return false;
  }
  co_return false;
}

asio::awaitable<std::optional<ConfigSet>> FetchSet(PlatformClient& platform,
                                                   std::string manifest_digest,
                                                   Reason* reason) {
  std::optional<PlatformObject> manifest = co_await platform.Get(
      PlatformDuty::kOperator, kConfigManifestPrefix + manifest_digest, reason);
  if (!manifest)
    co_return std::nullopt;
  std::optional<std::vector<std::string>> digests =
      ParseChunkDigests(manifest->value, reason);
  if (!digests)
    co_return std::nullopt;
  std::map<std::string, std::string> chunks;
  for (const std::string& it : *digests) {
    std::optional<PlatformObject> chunk = co_await platform.Get(
        PlatformDuty::kOperator, kConfigChunkPrefix + it, reason);
    if (!chunk)
      co_return std::nullopt;
    chunks.emplace(it, std::move(chunk->value));
  }
  co_return JoinChunks(manifest->value, chunks, reason);
}

// Called after a write of the head whose response was lost or negative. Returns
// the generation that the write created if it took effect nevertheless.
asio::awaitable<std::optional<std::uint64_t>> FindPublished(
    PlatformClient& platform,
    const std::string& publication,
    Reason* reason) {
  for (int n = 0; n < kMaxStoreAttempts; ++n) {
    std::optional<PlatformObject> object =
        co_await platform.Get(PlatformDuty::kOperator, kConfigHeadName, reason);
    if (!object)
      continue;
    std::optional<ConfigHead> head = ParseConfigHead(object->value, reason);
    const ConfigGeneration* found =
        head ? FindPublication(*head, publication) : nullptr;
    if (found)
      co_return found->generation;
    co_return Fail(reason, ResultCode::kConfigConflict,
                   "another generation was published first");
  }
  co_return std::nullopt;
}

}  // namespace

asio::awaitable<std::optional<PublishedConfig>> FetchConfig(
    PlatformClient& platform,
    Reason* reason) {
  PublishedConfig published;
  std::optional<PlatformObject> object =
      co_await platform.Get(PlatformDuty::kOperator, kConfigHeadName, reason);
  if (!object && reason->code == ResultCode::kPlatformNotFound)
    co_return published;
  if (!object)
    co_return std::nullopt;
  std::optional<ConfigHead> head = ParseConfigHead(object->value, reason);
  if (!head)
    co_return std::nullopt;
  published.version = object->version;
  published.head = std::move(*head);
  if (published.head.generations.empty())
    co_return published;
  std::optional<ConfigSet> set = co_await FetchSet(
      platform, published.head.generations.front().manifest, reason);
  if (!set)
    co_return std::nullopt;
  published.set = std::move(*set);
  co_return published;
}

asio::awaitable<std::optional<std::uint64_t>> PublishConfig(
    PlatformClient& platform,
    const PublishedConfig& base,
    const ConfigSet& set,
    std::string author,
    Reason* reason) {
  const ConfigManifest manifest = BuildManifest(set);
  for (const ConfigChunk& it : manifest.chunks) {
    if (!co_await CreateIfAbsent(platform, kConfigChunkPrefix + it.digest,
                                 it.text, reason))
      co_return std::nullopt;
  }
  if (!co_await CreateIfAbsent(platform,
                               kConfigManifestPrefix + manifest.digest,
                               manifest.text, reason))
    co_return std::nullopt;
  ConfigGeneration generation;
  generation.manifest = manifest.digest;
  generation.publication = RandomHex(kPublicationBytes);
  generation.author = std::move(author);
  generation.time = FormatUtcNow();
  const std::string publication = generation.publication;
  const ConfigHead head = PrependGeneration(base.head, std::move(generation));
  const std::string text = ToJson(head);
  std::optional<StoreVersion> version;
  if (!base.version.IsSet()) {
    version = co_await platform.Create(PlatformDuty::kOperator, kConfigHeadName,
                                       text, reason);
  } else {
    PlatformObject object{kConfigHeadName, base.version, text};
    version = co_await platform.Update(PlatformDuty::kOperator, object, reason);
  }
  if (version)
    co_return head.generation();
  if (reason->code == ResultCode::kPlatformUnavailable ||
      reason->code == ResultCode::kPlatformRejected)
    co_return std::nullopt;
  co_return co_await FindPublished(platform, publication, reason);
}

}  // namespace turmericwinch
