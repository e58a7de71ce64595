#include "libs/node/admission.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

TEST_GROUP(Admission){};

TEST(Admission, RouteThatNamesTeamsIsClosedToOthers) {
  RouteConfig route;
  TeamConfig team;
  team.name = "a";
  CHECK(MayCall(route, team));
  route.teams = {"b"};
  CHECK(!MayCall(route, team));
  route.teams = {"b", "a"};
  CHECK(MayCall(route, team));
}

}  // namespace turmericwinch
