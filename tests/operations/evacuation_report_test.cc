#include "libs/operations/evacuation_report.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

TEST_GROUP(EvacuationReport){};

TEST(EvacuationReport, ShowsDomainsVersionAndAge) {
  const EvacuationRow row = ParseEvacuations(
      "a:1", R"({"host":"edge-1","evacuations":{"domains":["x","y"],)"
             R"("version":12,"age_ms":340}})");
  STRCMP_EQUAL("12", ToText(row.version).c_str());
  LONGS_EQUAL(340, *row.age_ms);
  const std::string text = FormatEvacuations({row});
  STRCMP_CONTAINS("edge-1", text.c_str());
  STRCMP_CONTAINS("x,y", text.c_str());
  STRCMP_CONTAINS("known", text.c_str());
}

// An operator compares the versions of all daemons.
TEST(EvacuationReport, AVersionIsShownAsTheDaemonKnowsIt) {
  const struct {
    const char* dump;
    const char* text;
  } cases[] = {
      {R"("version":12,"era":0)", " 12 "},
      {R"("version":18446744073709551615,"era":3)", " 3.18446744073709551615 "},
      {R"("version":1000000000007,"era":0)", " 1000000000007 "},
      // Of a daemon of an earlier release.
      {R"("version":3000000000012)", " 3.12 "},
  };
  for (const auto& it : cases) {
    const EvacuationRow row = ParseEvacuations(
        "a:1", std::string(R"({"evacuations":{"domains":[],"age_ms":1,)") +
                   it.dump + "}}");
    STRCMP_CONTAINS(it.text, FormatEvacuations({row}).c_str());
  }
}

// An operator must not take a host without knowledge for one without
// evacuations.
TEST(EvacuationReport, AHostWithoutKnowledgeIsTold) {
  const char* unknown =
      R"({"evacuations":{"domains":[],"version":0,"age_ms":null}})";
  STRCMP_EQUAL("unknown", ParseEvacuations("a:1", unknown).state.c_str());
  STRCMP_EQUAL("not enabled", ParseEvacuations("a:1", "{}").state.c_str());
  STRCMP_EQUAL("invalid dump", ParseEvacuations("a:1", "[}").state.c_str());
}

}  // namespace turmericwinch
