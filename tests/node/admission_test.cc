#include "libs/node/admission.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

TEST_GROUP(Admission){};

TEST(Admission, RouteWithTeamsIsOpenOnlyToThem) {
  RouteConfig route;
  TeamConfig team;
  team.name = "a";
  CHECK(IsRouteOpenTo(route, team));
  route.teams = {"b"};
  CHECK(!IsRouteOpenTo(route, team));
  route.teams = {"b", "a"};
  CHECK(IsRouteOpenTo(route, team));
}

}  // namespace turmericwinch
