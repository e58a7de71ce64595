// Settings of winch.

#ifndef SRC_LIBS_OPERATIONS_WINCH_SETTINGS_H_
#define SRC_LIBS_OPERATIONS_WINCH_SETTINGS_H_

#include <vector>

#include "libs/base/settings_table.h"

namespace turmericwinch {

// All settings. Every verb accepts all of them.
const std::vector<SettingSpec>& WinchSettingSpecs();

}  // namespace turmericwinch

#endif  // SRC_LIBS_OPERATIONS_WINCH_SETTINGS_H_
