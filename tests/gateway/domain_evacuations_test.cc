#include "libs/gateway/domain_evacuations.h"

#include <CppUTest/TestHarness.h>

#include "libs/gateway/gateway_constants.h"
#include "libs/platform/store_version.h"

namespace turmericwinch {

namespace {

using Names = std::vector<std::string>;
using Domains = std::set<std::string>;
using std::chrono::milliseconds;

const DomainEvacuations::TimePoint kStart{std::chrono::seconds(100)};
constexpr milliseconds kAge{300};

}  // namespace

TEST_GROUP(DomainEvacuations) {
  DomainEvacuations evacuations{{"a", "b", "c"}};

  bool List(std::uint64_t version, Names present) {
    return evacuations.ApplyNames({version, true, std::move(present), {}},
                                  kStart);
  }
  bool Change(std::uint64_t version, Names present, Names removed) {
    return evacuations.ApplyNames(
        {version, false, std::move(present), std::move(removed)}, kStart);
  }
  bool News(std::uint64_t version, const Names& domains,
            milliseconds age = kAge) {
    return evacuations.ApplyNews(domains, version, age, kStart);
  }
};

TEST(DomainEvacuations, SeveralOrAllDomainsAreEvacuatedAtTheSameTime) {
  CHECK(List(5, {"a", "b"}));
  CHECK((evacuations.domains() == Domains{"a", "b"}));
  CHECK(Change(6, {"c"}, {}));
  CHECK((evacuations.domains() == Domains{"a", "b", "c"}));
  CHECK(Change(9, {}, {"b"}));
  CHECK((evacuations.domains() == Domains{"a", "c"}));
  LONGS_EQUAL(9, evacuations.version());
}

// A host would stay unready for ever on a store without objects, whose version
// may be 0.
TEST(DomainEvacuations, AnEmptyListOfAnyVersionIsKnowledge) {
  CHECK(!evacuations.is_known());
  CHECK(!List(0, {}));
  CHECK(evacuations.is_known());
}

TEST(DomainEvacuations, UnknownNamesAreReportedOnceAndIgnored) {
  CHECK(!List(5, {"nowhere"}));
  CHECK(evacuations.domains().empty());
  CHECK((evacuations.TakeUnknownNames() == Names{"nowhere"}));
  // A list that is read again, and a change of the object's contents.
  List(6, {"nowhere"});
  Change(7, {"nowhere"}, {});
  CHECK(evacuations.TakeUnknownNames().empty());
  // The operator writes the same wrong name again.
  Change(8, {}, {"nowhere"});
  Change(9, {"nowhere"}, {});
  CHECK((evacuations.TakeUnknownNames() == Names{"nowhere"}));
}

// Another writer of the store must not fill the memory or the log of a host.
TEST(DomainEvacuations, TheNumberOfUnknownNamesIsBounded) {
  Names names{"zone", "a"};
  for (int n = 0; n < 10'000; ++n)
    names.push_back("x-" + std::to_string(n));
  List(5, names);
  UNSIGNED_LONGS_EQUAL(kMaxUnknownEvacuations,
                       evacuations.TakeUnknownNames().size());
  CHECK((evacuations.domains() == Domains{"a"}));
}

// A frame that was delayed must not end an evacuation.
TEST(DomainEvacuations, NewsAndAnswersOlderThanTheKnownSetAreIgnored) {
  List(10, {"a"});
  CHECK(!News(9, {}));
  CHECK(!List(8, {}));
  CHECK(!Change(9, {}, {"a"}));
  CHECK((evacuations.domains() == Domains{"a"}));
  LONGS_EQUAL(10, evacuations.version());
}

TEST(DomainEvacuations, NewerNewsReplaceTheSet) {
  CHECK(News(4, {"a", "nowhere"}));
  CHECK(evacuations.is_known());
  CHECK(kStart - kAge == evacuations.confirmed_at());
  CHECK(News(6, {"b"}));
  CHECK((evacuations.domains() == Domains{"b"}));
}

// Without it the age of what a listener knows would grow while nothing is
// written to the store.
TEST(DomainEvacuations, NewsOfTheSameVersionConfirmIt) {
  News(4, {"a"});
  CHECK(!News(4, {"a"}, kAge / 2));
  CHECK(kStart - kAge / 2 == evacuations.confirmed_at());
  // Of two answers with the same version, the later one holds.
  CHECK(!News(4, {}, kAge));
  CHECK((evacuations.domains() == Domains{"a"}));
}

// Revisions start anew when the store comes back from an old copy.
TEST(DomainEvacuations, AListOfANewEraReplacesAHigherRevision) {
  List(VersionOf(1, 900), {"a", "b"});
  CHECK(List(VersionOf(2, 40), {"c"}));
  CHECK((evacuations.domains() == Domains{"c"}));
  CHECK(!News(VersionOf(1, 950), {"a"}));
  CHECK(News(VersionOf(3, 2), {}));
  CHECK(evacuations.domains().empty());
}

// Deletions in the lost part of the history are not reported as changes.
TEST(DomainEvacuations, AWholeListAfterALostHistoryReplacesTheSet) {
  List(5, {"a", "b"});
  CHECK(List(50, {"b"}));
  CHECK((evacuations.domains() == Domains{"b"}));
  CHECK(!List(50, {"b"}));
}

// The store answers a watch that began before newer news arrived.
TEST(DomainEvacuations, ChangesThatOverlapWithNewsApplyTwice) {
  List(5, {"a"});
  News(8, {"a", "b"});
  CHECK(Change(9, {"b", "c"}, {}));
  CHECK((evacuations.domains() == Domains{"a", "b", "c"}));
}

}  // namespace turmericwinch
