#include "libs/config/config_validator.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <map>

#include "libs/base/json_fields.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

constexpr std::size_t kSha256HexLength = 64;

// Collects the errors of one object.
class ObjectValidator {
 public:
  ObjectValidator(const ConfigSet& set,
                  const ConfigObject& object,
                  std::vector<ConfigError>& errors)
      : set_(set), object_(object), errors_(errors) {}

  void Validate() {
    for (const FieldSpec& it : FieldsOf(object_.kind))
      CheckField(it);
    for (const auto& it : object_.fields)
      CheckFieldIsKnown(it.key());
  }

  void AddError(std::string_view field,
                std::string message,
                std::string suggestion = {}) {
    errors_.push_back({object_.file, QualifiedName(object_), std::string(field),
                       std::move(message), std::move(suggestion)});
  }

 private:
  void CheckField(const FieldSpec& spec) {
    const json::value* value = object_.fields.if_contains(spec.name);
    if (!value) {
      if (spec.required)
        AddError(spec.name, "is missing", std::string(spec.description));
      return;
    }
    switch (spec.type) {
      case FieldType::kString:
        if (!value->is_string() || value->get_string().empty())
          AddError(spec.name, "is not a non-empty string");
        return;
      case FieldType::kStringList:
        CheckStringList(spec, *value);
        return;
      case FieldType::kInteger:
        CheckInteger(spec);
        return;
      case FieldType::kBoolean:
        if (!value->is_bool())
          AddError(spec.name, "is not a boolean");
        return;
      case FieldType::kEnum:
        CheckChoice(spec, *value);
        return;
      case FieldType::kReference:
        CheckReference(spec, *value);
        return;
      case FieldType::kReferenceList:
        if (!value->is_array()) {
          AddError(spec.name, "is not an array of names");
          return;
        }
        for (const json::value& it : value->get_array())
          CheckReference(spec, it);
        return;
    }
  }

  void CheckStringList(const FieldSpec& spec, const json::value& value) {
    const json::array* items = value.if_array();
    const bool all_strings = items && std::all_of(items->begin(), items->end(),
                                                  [](const json::value& it) {
                                                    return it.is_string();
                                                  });
    if (!all_strings) {
      AddError(spec.name, "is not an array of strings");
      return;
    }
    if (spec.required && items->empty())
      AddError(spec.name, "is an empty array", std::string(spec.description));
  }

  void CheckInteger(const FieldSpec& spec) {
    std::optional<std::int64_t> n = IntField(object_.fields, spec.name);
    if (!n) {
      AddError(spec.name, "is not an integer");
      return;
    }
    if (*n < spec.min_value || *n > spec.max_value) {
      AddError(spec.name, "is " + std::to_string(*n) + ", outside " +
                              std::to_string(spec.min_value) + ".." +
                              std::to_string(spec.max_value));
    }
  }

  void CheckChoice(const FieldSpec& spec, const json::value& value) {
    std::vector<std::string> words(spec.allowed_values.begin(),
                                   spec.allowed_values.end());
    std::string word(value.is_string() ? std::string(value.get_string()) : "");
    if (std::find(words.begin(), words.end(), word) == words.end())
      AddError(spec.name, "is not an allowed value: '" + word + "'",
               words.empty() ? "" : "one of " + Join(words));
  }

  static std::string Join(const std::vector<std::string>& words) {
    std::string text;
    for (const std::string& it : words)
      text += (text.empty() ? "" : ", ") + it;
    return text;
  }

  void CheckReference(const FieldSpec& spec, const json::value& value) {
    if (!value.is_string()) {
      AddError(spec.name, "is not the name of an object");
      return;
    }
    std::string name(value.get_string());
    if (set_.Find(spec.referenced_kind, name))
      return;
    AddError(spec.name,
             "refers to a " + std::string(NameOf(spec.referenced_kind)) +
                 " that does not exist: '" + name + "'",
             SuggestCorrection(name, set_.NamesOf(spec.referenced_kind)));
  }

  void CheckFieldIsKnown(std::string_view field) {
    std::vector<std::string> names;
    for (const FieldSpec& it : FieldsOf(object_.kind))
      names.emplace_back(it.name);
    if (std::find(names.begin(), names.end(), field) == names.end())
      AddError(field, "is not a field of " + std::string(NameOf(object_.kind)),
               SuggestCorrection(field, names));
  }

  const ConfigSet& set_;
  const ConfigObject& object_;
  std::vector<ConfigError>& errors_;
};

void CheckKeyHashes(const ConfigSet& set, std::vector<ConfigError>& errors) {
  std::map<std::string, std::string> owners;
  for (const auto& [key, object] : set.objects()) {
    if (object.kind != ConfigKind::kTeam)
      continue;
    const json::array* hashes = ArrayField(object.fields, "key_hashes");
    if (!hashes)
      continue;
    ObjectValidator validator(set, object, errors);
    for (const json::value& it : *hashes) {
      if (!it.is_string())
        continue;
      std::string hash(it.get_string());
      if (hash.size() != kSha256HexLength ||
          hash.find_first_not_of("0123456789abcdef") != std::string::npos)
        validator.AddError("key_hashes",
                           "has an entry that is not a SHA-256 hash",
                           "64 lower-case hexadecimal digits");
      auto [owner, added] = owners.emplace(hash, object.name);
      if (!added)
        validator.AddError("key_hashes", "contains a key hash that Team/" +
                                             owner->second + " also contains");
    }
  }
}

// Finds services with the plain protocol that no route reaches, and routes
// that match the same calls as another route.
void CheckRoutes(const ConfigSet& set, std::vector<ConfigError>& errors) {
  std::map<std::string, const ConfigObject*> routes_by_match;
  std::map<std::string, int> route_counts;
  for (const auto& [key, object] : set.objects()) {
    if (object.kind != ConfigKind::kRoute)
      continue;
    std::string service = StringField(object.fields, "service").value_or("");
    std::string match =
        service + " " + StringField(object.fields, "path").value_or("");
    if (const json::array* methods = ArrayField(object.fields, "methods")) {
      for (const json::value& it : *methods)
        match += " " + json::serialize(it);
    }
    ++route_counts[service];
    auto [it, added] = routes_by_match.emplace(match, &object);
    if (!added) {
      ObjectValidator(set, object, errors)
          .AddError("path",
                    "can never be reached: " + QualifiedName(*it->second) +
                        " matches the same calls",
                    "remove one or change its path or methods");
    }
  }
  for (const std::string& it : set.NamesOf(ConfigKind::kService)) {
    const ConfigObject& service = *set.Find(ConfigKind::kService, it);
    if (route_counts[it] == 0 &&
        StringField(service.fields, "protocol").value_or("") == "plain")
      ObjectValidator(set, service, errors)
          .AddError("", "has no route, so no call can reach it", "add a Route");
  }
}

void CheckOverflow(const ConfigSet& set, std::vector<ConfigError>& errors) {
  for (const std::string& it : set.NamesOf(ConfigKind::kFailureDomain)) {
    const ConfigObject& object = *set.Find(ConfigKind::kFailureDomain, it);
    const json::array* overflow = ArrayField(object.fields, "overflow");
    if (!overflow)
      continue;
    const bool lists_itself = std::any_of(
        overflow->begin(), overflow->end(), [&](const json::value& value) {
          return value.is_string() && value.get_string() == it;
        });
    if (lists_itself)
      ObjectValidator(set, object, errors)
          .AddError("overflow", "contains the domain itself");
  }
}

// Finds regions of teams and routes that no failure domain has: no target could
// get the requests.
void CheckRegions(const ConfigSet& set, std::vector<ConfigError>& errors) {
  std::vector<std::string> known;
  for (const std::string& it : set.NamesOf(ConfigKind::kFailureDomain)) {
    const ConfigObject& domain = *set.Find(ConfigKind::kFailureDomain, it);
    if (std::optional<std::string> region =
            StringField(domain.fields, "region"))
      known.push_back(std::move(*region));
  }
  for (const auto& [key, object] : set.objects()) {
    if (object.kind != ConfigKind::kTeam && object.kind != ConfigKind::kRoute)
      continue;
    const json::array* regions = ArrayField(object.fields, "regions");
    if (!regions)
      continue;
    for (const json::value& it : *regions) {
      if (!it.is_string())
        continue;
      const std::string region(it.get_string());
      if (std::find(known.begin(), known.end(), region) == known.end()) {
        ObjectValidator(set, object, errors)
            .AddError(
                "regions",
                "contains a region that no FailureDomain has: '" + region + "'",
                SuggestCorrection(region, known));
      }
    }
  }
}

// Rejects a limit below the cost of one call of its service: every call would
// exceed it.
void CheckLimits(const ConfigSet& set, std::vector<ConfigError>& errors) {
  for (const std::string& it : set.NamesOf(ConfigKind::kLimit)) {
    const ConfigObject& limit = *set.Find(ConfigKind::kLimit, it);
    std::optional<std::int64_t> max_tokens =
        IntField(limit.fields, "most_tokens");
    std::optional<std::string> name = StringField(limit.fields, "service");
    const ConfigObject* service =
        name ? set.Find(ConfigKind::kService, *name) : nullptr;
    if (!max_tokens || !service)
      continue;
    std::int64_t cost = IntField(service->fields, "call_tokens").value_or(0);
    if (*max_tokens < cost) {
      ObjectValidator(set, limit, errors)
          .AddError("most_tokens", "is below the " + std::to_string(cost) +
                                       " tokens of every call of " +
                                       QualifiedName(*service));
    }
  }
}

}  // namespace

std::vector<ConfigError> ValidateConfig(const ConfigSet& set) {
  std::vector<ConfigError> errors;
  for (const auto& [key, object] : set.objects())
    ObjectValidator(set, object, errors).Validate();
  CheckKeyHashes(set, errors);
  CheckRoutes(set, errors);
  CheckOverflow(set, errors);
  CheckRegions(set, errors);
  CheckLimits(set, errors);
  return errors;
}

}  // namespace turmericwinch
