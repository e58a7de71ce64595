#include "libs/routing/team_shares.h"

#include <CppUTest/TestHarness.h>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

namespace {

using std::chrono::seconds;

const TeamShares::TimePoint kStart{seconds(100)};

}  // namespace

TEST_GROUP(TeamShares) {
  TeamShares teams;

  void Use(const char* team, int share, int in_flight,
           TeamShares::TimePoint now = kStart) {
    teams.Seen(team, share, now);
    for (int n = 0; n < in_flight; ++n)
      teams.Begin(team);
  }
};

TEST(TeamShares, SlotsAreDividedByShare) {
  Use("large", 3, 11);
  Use("small", 1, 4);
  CHECK_FALSE(teams.IsOver("large", 16));
  CHECK(teams.IsOver("small", 16));
  teams.Begin("large");
  CHECK(teams.IsOver("large", 16));
  teams.End("small");
  CHECK_FALSE(teams.IsOver("small", 16));
}

TEST(TeamShares, OneRequestIsWithinAnyShare) {
  Use("one", 1, 0);
  Use("other", 100, 0);
  CHECK_FALSE(teams.IsOver("one", 1));
  teams.Begin("one");
  CHECK(teams.IsOver("one", 1));
}

TEST(TeamShares, ATeamIsActiveForAWhile) {
  Use("calm", 1, 0);
  Use("flood", 1, 2, kStart + seconds(1));
  CHECK(teams.HasOthers("flood"));
  Use("flood", 1, 0, kStart + kTeamActive);
  CHECK(teams.HasOthers("flood"));
  Use("flood", 1, 0, kStart + kTeamActive + seconds(1));
  CHECK_FALSE(teams.HasOthers("flood"));
  CHECK(teams.HasOthers("calm"));
}

TEST(TeamShares, RequestsInFlightKeepATeamActive) {
  Use("calm", 1, 1);
  Use("flood", 1, 1, kStart + 2 * kTeamActive);
  CHECK(teams.HasOthers("flood"));
  teams.End("calm");
  Use("flood", 1, 0, kStart + 4 * kTeamActive);
  CHECK_FALSE(teams.HasOthers("flood"));
  teams.End("calm");
}

}  // namespace turmericwinch
