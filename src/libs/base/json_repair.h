// Reads JSON text of which some values cannot be parsed. Free of I/O.

#ifndef SRC_LIBS_BASE_JSON_REPAIR_H_
#define SRC_LIBS_BASE_JSON_REPAIR_H_

#include <set>
#include <string>
#include <string_view>

namespace turmericwinch {

// Replaces values that ParseJson() rejects by null: values that are nested too
// deeply, numbers out of range, invalid UTF-8. The smallest such value is
// replaced, but a member named in `whole_members` as a whole. Text whose
// brackets or quotes do not match becomes "null".
std::string ReplaceUnreadable(std::string_view text,
                              const std::set<std::string_view>& whole_members);

}  // namespace turmericwinch

#endif  // SRC_LIBS_BASE_JSON_REPAIR_H_
