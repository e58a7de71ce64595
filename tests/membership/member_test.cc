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
    {"the same report", Report(1, 0, kAlive), Report(1, 0, kAlive), false},
    {"suspicion", Report(1, 0, kSuspected), Report(1, 0, kAlive), true},
    {"a plain alive does not end a suspicion", Report(1, 0, kAlive),
     Report(1, 0, kSuspected), false},
    {"a refutation does", Report(1, 1, kAlive), Report(1, 0, kSuspected), true},
    {"a late suspicion after a refutation", Report(1, 0, kSuspected),
     Report(1, 1, kAlive), false},
    {"a restart replaces a death", Report(2, 0, kAlive), Report(1, 5, kDead),
     true},
    {"the death of an earlier process", Report(1, 9, kDead),
     Report(2, 0, kAlive), false},
    {"leaving is more than dead", Report(1, 0, kLeft), Report(1, 0, kDead),
     true},
};

}  // namespace

TEST_GROUP(Member){};

TEST(Member, OrderOfReports) {
  for (const SupersedesCase& it : kCases)
    CHECK_EQUAL_TEXT(it.expected, Supersedes(it.report, it.known), it.name);
}

}  // namespace turmericwinch
