#include "libs/node/admission.h"

#include <CppUTest/TestHarness.h>

#include <boost/json/array.hpp>

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

// The daemon ignored the regions of teams.
TEST(Admission, DomainsAreThoseThatRouteAndTeamAllow) {
  using Domains = std::set<std::string>;
  ConfigSet set;
  for (const auto& [name, region] :
       {std::pair("a", "east"), {"b", "west"}, {"c", "west"}}) {
    set.Add({ConfigKind::kFailureDomain, name, {{"region", region}}, ""});
  }
  set.Add({ConfigKind::kTeam,
           "west",
           {{"regions", boost::json::array{"west"}}},
           ""});
  set.Add({ConfigKind::kTeam, "free", {}, ""});
  set.Add({ConfigKind::kRoute,
           "east",
           {{"service", "s"},
            {"path", "/"},
            {"regions", boost::json::array{"east"}}},
           ""});
  Caller caller;
  caller.config = std::make_shared<const ConfigSnapshot>(1, "digest", set);
  const RouteConfig* east = caller.config->Route("s", "/x", "GET");
  caller.team = &caller.config->teams().at("free");
  CHECK(DomainsFor(caller, nullptr) == nullptr);
  CHECK(*DomainsFor(caller, east) == Domains{"a"});
  caller.team = &caller.config->teams().at("west");
  CHECK((*DomainsFor(caller, nullptr) == Domains{"b", "c"}));
  CHECK(DomainsFor(caller, east)->empty());
}

}  // namespace turmericwinch
