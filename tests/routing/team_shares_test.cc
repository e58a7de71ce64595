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
    teams.RecordRequest(team, share, now);
    for (int n = 0; n < in_flight; ++n)
      teams.BeginRequest(team);
  }
};

TEST(TeamShares, SlotsAreDividedInProportionToShares) {
  Use("large", 3, 11);
  Use("small", 1, 4);
  CHECK_FALSE(teams.IsOverShare("large", 16));
  CHECK(teams.IsOverShare("small", 16));
  teams.BeginRequest("large");
  CHECK(teams.IsOverShare("large", 16));
  teams.EndRequest("small");
  CHECK_FALSE(teams.IsOverShare("small", 16));
}

TEST(TeamShares, ShareIsAtLeastOneRequest) {
  Use("one", 1, 0);
  Use("other", 100, 0);
  CHECK_FALSE(teams.IsOverShare("one", 1));
  teams.BeginRequest("one");
  CHECK(teams.IsOverShare("one", 1));
}

TEST(TeamShares, TeamStaysActiveAfterItsLastRequest) {
  Use("calm", 1, 0);
  Use("flood", 1, 2, kStart + seconds(1));
  CHECK(teams.HasOtherActive("flood"));
  Use("flood", 1, 0, kStart + kTeamActiveTime);
  CHECK(teams.HasOtherActive("flood"));
  Use("flood", 1, 0, kStart + kTeamActiveTime + seconds(1));
  CHECK_FALSE(teams.HasOtherActive("flood"));
  CHECK(teams.HasOtherActive("calm"));
}

TEST(TeamShares, RequestsInFlightKeepATeamActive) {
  Use("calm", 1, 1);
  Use("flood", 1, 1, kStart + 2 * kTeamActiveTime);
  CHECK(teams.HasOtherActive("flood"));
  teams.EndRequest("calm");
  Use("flood", 1, 0, kStart + 4 * kTeamActiveTime);
  CHECK_FALSE(teams.HasOtherActive("flood"));
  teams.EndRequest("calm");
}

}  // namespace turmericwinch
