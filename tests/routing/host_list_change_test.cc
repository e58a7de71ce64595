#include "libs/routing/host_list_change.h"

#include <CppUTest/TestHarness.h>

#include <random>

namespace turmericwinch {

namespace {

constexpr std::uint64_t kSeed = 31;
constexpr int kRounds = 200;

ListedMember Row(int n, std::uint64_t incarnation) {
  return {"name-" + std::to_string(n), "dk-east-a", "10.0.0.1:1",
          std::to_string(incarnation), "",          false};
}

// A random list of up to 20 hosts and 20 targets.
HostList RandomList(std::mt19937_64& random) {
  HostList list;
  for (int n = 0; n < 20; ++n) {
    if (random() % 2 == 0)
      list.hosts.push_back(Row(n, random() % 2));
    if (random() % 2 == 0)
      list.targets.push_back(Row(n, random() % 2));
    if (random() % 4 == 0 && !list.targets.empty())
      list.targets.back().leaving = true;
    if (random() % 4 == 0 && !list.targets.empty()) {
      list.targets.back().cold_for = std::chrono::milliseconds(random() % 9);
      list.targets.back().cold_version = std::to_string(random() % 3);
    }
  }
  SortByName(&list);
  return list;
}

}  // namespace

TEST_GROUP(HostListChange) {
  Reason reason;
};

TEST(HostListChange, ApplyingTheDiffGivesTheOtherList) {
  std::mt19937_64 random(kSeed);
  for (int n = 0; n < kRounds; ++n) {
    HostList from = RandomList(random);
    const HostList to = RandomList(random);
    auto changes =
        ParseHostListChanges(ToJson(DiffHostLists(from, to)), &reason);
    CHECK(changes.has_value());
    ApplyChanges(*changes, &from);
    STRCMP_EQUAL(ToJson(to).c_str(), ToJson(from).c_str());
    LONGS_EQUAL(0, DiffHostLists(from, to).size());
    auto read = ParseHostList(ToJson(to), &reason);
    STRCMP_EQUAL(ToJson(to).c_str(), ToJson(*read).c_str());
  }
}

TEST(HostListChange, SortKeepsTheLastRowOfEachName) {
  HostList list;
  list.hosts = {Row(2, 1), Row(1, 5), Row(2, 7), Row(1, 6)};
  SortByName(&list);
  LONGS_EQUAL(2, list.hosts.size());
  STRCMP_EQUAL("6", list.hosts[0].incarnation.c_str());
  STRCMP_EQUAL("7", list.hosts[1].incarnation.c_str());
}

// Guards against one unreadable row that hides all others.
TEST(HostListChange, AnUnreadableRowHidesNoOtherRow) {
  const std::string deep = std::string(100, '[') + std::string(100, ']');
  const std::string good = R"({"name":"t-1","address":"10.0.0.1:1"})";
  for (const std::string& row :
       {deep, std::string("\"\xff\""), std::string("{\"x\":1e99999999999}"),
        std::string("7")}) {
    const auto list =
        ParseHostList(R"({"targets":[)" + row + "," + good + "]}", &reason);
    CHECK_TEXT(list.has_value(), row.c_str());
    STRCMP_EQUAL("t-1", list->targets.back().name.c_str());
  }
}

TEST(HostListChange, MalformedChangesAreRejected) {
  for (const char* it :
       {"", "{}", "{\"changes\":1}", "[1]", "[{\"name\":\"a\"}]",
        "[{\"kind\":\"host\"}]", "[{\"kind\":\"rack\",\"name\":\"a\"}]"}) {
    CHECK_FALSE_TEXT(ParseHostListChanges(it, &reason).has_value(), it);
    CHECK_TEXT(reason.code == ResultCode::kPlatformRejected, it);
  }
}

}  // namespace turmericwinch
