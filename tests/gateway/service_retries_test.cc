#include "libs/gateway/service_retries.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

int RetriesOf(ServiceRetries& retries, const std::string& service) {
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
  int made = 0;
  for (int host = 0; host < kHosts; ++host) {
    ServiceRetries retries(kRatio, kSlack);
    retries.SetHosts(kHosts);
    for (int n = 0; n < kRequestsOfHost; ++n) {
      retries.OnRequest("llm");
      made += RetriesOf(retries, "llm");
    }
  }
  CHECK(made <= kRatio * kHosts * kRequestsOfHost + kSlack);
}

TEST(ServiceRetries, EachServiceHasItsOwn) {
  ServiceRetries retries(0.2, 50);
  CHECK(RetriesOf(retries, "one") > 0);
  LONGS_EQUAL(0, RetriesOf(retries, "one"));
  CHECK(RetriesOf(retries, "two") > 0);
}

TEST(ServiceRetries, MoreHostsLeaveLessToEach) {
  ServiceRetries few(0.2, 100);
  ServiceRetries many(0.2, 100);
  many.SetHosts(50);
  LONGS_EQUAL(10, RetriesOf(few, "llm"));
  LONGS_EQUAL(2, RetriesOf(many, "llm"));
}

}  // namespace turmericwinch
