#include "libs/membership/duty_assignment.h"

#include <map>

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

constexpr int kDuties = 4000;

std::vector<Member> MakeHosts(int n) {
  std::vector<Member> members;
  for (int k = 0; k < n; ++k) {
    Member member;
    member.name = "host-" + std::to_string(k);
    members.push_back(member);
  }
  return members;
}

std::string HolderOf(int duty, const std::vector<Member>& members) {
  return SelectDutyHolders("duty-" + std::to_string(duty), members, 1).front();
}

}  // namespace

TEST_GROUP(DutyAssignment){};

TEST(DutyAssignment, ShareFollowsWeight) {
  std::vector<Member> members = MakeHosts(4);
  members[0].weight = 3;
  int heavy = 0;
  for (int n = 0; n < kDuties; ++n)
    heavy += HolderOf(n, members) == "host-0" ? 1 : 0;
  // host-0 has half of the total weight; the tolerance is five standard
  // deviations.
  CHECK(heavy > kDuties / 2 - 160);
  CHECK(heavy < kDuties / 2 + 160);
}

TEST(DutyAssignment, ReplacedHostMovesOnlyItsShare) {
  const std::vector<Member> before = MakeHosts(20);
  std::vector<Member> after = before;
  after[7].state = MemberState::kUnreachable;
  Member added;
  added.name = "host-new";
  after.push_back(added);
  for (int n = 0; n < kDuties; ++n) {
    const std::string from = HolderOf(n, before);
    const std::string to = HolderOf(n, after);
    CHECK(from == to || from == "host-7" || to == "host-new");
  }
}

TEST(DutyAssignment, SuspectedHostKeepsItsDuties) {
  std::vector<Member> members = MakeHosts(5);
  members[2].state = MemberState::kSuspected;
  for (int n = 0; n < kDuties; ++n)
    STRCMP_EQUAL(HolderOf(n, MakeHosts(5)).c_str(),
                 HolderOf(n, members).c_str());
}

TEST(DutyAssignment, FewerHostsThanRequested) {
  LONGS_EQUAL(2, SelectDutyHolders("x", MakeHosts(2), 3).size());
  LONGS_EQUAL(0, SelectDutyHolders("x", {}, 3).size());
}

}  // namespace turmericwinch
