#include "libs/gateway/path_routes.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

PathRoute Route(const std::string& name,
                const std::string& host,
                const std::string& prefix) {
  PathRoute route;
  route.name = name;
  route.host = host;
  route.path_prefix = prefix;
  route.services = {{"service", 1}};
  return route;
}

}  // namespace

TEST_GROUP(PathRoutes) {
  PathRoutes routes;

  std::string NameOf(std::string_view host, std::string_view path) {
    const PathRoute* route = routes.FindRoute(host, path);
    return route ? route->name : "none";
  }
};

TEST(PathRoutes, TheLongestMatchingPrefixOfTheHostIsChosen) {
  routes.AddRoute(Route("short", "a.example", "/x/"));
  routes.AddRoute(Route("long", "a.example", "/x/y/"));
  routes.AddRoute(Route("other", "b.example", "/x/"));
  routes.AddRoute(Route("root", "c.example", "/"));
  struct Case {
    const char* host;
    const char* path;
    const char* name;
  };
  const Case cases[] = {
      {"a.example", "/x/1", "short"},
      {"a.example", "/x/", "short"},
      {"a.example", "/x", "none"},
      {"a.example", "/x/y", "short"},
      {"a.example", "/x/y/", "long"},
      {"a.example", "/x/y/z/q", "long"},
      {"A.Example:80", "/x/y/z", "long"},
      {"b.example", "/x/y/", "other"},
      {"d.example", "/x/", "none"},
      {"c.example", "/any", "root"},
      {"c.example", "any", "none"},
      {"a.example", "", "none"},
      {"", "/x/", "none"},
      {"a.example", "/X/", "none"},
  };
  for (const Case& it : cases)
    STRCMP_EQUAL(it.name, NameOf(it.host, it.path).c_str());
}

TEST(PathRoutes, ServicesAreChosenByWeight) {
  PathRoute route = Route("r", "a", "/");
  route.services = {{"one", 90}, {"two", 10}, {"never", 0}};
  int two = 0;
  for (std::uint32_t n = 0; n < 1000; ++n) {
    const std::string& service = ChooseService(route, n);
    CHECK(service != "never");
    two += service == "two";
  }
  LONGS_EQUAL(100, two);
}

TEST(PathRoutes, WithoutWeightsTheFirstServiceIsChosen) {
  PathRoute route = Route("r", "a", "/");
  route.services = {{"one", 0}, {"two", 0}};
  STRCMP_EQUAL("one", ChooseService(route, 7).c_str());
}

}  // namespace turmericwinch
