#include "libs/standin/host_list_history.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

using std::chrono::milliseconds;

TEST_GROUP(HostListHistory){};

TEST(HostListHistory, GivesTheListOfATime) {
  HostListHistory history;
  const HostListHistory::Time start{};
  history.Set("first", start + milliseconds(100));
  history.Set("second", start + milliseconds(200));

  const struct {
    int ms;
    const char* list;
  } cases[] = {{99, "{\"hosts\":[],\"targets\":[]}"},
               {100, "first"},
               {199, "first"},
               {200, "second"},
               {9000, "second"}};
  for (const auto& it : cases)
    STRCMP_EQUAL(it.list, history.At(start + milliseconds(it.ms)).c_str());
}

}  // namespace turmericwinch
