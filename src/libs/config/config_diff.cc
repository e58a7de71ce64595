#include "libs/config/config_diff.h"

namespace turmericwinch {

std::vector<ConfigDifference> DiffConfig(const ConfigSet& before,
                                         const ConfigSet& after) {
  std::vector<ConfigDifference> differences;
  for (const auto& [key, object] : before.objects()) {
    const ConfigObject* other = after.Find(object.kind, object.name);
    if (!other) {
      differences.push_back({ConfigChange::kRemoved, QualifiedName(object),
                             CanonicalJson(object), ""});
      continue;
    }
    std::string old_text = CanonicalJson(object);
    std::string new_text = CanonicalJson(*other);
    if (old_text != new_text)
      differences.push_back({ConfigChange::kChanged, QualifiedName(object),
                             std::move(old_text), std::move(new_text)});
  }
  for (const auto& [key, object] : after.objects()) {
    if (!before.Find(object.kind, object.name))
      differences.push_back({ConfigChange::kAdded, QualifiedName(object), "",
                             CanonicalJson(object)});
  }
  return differences;
}

std::string ToText(const std::vector<ConfigDifference>& differences) {
  std::string text;
  for (const ConfigDifference& it : differences) {
    switch (it.change) {
      case ConfigChange::kAdded:
        text += "+ " + it.object + " " + it.after + "\n";
        break;
      case ConfigChange::kRemoved:
        text += "- " + it.object + " " + it.before + "\n";
        break;
      case ConfigChange::kChanged:
        text += "~ " + it.object + "\n    was " + it.before + "\n    now " +
                it.after + "\n";
        break;
    }
  }
  return text;
}

}  // namespace turmericwinch
