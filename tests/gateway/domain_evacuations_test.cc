#include "libs/gateway/domain_evacuations.h"

#include <CppUTest/TestHarness.h>

#include "libs/gateway/gateway_constants.h"

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

  bool List(StoreVersion version, Names present) {
    return evacuations.ApplyNames({version, true, std::move(present), {}},
                                  kStart);
  }
  bool Change(StoreVersion version, Names present, Names removed) {
    return evacuations.ApplyNames(
        {version, false, std::move(present), std::move(removed)}, kStart);
  }
  bool News(StoreVersion version, const Names& domains,
            milliseconds age = kAge) {
    return evacuations.ApplyNews(domains, version, age, kStart);
  }
};

TEST(DomainEvacuations, SeveralOrAllDomainsAreEvacuatedAtTheSameTime) {
  CHECK(List({0, 5}, {"a", "b"}));
  CHECK((evacuations.domains() == Domains{"a", "b"}));
  CHECK(Change({0, 6}, {"c"}, {}));
  CHECK((evacuations.domains() == Domains{"a", "b", "c"}));
  CHECK(Change({0, 9}, {}, {"b"}));
  CHECK((evacuations.domains() == Domains{"a", "c"}));
  STRCMP_EQUAL("9", ToText(evacuations.version()).c_str());
}

// A host would stay unready for ever on a store without objects, whose version
// may be 0.
TEST(DomainEvacuations, AnEmptyListOfAnyVersionIsKnowledge) {
  CHECK(!evacuations.is_known());
  CHECK(!List({0, 0}, {}));
  CHECK(evacuations.is_known());
}

TEST(DomainEvacuations, UnknownNamesAreReportedOnceAndIgnored) {
  CHECK(!List({0, 5}, {"nowhere"}));
  CHECK(evacuations.domains().empty());
  CHECK((evacuations.TakeUnknownNames() == Names{"nowhere"}));
  // A list that is read again, and a change of the object's contents.
  List({0, 6}, {"nowhere"});
  Change({0, 7}, {"nowhere"}, {});
  CHECK(evacuations.TakeUnknownNames().empty());
  // The operator writes the same wrong name again.
  Change({0, 8}, {}, {"nowhere"});
  Change({0, 9}, {"nowhere"}, {});
  CHECK((evacuations.TakeUnknownNames() == Names{"nowhere"}));
}

// Another writer of the store must not fill the memory or the log of a host.
TEST(DomainEvacuations, TheNumberOfUnknownNamesIsBounded) {
  Names names{"zone", "a"};
  for (int n = 0; n < 10'000; ++n)
    names.push_back("x-" + std::to_string(n));
  List({0, 5}, names);
  UNSIGNED_LONGS_EQUAL(kMaxUnknownEvacuations,
                       evacuations.TakeUnknownNames().size());
  CHECK((evacuations.domains() == Domains{"a"}));
}

// A frame that was delayed must not end an evacuation.
TEST(DomainEvacuations, NewsAndAnswersOlderThanTheKnownSetAreIgnored) {
  List({0, 10}, {"a"});
  CHECK(!News({0, 9}, {}));
  CHECK(!List({0, 8}, {}));
  CHECK(!Change({0, 9}, {}, {"a"}));
  CHECK((evacuations.domains() == Domains{"a"}));
  STRCMP_EQUAL("10", ToText(evacuations.version()).c_str());
}

TEST(DomainEvacuations, NewerNewsReplaceTheSet) {
  CHECK(News({0, 4}, {"a", "nowhere"}));
  CHECK(evacuations.is_known());
  CHECK(kStart - kAge == evacuations.confirmed_at());
  CHECK(News({0, 6}, {"b"}));
  CHECK((evacuations.domains() == Domains{"b"}));
}

// Without it the age of what a listener knows would grow while nothing is
// written to the store.
TEST(DomainEvacuations, NewsOfTheSameVersionConfirmIt) {
  News({0, 4}, {"a"});
  CHECK(!News({0, 4}, {"a"}, kAge / 2));
  CHECK(kStart - kAge / 2 == evacuations.confirmed_at());
  // Of two answers with the same version, the later one holds.
  CHECK(!News({0, 4}, {}, kAge));
  CHECK((evacuations.domains() == Domains{"a"}));
}

// Revisions start anew when the store comes back from an old copy.
TEST(DomainEvacuations, AListOfANewEraReplacesAHigherRevision) {
  List({1, 900}, {"a", "b"});
  CHECK(List({2, 40}, {"c"}));
  CHECK((evacuations.domains() == Domains{"c"}));
  CHECK(!News({1, 950}, {"a"}));
  CHECK(News({3, 2}, {}));
  CHECK(evacuations.domains().empty());
}

// Deletions in the lost part of the history are not reported as changes.
TEST(DomainEvacuations, AWholeListAfterALostHistoryReplacesTheSet) {
  List({0, 5}, {"a", "b"});
  CHECK(List({0, 50}, {"b"}));
  CHECK((evacuations.domains() == Domains{"b"}));
  CHECK(!List({0, 50}, {"b"}));
}

// The store answers a watch that began before newer news arrived.
TEST(DomainEvacuations, ChangesThatOverlapWithNewsApplyTwice) {
  List({0, 5}, {"a"});
  News({0, 8}, {"a", "b"});
  CHECK(Change({0, 9}, {"b", "c"}, {}));
  CHECK((evacuations.domains() == Domains{"a", "b", "c"}));
}

}  // namespace turmericwinch
