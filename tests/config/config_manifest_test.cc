#include "libs/config/config_manifest.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

ConfigSet MakeDomains(int n) {
  ConfigSet set;
  for (int it = 0; it < n; ++it) {
    set.Add({ConfigKind::kFailureDomain,
             "domain-" + std::to_string(it),
             {{"region", "north"}},
             ""});
  }
  return set;
}

std::map<std::string, std::string> ChunksByDigest(
    const ConfigManifest& manifest) {
  std::map<std::string, std::string> chunks;
  for (const ConfigChunk& it : manifest.chunks)
    chunks[it.digest] = it.text;
  return chunks;
}

}  // namespace

TEST_GROUP(ConfigManifest){};

TEST(ConfigManifest, JoinedChunksGiveTheOriginalSet) {
  const ConfigManifest manifest = BuildManifest(MakeDomains(3000));
  CHECK(manifest.chunks.size() > 1);
  Reason reason;
  auto set = JoinChunks(manifest.text, ChunksByDigest(manifest), &reason);
  CHECK(set.has_value());
  LONGS_EQUAL(3000, set->objects().size());
  STRCMP_EQUAL(manifest.digest.c_str(), BuildManifest(*set).digest.c_str());
}

TEST(ConfigManifest, RejectsChunkWithWrongDigest) {
  const ConfigManifest manifest = BuildManifest(MakeDomains(2));
  auto chunks = ChunksByDigest(manifest);
  chunks.begin()->second += " ";
  Reason reason;
  CHECK(!JoinChunks(manifest.text, chunks, &reason).has_value());
  STRCMP_CONTAINS("does not match its digest", reason.text.c_str());
}

}  // namespace turmericwinch
