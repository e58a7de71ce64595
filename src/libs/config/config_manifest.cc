#include "libs/config/config_manifest.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "libs/base/digest.h"
#include "libs/base/json_fields.h"
#include "libs/config/config_constants.h"
#include "libs/config/config_reader.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

// The number of chunks is a power of two, so that growth moves objects only at
// its steps.
std::size_t ChunkCount(std::size_t bytes) {
  std::size_t n = 1;
  while (n * kConfigChunkBytes < bytes)
    n *= 2;
  return n;
}

}  // namespace

ConfigManifest BuildManifest(const ConfigSet& set) {
  std::vector<std::string> texts;
  std::vector<std::uint64_t> hashes;
  std::size_t bytes = 0;
  for (const auto& [key, object] : set.objects()) {
    texts.push_back(CanonicalJson(object));
    hashes.push_back(Hash64(QualifiedName(object)));
    bytes += texts.back().size();
  }
  std::vector<std::string> parts(ChunkCount(bytes));
  for (std::size_t it = 0; it < texts.size(); ++it) {
    std::string& part = parts[hashes[it] % parts.size()];
    part += part.empty() ? "[" : ",";
    part += texts[it];
  }
  ConfigManifest manifest;
  json::array digests;
  for (std::string& it : parts) {
    it += it.empty() ? "[]" : "]";
    std::string digest = Sha256Hex(it);
    digests.push_back(json::value(digest));
    manifest.chunks.push_back({std::move(digest), std::move(it)});
  }
  manifest.text = json::serialize(json::object{{"chunks", digests}});
  manifest.digest = Sha256Hex(manifest.text);
  return manifest;
}

std::optional<std::vector<std::string>> ParseChunkDigests(
    std::string_view manifest,
    Reason* reason) {
  std::optional<json::value> value = ParseJson(manifest);
  const json::object* top = value ? value->if_object() : nullptr;
  const json::array* items = top ? ArrayField(*top, "chunks") : nullptr;
  if (!items) {
    return Fail(reason, ResultCode::kConfigInvalid,
                "the manifest lists no chunks");
  }
  std::vector<std::string> digests;
  for (const json::value& it : *items) {
    if (!it.is_string()) {
      return Fail(reason, ResultCode::kConfigInvalid,
                  "the manifest has a chunk that is no digest");
    }
    digests.emplace_back(it.get_string());
  }
  return digests;
}

std::optional<ConfigSet> JoinChunks(
    std::string_view manifest,
    const std::map<std::string, std::string>& chunks,
    Reason* reason) {
  std::optional<std::vector<std::string>> digests =
      ParseChunkDigests(manifest, reason);
  if (!digests)
    return std::nullopt;
  ConfigSet set;
  std::vector<ConfigError> errors;
  for (const std::string& it : *digests) {
    auto chunk = chunks.find(it);
    if (chunk == chunks.end()) {
      return Fail(reason, ResultCode::kConfigInvalid,
                  "chunk " + it + " is missing");
    }
    if (Sha256Hex(chunk->second) != it) {
      return Fail(reason, ResultCode::kConfigInvalid,
                  "chunk " + it + " does not have its digest");
    }
    ReadConfigText("", chunk->second, set, errors);
  }
  if (!errors.empty()) {
    return Fail(reason, ResultCode::kConfigInvalid, ToText(errors.front()));
  }
  return set;
}

}  // namespace turmericwinch
