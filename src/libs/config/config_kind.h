// Kinds of configuration objects and the fields of each.

#ifndef SRC_LIBS_CONFIG_CONFIG_KIND_H_
#define SRC_LIBS_CONFIG_CONFIG_KIND_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace turmericwinch {

enum class ConfigKind {
  kTeam,
  kBudget,
  kService,
  kRoute,
  kTargetClass,
  kFailureDomain,
  kLimit,
};
inline constexpr int kConfigKindCount = 7;

enum class FieldType {
  kText,
  kTextList,
  kInteger,
  kFlag,
  kChoice,
  kReference,
  kReferenceList,
};

// One field of a kind. `least` and `most` bound integers; `choices` lists the
// words of a kChoice; `refers_to` is the kind that references name.
struct FieldSpec {
  std::string_view name;
  FieldType type;
  bool required = false;
  std::int64_t least = 0;
  std::int64_t most = 0;
  ConfigKind refers_to = ConfigKind::kTeam;
  std::vector<std::string_view> choices = {};
  std::string_view label = {};
};

// Name of `kind` in files, such as "TargetClass".
std::string_view NameOf(ConfigKind kind);

// Kind named `name`, or nothing.
std::optional<ConfigKind> ParseConfigKind(std::string_view name);

// Fields of `kind` besides "kind" and "name".
const std::vector<FieldSpec>& FieldsOf(ConfigKind kind);

}  // namespace turmericwinch

#endif  // SRC_LIBS_CONFIG_CONFIG_KIND_H_
