#include "libs/config/config_validator.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <map>

#include "libs/base/json_fields.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

constexpr std::size_t kDigestHexLength = 64;

// Collects the errors of one object.
class ObjectChecker {
 public:
  ObjectChecker(const ConfigSet& set,
                const ConfigObject& object,
                std::vector<ConfigError>& errors)
      : set_(set), object_(object), errors_(errors) {}

  void Check() {
    for (const FieldSpec& it : FieldsOf(object_.kind))
      CheckField(it);
    for (const auto& it : object_.fields)
      CheckKnown(it.key());
  }

  void Add(std::string_view field,
           std::string text,
           std::string suggestion = {}) {
    errors_.push_back({object_.file, QualifiedName(object_), std::string(field),
                       std::move(text), std::move(suggestion)});
  }

 private:
  void CheckField(const FieldSpec& spec) {
    const json::value* value = object_.fields.if_contains(spec.name);
    if (!value) {
      if (spec.required)
        Add(spec.name, "is missing", std::string(spec.label));
      return;
    }
    switch (spec.type) {
      case FieldType::kText:
        if (!value->is_string() || value->get_string().empty())
          Add(spec.name, "is not a text");
        return;
      case FieldType::kTextList:
        CheckTexts(spec, *value);
        return;
      case FieldType::kInteger:
        CheckInteger(spec);
        return;
      case FieldType::kFlag:
        if (!value->is_bool())
          Add(spec.name, "is neither true nor false");
        return;
      case FieldType::kChoice:
        CheckChoice(spec, *value);
        return;
      case FieldType::kReference:
        CheckReference(spec, *value);
        return;
      case FieldType::kReferenceList:
        if (!value->is_array()) {
          Add(spec.name, "is not a list of names");
          return;
        }
        for (const json::value& it : value->get_array())
          CheckReference(spec, it);
        return;
    }
  }

  void CheckTexts(const FieldSpec& spec, const json::value& value) {
    const json::array* items = value.if_array();
    const bool all_texts = items && std::all_of(items->begin(), items->end(),
                                                [](const json::value& it) {
                                                  return it.is_string();
                                                });
    if (!all_texts) {
      Add(spec.name, "is not a list of texts");
      return;
    }
    if (spec.required && items->empty())
      Add(spec.name, "is an empty list", std::string(spec.label));
  }

  void CheckInteger(const FieldSpec& spec) {
    std::optional<std::int64_t> n = IntField(object_.fields, spec.name);
    if (!n) {
      Add(spec.name, "is not an integer");
      return;
    }
    if (*n < spec.least || *n > spec.most) {
      Add(spec.name, "is " + std::to_string(*n) + ", outside " +
                         std::to_string(spec.least) + ".." +
                         std::to_string(spec.most));
    }
  }

  void CheckChoice(const FieldSpec& spec, const json::value& value) {
    std::vector<std::string> words(spec.choices.begin(), spec.choices.end());
    std::string word(value.is_string() ? std::string(value.get_string()) : "");
    if (std::find(words.begin(), words.end(), word) == words.end())
      Add(spec.name, "is none of its choices: '" + word + "'",
          words.empty() ? "" : "one of " + Joined(words));
  }

  static std::string Joined(const std::vector<std::string>& words) {
    std::string text;
    for (const std::string& it : words)
      text += (text.empty() ? "" : ", ") + it;
    return text;
  }

  void CheckReference(const FieldSpec& spec, const json::value& value) {
    if (!value.is_string()) {
      Add(spec.name, "is not a name");
      return;
    }
    std::string name(value.get_string());
    if (set_.Find(spec.refers_to, name))
      return;
    Add(spec.name,
        "names a " + std::string(NameOf(spec.refers_to)) +
            " that does not exist: '" + name + "'",
        SuggestCorrection(name, set_.NamesOf(spec.refers_to)));
  }

  void CheckKnown(std::string_view field) {
    std::vector<std::string> names;
    for (const FieldSpec& it : FieldsOf(object_.kind))
      names.emplace_back(it.name);
    if (std::find(names.begin(), names.end(), field) == names.end())
      Add(field, "is not a field of " + std::string(NameOf(object_.kind)),
          SuggestCorrection(field, names));
  }

  const ConfigSet& set_;
  const ConfigObject& object_;
  std::vector<ConfigError>& errors_;
};

void CheckKeys(const ConfigSet& set, std::vector<ConfigError>& errors) {
  std::map<std::string, std::string> owners;
  for (const auto& [key, object] : set.objects()) {
    if (object.kind != ConfigKind::kTeam)
      continue;
    const json::array* hashes = ArrayField(object.fields, "key_hashes");
    if (!hashes)
      continue;
    ObjectChecker checker(set, object, errors);
    for (const json::value& it : *hashes) {
      if (!it.is_string())
        continue;
      std::string hash(it.get_string());
      if (hash.size() != kDigestHexLength ||
          hash.find_first_not_of("0123456789abcdef") != std::string::npos)
        checker.Add("key_hashes", "has an entry that is no SHA-256",
                    "64 lower-case hexadecimal digits");
      auto [owner, added] = owners.emplace(hash, object.name);
      if (!added)
        checker.Add("key_hashes",
                    "has a key that Team/" + owner->second + " also has");
    }
  }
}

// Services that a budget pays for and no route reaches, and routes that stand
// behind an equal one.
void CheckRoutes(const ConfigSet& set, std::vector<ConfigError>& errors) {
  std::map<std::string, const ConfigObject*> by_match;
  std::map<std::string, int> routes_of;
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
    ++routes_of[service];
    auto [it, added] = by_match.emplace(match, &object);
    if (!added) {
      ObjectChecker(set, object, errors)
          .Add("path",
               "can never be reached: " + QualifiedName(*it->second) +
                   " matches the same calls",
               "remove one or change its path or methods");
    }
  }
  for (const std::string& it : set.NamesOf(ConfigKind::kService)) {
    const ConfigObject& service = *set.Find(ConfigKind::kService, it);
    if (routes_of[it] == 0 &&
        StringField(service.fields, "protocol").value_or("") == "plain")
      ObjectChecker(set, service, errors)
          .Add("", "has no route, so no call can reach it", "add a Route");
  }
}

void CheckOverflow(const ConfigSet& set, std::vector<ConfigError>& errors) {
  for (const std::string& it : set.NamesOf(ConfigKind::kFailureDomain)) {
    const ConfigObject& object = *set.Find(ConfigKind::kFailureDomain, it);
    const json::array* overflow = ArrayField(object.fields, "overflow");
    if (!overflow)
      continue;
    const bool names_itself = std::any_of(
        overflow->begin(), overflow->end(), [&](const json::value& value) {
          return value.is_string() && value.get_string() == it;
        });
    if (names_itself)
      ObjectChecker(set, object, errors).Add("overflow", "names itself");
  }
}

// A limit below the cost of every call of its service refuses all of them.
void CheckLimits(const ConfigSet& set, std::vector<ConfigError>& errors) {
  for (const std::string& it : set.NamesOf(ConfigKind::kLimit)) {
    const ConfigObject& limit = *set.Find(ConfigKind::kLimit, it);
    std::optional<std::int64_t> most = IntField(limit.fields, "most_tokens");
    std::optional<std::string> name = StringField(limit.fields, "service");
    const ConfigObject* service =
        name ? set.Find(ConfigKind::kService, *name) : nullptr;
    if (!most || !service)
      continue;
    std::int64_t cost = IntField(service->fields, "call_tokens").value_or(0);
    if (*most < cost) {
      ObjectChecker(set, limit, errors)
          .Add("most_tokens", "is below the " + std::to_string(cost) +
                                  " tokens of every call of " +
                                  QualifiedName(*service));
    }
  }
}

}  // namespace

std::vector<ConfigError> ValidateConfig(const ConfigSet& set) {
  std::vector<ConfigError> errors;
  for (const auto& [key, object] : set.objects())
    ObjectChecker(set, object, errors).Check();
  CheckKeys(set, errors);
  CheckRoutes(set, errors);
  CheckOverflow(set, errors);
  CheckLimits(set, errors);
  return errors;
}

}  // namespace turmericwinch
