#include "libs/config/config_head.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "libs/base/json_fields.h"
#include "libs/config/config_constants.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

}  // namespace

std::string ToJson(const ConfigHead& head) {
  json::array items;
  for (const ConfigGeneration& it : head.generations) {
    items.push_back(json::object{{"generation", it.generation},
                                 {"manifest", it.manifest},
                                 {"publication", it.publication},
                                 {"author", it.author},
                                 {"time", it.time}});
  }
  return json::serialize(json::object{{"generations", items}});
}

std::optional<ConfigHead> ParseConfigHead(std::string_view text,
                                          Reason* reason) {
  std::optional<json::value> value = ParseJson(text);
  const json::object* top = value ? value->if_object() : nullptr;
  const json::array* items = top ? ArrayField(*top, "generations") : nullptr;
  if (!items) {
    return Fail(reason, ResultCode::kConfigInvalid,
                "the configuration's head lists no generations");
  }
  ConfigHead head;
  for (const json::value& it : *items) {
    const json::object* entry = it.if_object();
    std::optional<std::int64_t> number;
    if (entry)
      number = IntField(*entry, "generation");
    if (!number) {
      return Fail(reason, ResultCode::kConfigInvalid,
                  "the configuration's head has an entry without a number");
    }
    head.generations.push_back({static_cast<std::uint64_t>(*number),
                                StringField(*entry, "manifest").value_or(""),
                                StringField(*entry, "publication").value_or(""),
                                StringField(*entry, "author").value_or(""),
                                StringField(*entry, "time").value_or("")});
  }
  return head;
}

ConfigHead PrependGeneration(ConfigHead head, ConfigGeneration generation) {
  generation.generation = head.generation() + 1;
  head.generations.insert(head.generations.begin(), std::move(generation));
  if (head.generations.size() > kConfigHistoryLength)
    head.generations.resize(kConfigHistoryLength);
  return head;
}

const ConfigGeneration* FindPublication(const ConfigHead& head,
                                        std::string_view publication) {
  for (const ConfigGeneration& it : head.generations) {
    if (it.publication == publication)
      return &it;
  }
  return nullptr;
}

}  // namespace turmericwinch
