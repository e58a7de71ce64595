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
  kString,
  kStringList,
  kInteger,
  kBoolean,
  kEnum,
  kReference,
  kReferenceList,
};

// One field of a kind. `min_value` and `max_value` bound an integer,
// `allowed_values` are those of a kEnum, `referenced_kind` is the kind of the
// objects that a reference names.
struct FieldSpec {
  std::string_view name;
  FieldType type;
  bool required = false;
  std::int64_t min_value = 0;
  std::int64_t max_value = 0;
  ConfigKind referenced_kind = ConfigKind::kTeam;
  std::vector<std::string_view> allowed_values = {};
  std::string_view description = {};
};

// Name of `kind` in configuration files, such as "TargetClass".
std::string_view NameOf(ConfigKind kind);

// The kind with this name, or nothing if there is none.
std::optional<ConfigKind> ParseConfigKind(std::string_view name);

// Fields of `kind` other than "kind" and "name".
const std::vector<FieldSpec>& FieldsOf(ConfigKind kind);

}  // namespace turmericwinch

#endif  // SRC_LIBS_CONFIG_CONFIG_KIND_H_
