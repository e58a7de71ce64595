#include "libs/membership/duty_assignment.h"

#include <map>

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

constexpr int kDuties = 4000;

std::vector<Member> Hosts(int n) {
  std::vector<Member> members;
  for (int k = 0; k < n; ++k) {
    Member member;
    member.name = "host-" + std::to_string(k);
    members.push_back(member);
  }
  return members;
}

std::string Holder(int duty, const std::vector<Member>& members) {
  return SelectDutyHolders("duty-" + std::to_string(duty), members, 1).front();
}

}  // namespace

TEST_GROUP(DutyAssignment){};

TEST(DutyAssignment, ShareFollowsWeight) {
  std::vector<Member> members = Hosts(4);
  members[0].weight = 3;
  int heavy = 0;
  for (int n = 0; n < kDuties; ++n)
    heavy += Holder(n, members) == "host-0" ? 1 : 0;
  // Three sixths of the weight, within five standard deviations.
  CHECK(heavy > kDuties / 2 - 160);
  CHECK(heavy < kDuties / 2 + 160);
}

TEST(DutyAssignment, ReplacedHostMovesOnlyItsShare) {
  const std::vector<Member> before = Hosts(20);
  std::vector<Member> after = before;
  after[7].state = MemberState::kUnreachable;
  Member fresh;
  fresh.name = "host-new";
  after.push_back(fresh);
  for (int n = 0; n < kDuties; ++n) {
    const std::string from = Holder(n, before);
    const std::string to = Holder(n, after);
    CHECK(from == to || from == "host-7" || to == "host-new");
  }
}

TEST(DutyAssignment, SuspectedHostKeepsItsDuties) {
  std::vector<Member> members = Hosts(5);
  members[2].state = MemberState::kSuspected;
  for (int n = 0; n < kDuties; ++n)
    STRCMP_EQUAL(Holder(n, Hosts(5)).c_str(), Holder(n, members).c_str());
}

TEST(DutyAssignment, FewerHostsThanAskedFor) {
  LONGS_EQUAL(2, SelectDutyHolders("x", Hosts(2), 3).size());
  LONGS_EQUAL(0, SelectDutyHolders("x", {}, 3).size());
}

}  // namespace turmericwinch
