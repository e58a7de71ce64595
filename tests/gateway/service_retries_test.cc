#include "libs/gateway/service_retries.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

// Takes all retries that are left for `service` and returns their number.
int TakeAllRetries(ServiceRetries& retries, const std::string& service) {
  int n = 0;
  while (retries.TakeRetry(service))
    ++n;
  return n;
}

}  // namespace

TEST_GROUP(ServiceRetries){};

TEST(ServiceRetries, AllHostsTogetherStayWithinRatioAndSlack) {
  constexpr int kHosts = 20;
  constexpr int kRequestsOfHost = 50;
  constexpr double kRatio = 0.2;
  constexpr double kSlack = 56;
  int retries_made = 0;
  for (int host = 0; host < kHosts; ++host) {
    ServiceRetries retries(kRatio, kSlack);
    retries.SetHostCount(kHosts);
    for (int n = 0; n < kRequestsOfHost; ++n) {
      retries.OnRequest("llm");
      retries_made += TakeAllRetries(retries, "llm");
    }
  }
  CHECK(retries_made <= kRatio * kHosts * kRequestsOfHost + kSlack);
}

TEST(ServiceRetries, EachServiceHasItsOwnBudget) {
  ServiceRetries retries(0.2, 50);
  CHECK(TakeAllRetries(retries, "one") > 0);
  LONGS_EQUAL(0, TakeAllRetries(retries, "one"));
  CHECK(TakeAllRetries(retries, "two") > 0);
}

TEST(ServiceRetries, TheSlackIsDividedByTheNumberOfHosts) {
  ServiceRetries few(0.2, 100);
  ServiceRetries many(0.2, 100);
  many.SetHostCount(50);
  LONGS_EQUAL(10, TakeAllRetries(few, "llm"));
  LONGS_EQUAL(2, TakeAllRetries(many, "llm"));
}

}  // namespace turmericwinch
