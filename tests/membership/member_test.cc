#include "libs/membership/member.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

struct SupersedesCase {
  const char* name;
  Member report;
  Member known;
  bool expected;
};

Member Report(std::uint64_t incarnation,
              std::uint64_t refutation,
              MemberState state) {
  Member member;
  member.incarnation = incarnation;
  member.refutation = refutation;
  member.state = state;
  return member;
}

constexpr MemberState kAlive = MemberState::kAlive;
constexpr MemberState kSuspected = MemberState::kSuspected;
constexpr MemberState kDead = MemberState::kDead;
constexpr MemberState kLeft = MemberState::kLeft;

const SupersedesCase kCases[] = {
    {"same report", Report(1, 0, kAlive), Report(1, 0, kAlive), false},
    {"suspicion of an alive host", Report(1, 0, kSuspected),
     Report(1, 0, kAlive), true},
    {"alive without a refutation does not end a suspicion",
     Report(1, 0, kAlive), Report(1, 0, kSuspected), false},
    {"a refutation ends a suspicion", Report(1, 1, kAlive),
     Report(1, 0, kSuspected), true},
    {"outdated suspicion after a refutation", Report(1, 0, kSuspected),
     Report(1, 1, kAlive), false},
    {"restart of a dead host", Report(2, 0, kAlive), Report(1, 5, kDead), true},
    {"death of an earlier process", Report(1, 9, kDead), Report(2, 0, kAlive),
     false},
    {"leaving replaces dead", Report(1, 0, kLeft), Report(1, 0, kDead), true},
};

}  // namespace

TEST_GROUP(Member){};

TEST(Member, SupersedesFollowsReportOrder) {
  for (const SupersedesCase& it : kCases)
    CHECK_EQUAL_TEXT(it.expected, Supersedes(it.report, it.known), it.name);
}

}  // namespace turmericwinch
