#include <memory>
#include <set>

#include "apps/measure_capacity/measure.h"
#include "apps/measure_capacity/slopes.h"
#include "libs/base/digest.h"
#include "libs/config/config_manifest.h"
#include "libs/config/config_snapshot.h"
#include "libs/config/config_validator.h"

namespace turmericwinch {

namespace {

constexpr int kTeams = 380;
constexpr int kModels = 21;
constexpr std::size_t kBudgetCounts[] = {1'000, 4'000, 17'000};
constexpr int kRounds = 5;

ConfigSet MakeSet(std::size_t budgets) {
  ConfigSet set;
  for (int n = 0; n < kModels; ++n) {
    set.Add({ConfigKind::kService,
             "model-" + std::to_string(n),
             {{"protocol", "model"}},
             ""});
  }
  for (int n = 0; n < kTeams; ++n) {
    const std::string name = "team-" + std::to_string(n);
    boost::json::array hashes;
    hashes.push_back(boost::json::value(Sha256Hex(name)));
    set.Add({ConfigKind::kTeam, name, {{"key_hashes", hashes}}, ""});
  }
  for (std::size_t n = 0; n < budgets; ++n) {
    set.Add({ConfigKind::kBudget,
             "budget-" + std::to_string(n),
             {{"team", "team-" + std::to_string(n % kTeams)},
              {"tokens", 1'000'000 + static_cast<std::int64_t>(n)}},
             ""});
  }
  return set;
}

// Bytes of the chunks and the manifest of `after` that `before` does not have.
std::size_t MovedBytes(const ConfigManifest& before,
                       const ConfigManifest& after) {
  std::set<std::string> known;
  for (const ConfigChunk& it : before.chunks)
    known.insert(it.digest);
  std::size_t moved = after.text.size();
  for (const ConfigChunk& it : after.chunks) {
    if (!known.contains(it.digest))
      moved += it.text.size();
  }
  return moved;
}

void MeasureSet(std::size_t budgets) {
  const ConfigSet set = MakeSet(budgets);
  const ConfigManifest manifest = BuildManifest(set);
  std::size_t bytes = 0;
  std::map<std::string, std::string> chunks;
  for (const ConfigChunk& it : manifest.chunks) {
    bytes += it.text.size();
    chunks[it.digest] = it.text;
  }
  ConfigSet changed = MakeSet(budgets);
  changed.Add({ConfigKind::kBudget,
               "one-more",
               {{"team", "team-0"}, {"tokens", 5}},
               ""});
  PrintRow("config set bytes", budgets, static_cast<double>(bytes), "bytes");
  PrintRow("config chunks", budgets,
           static_cast<double>(manifest.chunks.size()), "chunks");
  PrintRow("config one change moves", budgets,
           static_cast<double>(MovedBytes(manifest, BuildManifest(changed))),
           "bytes");
  PrintRow("config join and validate", budgets,
           MicrosecondsOf(kRounds,
                          [&] {
                            auto joined =
                                JoinChunks(manifest.text, chunks, nullptr);
                            ValidateConfig(*joined);
                          }),
           "us");
  const std::size_t before = HeapBytes();
  std::unique_ptr<ConfigSnapshot> snapshot;
  PrintRow(
      "config snapshot build", budgets,
      MicrosecondsOf(
          1, [&] { snapshot = std::make_unique<ConfigSnapshot>(1, "", set); }),
      "us");
  PrintRow("config snapshot memory", budgets,
           static_cast<double>(HeapBytes() - before), "bytes");
}

}  // namespace

void MeasureConfig() {
  for (std::size_t it : kBudgetCounts)
    MeasureSet(it);
}

}  // namespace turmericwinch
