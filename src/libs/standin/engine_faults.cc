#include "libs/standin/engine_faults.h"

#include "libs/base/json_fields.h"

namespace turmericwinch {

std::optional<EngineFaults> EngineFaultsOf(std::string_view text) {
  std::optional<boost::json::value> value = ParseJson(text);
  const boost::json::object* object = value ? value->if_object() : nullptr;
  if (!object)
    return std::nullopt;
  EngineFaults faults;
  faults.break_after =
      IntField(*object, "break_after").value_or(faults.break_after);
  faults.silent_after =
      IntField(*object, "silent_after").value_or(faults.silent_after);
  faults.times = IntField(*object, "times").value_or(faults.times);
  faults.wrong_id = BoolField(*object, "wrong_id").value_or(false);
  faults.no_usage = BoolField(*object, "no_usage").value_or(false);
  faults.bad_json = BoolField(*object, "bad_json").value_or(false);
  return faults;
}

}  // namespace turmericwinch
