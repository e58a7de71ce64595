// The texts that winch prints for a terminal.

#include <CppUTest/TestHarness.h>

#include <boost/json.hpp>

#include "libs/operations/explanation_text.h"
#include "libs/operations/help_text.h"
#include "libs/operations/indented_json.h"
#include "libs/operations/winch_commands.h"
#include "libs/operations/winch_settings.h"

namespace turmericwinch {

namespace json = boost::json;

TEST_GROUP(TerminalText){};

TEST(TerminalText, IndentedJsonParsesToTheSameValue) {
  const json::value cases[] = {
      {{"empty", json::object()}, {"list", json::array()}},
      {{"quote\"d", "a\nb"},
       {"long", std::string(200, 'x')},
       {"rows", {{{"a", 1}}, {{"b", std::string(100, 'y')}}}}},
      json::value(nullptr)};
  for (const json::value& it : cases)
    CHECK_TRUE(json::parse(IndentedJson(it)) == it);
}

TEST(TerminalText, ExplainsEachAttempt) {
  const json::value records = json::parse(R"([{"request_id":"r1",
    "path":"/v1/chat/completions","team":"t","budget":"b","generation":3,
    "reserved_tokens":40,"billed_tokens":12,"code":0,"result":"ok",
    "reason":"","elapsed_us":5200,"attempts":[
    {"target":"e1","failure":"answered 500"},{"target":"e2","failure":""}]}])");
  STRCMP_EQUAL(
      "request r1: ok (0) after 5 ms\n"
      "  path /v1/chat/completions, team t, configuration 3\n"
      "  budget b: reserved 40, billed 12\n"
      "  sent to e1, which answered 500\n"
      "  sent to e2, which answered\n",
      ExplanationText(records.as_array()).c_str());
}

TEST(TerminalText, HelpAndCompletionNameEveryVerb) {
  const std::string help = HelpText();
  const std::string script = CompletionScript();
  for (const WinchVerb& it : WinchVerbs()) {
    const std::string name(it.name);
    STRCMP_CONTAINS(("winch " + name).c_str(), help.c_str());
    STRCMP_CONTAINS(("winch " + name).c_str(), HelpText(it).c_str());
    STRCMP_CONTAINS(name.substr(0, name.find(' ')).c_str(), script.c_str());
  }
}

TEST(TerminalText, EachSettingOfAVerbIsDeclared) {
  std::string declared = SettingsHelp(WinchSettingSpecs());
  for (const WinchVerb& verb : WinchVerbs()) {
    for (std::string_view it : verb.settings)
      STRCMP_CONTAINS(("--" + std::string(it) + " ").c_str(), declared.c_str());
  }
}

}  // namespace turmericwinch
