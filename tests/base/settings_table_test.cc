#include "libs/base/settings_table.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

std::vector<SettingSpec> Specs() {
  return {
      {.name = "threads",
       .type = SettingType::kInteger,
       .default_value = "2",
       .least = 1,
       .most = 8},
      {.name = "listen", .type = SettingType::kEndpoint, .required = true},
      {.name = "level", .default_value = "low", .choices = {"low", "high"}}};
}

}  // namespace

TEST_GROUP(SettingsTable){};

TEST(SettingsTable, FlagOverridesEnvironment) {
  const char* argv[] = {"program", "--threads=4", "--listen=127.0.0.1:1"};
  auto table = SettingsTable::Read(Specs(), 3, argv,
                                   {{"TURMERICWINCH_THREADS", "3"}}, nullptr);
  CHECK(table.has_value());
  LONGS_EQUAL(4, table->Integer("threads"));
}

TEST(SettingsTable, ReportsAllErrorsAtOnce) {
  const char* argv[] = {"program", "--threads=9", "--bogus", "--level=odd"};
  Reason reason;
  auto table = SettingsTable::Read(Specs(), 4, argv, {}, &reason);
  CHECK(!table.has_value());
  LONGS_EQUAL(static_cast<int>(ResultCode::kSettingsInvalid),
              static_cast<int>(reason.code));
  STRCMP_CONTAINS("--threads", reason.text.c_str());
  STRCMP_CONTAINS("outside 1..8", reason.text.c_str());
  STRCMP_CONTAINS("--listen", reason.text.c_str());
  STRCMP_CONTAINS("--bogus", reason.text.c_str());
  STRCMP_CONTAINS("is 'odd', not one of low, high", reason.text.c_str());
}

}  // namespace turmericwinch
