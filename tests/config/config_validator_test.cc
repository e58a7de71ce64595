#include "libs/config/config_validator.h"

#include <CppUTest/TestHarness.h>

#include "libs/config/config_reader.h"

namespace turmericwinch {

namespace {

// A faulty set and the text that its errors must contain.
struct ErrorCase {
  const char* text;
  const char* expected;
};

std::string ErrorsOf(const char* text) {
  ConfigSet set;
  std::vector<ConfigError> errors;
  ReadConfigText("file.json", text, set, errors);
  for (const ConfigError& it : ValidateConfig(set))
    errors.push_back(it);
  std::string joined;
  for (const ConfigError& it : errors)
    joined += ToText(it) + "\n";
  return joined;
}

const ErrorCase kErrorCases[] = {
    {"{", "is not valid JSON"},
    {"[1]", "is not a JSON object"},
    {R"({"kind":"Teem","name":"a"})", "did you mean 'Team'?"},
    {R"({"kind":"Team","name":"A b"})", "is not a valid name"},
    {R"({"kind":"Team","name":"a"})", "key_hashes: is missing"},
    {R"([{"kind":"FailureDomain","name":"a","region":"x"},
         {"kind":"FailureDomain","name":"a","region":"x"}])",
     "is already used in file.json"},
    {R"({"kind":"FailureDomain","name":"a","region":"x","overflow":["b"]})",
     "refers to a FailureDomain that does not exist: 'b'"},
    {R"({"kind":"FailureDomain","name":"a","region":"x","overflow":["a"]})",
     "contains the domain itself"},
    {R"({"kind":"Service","name":"s","protocol":"plain"})", "has no route"},
    {R"({"kind":"Service","name":"s","protocol":"pain"})",
     "is not an allowed value: 'pain'"},
    {R"({"kind":"Budget","name":"b","team":"t","tokens":-1})", "outside 0.."},
    {R"({"kind":"Budget","name":"b","team":"t","token":1})",
     "did you mean 'tokens'?"},
    {R"({"kind":"Budget","name":"b","team":"gone","tokens":1})",
     "refers to a Team that does not exist: 'gone'"},
    {R"({"kind":"Team","name":"a","key_hashes":["0a"]})",
     "has an entry that is not a SHA-256 hash"},
    {R"([{"kind":"Team","name":"a","key_hashes":["0a"]},
         {"kind":"Team","name":"b","key_hashes":["0a"]}])",
     "contains a key hash that Team/a also contains"},
    {R"([{"kind":"Service","name":"s","protocol":"plain"},
         {"kind":"Route","name":"r","service":"s","path":"/x"},
         {"kind":"Route","name":"q","service":"s","path":"/x"}])",
     "can never be reached: Route/q matches the same calls"},
    {R"([{"kind":"Service","name":"s","protocol":"plain","call_tokens":5},
         {"kind":"Route","name":"r","service":"s","path":"/"},
         {"kind":"Limit","name":"l","team":"t","service":"s",
          "most_tokens":4}])",
     "is below the 5 tokens of every call of Service/s"},
    {R"([{"kind":"FailureDomain","name":"a","region":"north"},
         {"kind":"Team","name":"t","key_hashes":[],"regions":["nord"]}])",
     "a region that no FailureDomain has: 'nord'"},
    {R"([{"kind":"FailureDomain","name":"a","region":"north"},
         {"kind":"Route","name":"r","service":"s","path":"/",
          "regions":["north","norht"]}])",
     "did you mean 'north'?"},
    {R"({"kind":"Route","name":"r","service":"s","path":"/","regions":"x"})",
     "regions: is not an array of strings"},
};

}  // namespace

TEST_GROUP(ConfigValidator){};

TEST(ConfigValidator, ReportsEachError) {
  for (const ErrorCase& it : kErrorCases)
    STRCMP_CONTAINS(it.expected, ErrorsOf(it.text).c_str());
}

TEST(ConfigValidator, AcceptsValidSet) {
  STRCMP_EQUAL("", ErrorsOf(R"([
    {"kind":"FailureDomain","name":"a","region":"x","overflow":["b"]},
    {"kind":"FailureDomain","name":"b","region":"x","overflow":["a"]},
    {"kind":"Service","name":"s","protocol":"plain"},
    {"kind":"Route","name":"r","service":"s","path":"/","regions":["x"]}])")
                       .c_str());
}

}  // namespace turmericwinch
