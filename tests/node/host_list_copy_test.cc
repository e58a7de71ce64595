#include "libs/node/host_list_copy.h"

#include <CppUTest/TestHarness.h>

#include "libs/node/node_constants.h"
#include "libs/routing/host_list_change.h"

namespace turmericwinch {

namespace {

using std::chrono::milliseconds;

constexpr int kManyTargets = 1'900;

// A list of `n` targets; the first `leaving` are leaving.
std::string ListOf(int n, int leaving = 0) {
  HostList list;
  for (int k = 0; k < n; ++k) {
    const std::string number = std::to_string(10'000 + k);
    list.targets.push_back({"target-" + number, "dk-east-a",
                            "10.0.0.1:" + number, "1", "llm-large",
                            k < leaving});
  }
  return ToJson(list);
}

PlatformHosts Whole(std::uint64_t version, std::string text) {
  return {version, true, std::move(text)};
}

// Carries `from`'s list to `to` as asks and answers do; the pieces.
int CopyWhole(const HostListCopy& from, HostListCopy* to, milliseconds age) {
  for (int n = 1; n < 100; ++n) {
    HostListPart part = from.Answer(to->Ask());
    part.age = age;
    if (to->TakePart(part) != HostListVerdict::kMore)
      return n;
  }
  return 0;
}

}  // namespace

TEST_GROUP(HostListCopy) {
  Reason reason;
  HostListCopy reader;
  HostListCopy other;

  HostListPart Read(const PlatformHosts& hosts) {
    auto part = reader.TakePlatform(hosts, &reason);
    CHECK(part.has_value());
    return *part;
  }
};

TEST(HostListCopy, AWholeListTravelsInPiecesAndThenAsChanges) {
  Read(Whole(1, ListOf(kManyTargets)));
  const int pieces = CopyWhole(reader, &other, milliseconds(0));
  CHECK(pieces > 1);
  STRCMP_EQUAL(reader.digest().c_str(), other.digest().c_str());
  LONGS_EQUAL(kManyTargets, other.list().targets.size());

  const HostListPart changes = Read(Whole(2, ListOf(kManyTargets, 1)));
  CHECK(changes.text.size() < 300);
  CHECK(other.TakePart(changes) == HostListVerdict::kTaken);
  CHECK(other.list().targets[0].leaving);
  LONGS_EQUAL(2, other.version());
  CHECK(other.TakePart(changes) == HostListVerdict::kSame);
  // An ask with the same list costs no text.
  CHECK(reader.Answer(other.Ask()).text.empty());
}

TEST(HostListCopy, PlatformChangesAreAppliedAndPassedOn) {
  Read(Whole(5, ListOf(3)));
  CopyWhole(reader, &other, milliseconds(0));
  const HostListPart part =
      Read({6, false,
            R"({"metadata":{},"changes":[{"kind":"target","name":)"
            R"("target-10001","state":"gone"}]})"});
  CHECK(other.TakePart(part) == HostListVerdict::kTaken);
  LONGS_EQUAL(2, other.list().targets.size());
  // A wait that ended without a change.
  CHECK(Read({6, false, ""}).text.empty());
}

TEST(HostListCopy, ALostChangeIsAGapUntilTheWholeListCame) {
  Read(Whole(1, ListOf(3)));
  CopyWhole(reader, &other, milliseconds(0));
  Read(Whole(2, ListOf(4)));
  const HostListPart later = Read(Whole(3, ListOf(5)));
  CHECK(other.TakePart(later) == HostListVerdict::kGap);
  LONGS_EQUAL(3, other.list().targets.size());
  CopyWhole(reader, &other, milliseconds(0));
  LONGS_EQUAL(5, other.list().targets.size());
}

TEST(HostListCopy, TwoReadersInDifferentSteps) {
  Read(Whole(1, ListOf(3)));
  HostListCopy second = reader;
  CopyWhole(reader, &other, milliseconds(0));
  const HostListPart at_once = Read(Whole(3, ListOf(5)));
  const HostListPart first_step =
      *second.TakePlatform(Whole(2, ListOf(4)), &reason);
  const HostListPart second_step =
      *second.TakePlatform(Whole(3, ListOf(5)), &reason);
  CHECK(other.TakePart(at_once) == HostListVerdict::kTaken);
  CHECK(other.TakePart(first_step) == HostListVerdict::kSame);
  CHECK(other.TakePart(second_step) == HostListVerdict::kSame);
  LONGS_EQUAL(5, other.list().targets.size());
}

TEST(HostListCopy, AnOlderListComesOnlyWithThePlatformsFreshWord) {
  struct Case {
    std::uint64_t version;
    milliseconds age;
    bool taken;
  };
  const Case cases[] = {
      {8, milliseconds(0), true},
      {8, kHostListUnknownAge, true},
      // A reader that was cut off from the platform, or paused.
      {4, kHostListMaxFreshAge + milliseconds(1), false},
      {4, kHostListUnknownAge, false},
      // The platform was restored and counts from a lower version.
      {4, milliseconds(10), true},
  };
  for (const Case& it : cases) {
    HostListCopy mine;
    mine.TakePlatform(Whole(7, ListOf(3)), &reason);
    HostListCopy theirs;
    theirs.TakePlatform(Whole(it.version, ListOf(2)), &reason);
    CopyWhole(theirs, &mine, it.age);
    LONGS_EQUAL(it.taken ? 2 : 3, mine.list().targets.size());
  }
}

TEST(HostListCopy, WrongPartsChangeNothing) {
  Read(Whole(1, ListOf(kManyTargets)));
  CopyWhole(reader, &other, milliseconds(0));
  const HostListPart good = Read(Whole(2, ListOf(kManyTargets, 1)));
  HostListPart wrong_text = good;
  wrong_text.text = "[]";
  HostListPart no_json = good;
  no_json.text = "[";
  HostListPart whole = reader.Answer({});
  whole.total = whole.text.size();
  HostListPart huge = reader.Answer({});
  huge.total = kHostListMaxBytes + 1;
  HostListPart none;
  for (const HostListPart& it : {wrong_text, no_json, whole, huge, none})
    CHECK(other.TakePart(it) != HostListVerdict::kTaken);
  CHECK_FALSE(other.list().targets[0].leaving);
  CHECK(other.TakePart(good) == HostListVerdict::kTaken);
}

TEST(HostListCopy, AListThatChangesBetweenPiecesStartsAgain) {
  Read(Whole(1, ListOf(kManyTargets)));
  CHECK(other.TakePart(reader.Answer(other.Ask())) == HostListVerdict::kMore);
  Read(Whole(2, ListOf(kManyTargets, 1)));
  CHECK(CopyWhole(reader, &other, milliseconds(0)) > 1);
  STRCMP_EQUAL(reader.digest().c_str(), other.digest().c_str());
}

TEST(HostListCopy, AnUnreadableListKeepsTheOld) {
  Read(Whole(1, ListOf(3)));
  CHECK_FALSE(reader.TakePlatform(Whole(2, "{"), &reason).has_value());
  CHECK_FALSE(reader.TakePlatform({2, false, "{}"}, &reason).has_value());
  LONGS_EQUAL(3, reader.list().targets.size());
  LONGS_EQUAL(1, reader.version());
}

// A list without any host is a list.
TEST(HostListCopy, AnEmptyListIsKnown) {
  Read(Whole(1, ListOf(0)));
  CHECK(reader.known());
  CopyWhole(reader, &other, milliseconds(0));
  CHECK(other.known());
}

}  // namespace turmericwinch
