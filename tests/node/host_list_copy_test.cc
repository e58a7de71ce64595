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

PlatformHosts FullList(std::uint64_t revision, std::string text) {
  return {{0, revision}, true, std::move(text)};
}

// Copies the full list of `from` to `to` by requests and parts. Returns the
// number of pieces.
int CopyFullList(const HostListCopy& from, HostListCopy* to, milliseconds age) {
  for (int n = 1; n < 100; ++n) {
    HostListPart part = from.MakePart(to->NextRequest());
    part.age = age;
    if (to->HandlePart(part) != HostListVerdict::kIncomplete)
      return n;
  }
  return 0;
}

}  // namespace

TEST_GROUP(HostListCopy) {
  Reason reason;
  HostListCopy reader;
  HostListCopy other;

  HostListPart ApplyAnswer(const PlatformHosts& hosts) {
    auto part = reader.HandlePlatformAnswer(hosts, &reason);
    CHECK(part.has_value());
    return *part;
  }
};

TEST(HostListCopy, SendsTheFullListInPiecesAndThenOnlyChanges) {
  ApplyAnswer(FullList(1, ListOf(kManyTargets)));
  const int pieces = CopyFullList(reader, &other, milliseconds(0));
  CHECK(pieces > 1);
  STRCMP_EQUAL(reader.digest().c_str(), other.digest().c_str());
  LONGS_EQUAL(kManyTargets, other.list().targets.size());

  const HostListPart changes =
      ApplyAnswer(FullList(2, ListOf(kManyTargets, 1)));
  CHECK(changes.text.size() < 300);
  CHECK(other.HandlePart(changes) == HostListVerdict::kApplied);
  CHECK(other.list().targets[0].leaving);
  STRCMP_EQUAL("2", ToText(other.version()).c_str());
  CHECK(other.HandlePart(changes) == HostListVerdict::kUnchanged);
  // A request from a host with the same list is answered without text.
  CHECK(reader.MakePart(other.NextRequest()).text.empty());
}

TEST(HostListCopy, AppliesPlatformChangesAndForwardsThem) {
  ApplyAnswer(FullList(5, ListOf(3)));
  CopyFullList(reader, &other, milliseconds(0));
  const HostListPart part =
      ApplyAnswer({{0, 6},
                   false,
                   R"({"metadata":{},"changes":[{"kind":"target","name":)"
                   R"("target-10001","state":"gone"}]})"});
  CHECK(other.HandlePart(part) == HostListVerdict::kApplied);
  LONGS_EQUAL(2, other.list().targets.size());
  // The answer to a watch that ended without a change.
  CHECK(ApplyAnswer({{0, 6}, false, ""}).text.empty());
}

TEST(HostListCopy, ReportsAGapAfterALostChangeUntilTheFullListArrives) {
  ApplyAnswer(FullList(1, ListOf(3)));
  CopyFullList(reader, &other, milliseconds(0));
  ApplyAnswer(FullList(2, ListOf(4)));
  const HostListPart later = ApplyAnswer(FullList(3, ListOf(5)));
  CHECK(other.HandlePart(later) == HostListVerdict::kGap);
  LONGS_EQUAL(3, other.list().targets.size());
  CopyFullList(reader, &other, milliseconds(0));
  LONGS_EQUAL(5, other.list().targets.size());
}

TEST(HostListCopy, IgnoresRepeatedChangesFromASecondReader) {
  ApplyAnswer(FullList(1, ListOf(3)));
  HostListCopy second = reader;
  CopyFullList(reader, &other, milliseconds(0));
  const HostListPart single_step = ApplyAnswer(FullList(3, ListOf(5)));
  const HostListPart first_step =
      *second.HandlePlatformAnswer(FullList(2, ListOf(4)), &reason);
  const HostListPart second_step =
      *second.HandlePlatformAnswer(FullList(3, ListOf(5)), &reason);
  CHECK(other.HandlePart(single_step) == HostListVerdict::kApplied);
  CHECK(other.HandlePart(first_step) == HostListVerdict::kUnchanged);
  CHECK(other.HandlePart(second_step) == HostListVerdict::kUnchanged);
  LONGS_EQUAL(5, other.list().targets.size());
}

TEST(HostListCopy, AcceptsALowerVersionOnlyIfThePlatformConfirmedItRecently) {
  struct Case {
    std::uint64_t version;
    milliseconds age;
    bool accepted;
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
    HostListCopy own_copy;
    own_copy.HandlePlatformAnswer(FullList(7, ListOf(3)), &reason);
    HostListCopy peer_copy;
    peer_copy.HandlePlatformAnswer(FullList(it.version, ListOf(2)), &reason);
    CopyFullList(peer_copy, &own_copy, it.age);
    LONGS_EQUAL(it.accepted ? 2 : 3, own_copy.list().targets.size());
  }
}

TEST(HostListCopy, InvalidPartsChangeNothing) {
  ApplyAnswer(FullList(1, ListOf(kManyTargets)));
  CopyFullList(reader, &other, milliseconds(0));
  const HostListPart good = ApplyAnswer(FullList(2, ListOf(kManyTargets, 1)));
  HostListPart wrong_text = good;
  wrong_text.text = "[]";
  HostListPart no_json = good;
  no_json.text = "[";
  HostListPart whole = reader.MakePart({});
  whole.total = whole.text.size();
  HostListPart huge = reader.MakePart({});
  huge.total = kHostListMaxBytes + 1;
  HostListPart none;
  for (const HostListPart& it : {wrong_text, no_json, whole, huge, none})
    CHECK(other.HandlePart(it) != HostListVerdict::kApplied);
  CHECK_FALSE(other.list().targets[0].leaving);
  CHECK(other.HandlePart(good) == HostListVerdict::kApplied);
}

TEST(HostListCopy, RestartsTheTransferIfTheListChangesBetweenPieces) {
  ApplyAnswer(FullList(1, ListOf(kManyTargets)));
  CHECK(other.HandlePart(reader.MakePart(other.NextRequest())) ==
        HostListVerdict::kIncomplete);
  ApplyAnswer(FullList(2, ListOf(kManyTargets, 1)));
  CHECK(CopyFullList(reader, &other, milliseconds(0)) > 1);
  STRCMP_EQUAL(reader.digest().c_str(), other.digest().c_str());
}

TEST(HostListCopy, KeepsTheOldListIfTheNewOneIsUnreadable) {
  ApplyAnswer(FullList(1, ListOf(3)));
  CHECK_FALSE(
      reader.HandlePlatformAnswer(FullList(2, "{"), &reason).has_value());
  CHECK_FALSE(
      reader.HandlePlatformAnswer({{0, 2}, false, "{}"}, &reason).has_value());
  LONGS_EQUAL(3, reader.list().targets.size());
  STRCMP_EQUAL("1", ToText(reader.version()).c_str());
}

// A list without hosts is still a known list.
TEST(HostListCopy, AnEmptyListIsKnown) {
  ApplyAnswer(FullList(1, ListOf(0)));
  CHECK(reader.known());
  CopyFullList(reader, &other, milliseconds(0));
  CHECK(other.known());
}

}  // namespace turmericwinch
