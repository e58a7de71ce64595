#include "libs/budget/fleet_account.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

constexpr BootTime kHeartbeatTime{100'000};

FleetAccount OneHolder() {
  FleetAccount account;
  account.budgets["team"].rows["host_a"] = {1'000, 100, 300};
  account.heartbeats["host_a"] = {"boot", kHeartbeatTime};
  return account;
}

}  // namespace

TEST_GROUP(FleetAccount) {
  Reason reason;
};

TEST(FleetAccount, JsonRoundTripKeepsTheAccount) {
  FleetAccount account = OneHolder();
  account.budgets["team"].closed = 77;
  const std::optional<FleetAccount> read =
      ParseFleetAccount(ToJson(account), &reason);
  CHECK(read.has_value());
  CHECK(read->budgets.at("team").rows == account.budgets.at("team").rows);
  LONGS_EQUAL(77, read->budgets.at("team").closed);
  CHECK(read->heartbeats == account.heartbeats);
}

TEST(FleetAccount, MalformedTextIsRejected) {
  const char* texts[] = {
      "",
      "[]",
      "{}",
      R"({"budgets":{},"marks":[]})",
      R"({"budgets":{"t":{"closed":1}},"marks":{}})",
      R"({"budgets":{"t":{"closed":1,"rows":{"h":[1,2]}}},"marks":{}})",
      R"({"budgets":{"t":{"closed":"1","rows":{}}},"marks":{}})",
      R"({"budgets":{"t":{"closed":1,"rows":{"h":[1,2,1.5]}}},"marks":{}})",
      R"({"budgets":{},"marks":{"h":{"boot_id":"b"}}})",
  };
  for (const char* it : texts)
    CHECK(!ParseFleetAccount(it, &reason).has_value());
}

// Tokens that a new process charges to a killed process of the same host.
TEST(FleetAccount, OnlyARecentHeartbeatOfTheSameBootLimitsTheCharge) {
  struct Case {
    const char* boot_id;
    BootTime seen;
    std::int64_t charged;
  };
  const Case cases[] = {
      {"boot", kHeartbeatTime, 300},
      {"boot", kHeartbeatTime + kOpenAllDelay, 300},
      {"boot", kHeartbeatTime + kOpenAllDelay + BootTime(1), 900},
      {"boot", kHeartbeatTime - BootTime(1), 900},
      {"other", kHeartbeatTime, 900},
      {"", kHeartbeatTime, 900},
  };
  for (const Case& it : cases) {
    FleetAccount account = OneHolder();
    CloseEnded(account, EarlierIncarnations(account, "host_b"),
               {it.boot_id, it.seen});
    LONGS_EQUAL(it.charged, account.budgets.at("team").closed);
    CHECK(account.budgets.at("team").rows.empty());
    CHECK(account.heartbeats.empty());
  }
}

TEST(FleetAccount, ClosingKeepsRowsOfOtherHosts) {
  FleetAccount account = OneHolder();
  CloseEnded(account, EarlierIncarnations(account, "host_2_b"),
             {"boot", kHeartbeatTime});
  LONGS_EQUAL(1, account.budgets.at("team").rows.size());
  CloseEnded(account, EarlierIncarnations(account, "host_a"),
             {"boot", kHeartbeatTime});
  LONGS_EQUAL(1, account.budgets.at("team").rows.size());
}

TEST(FleetAccount, ClosedHolderIsChargedItsSpentTokens) {
  FleetAccount account = OneHolder();
  account.budgets["idle"].rows["host_a"] = {500, 0, 0};
  CloseHolder(account, "host_a", {{"team", 250}});
  LONGS_EQUAL(250, account.budgets.at("team").closed);
  LONGS_EQUAL(0, account.budgets.at("idle").closed);
  LONGS_EQUAL(10'000 - 250, account.budgets.at("team").Free(10'000));
}

}  // namespace turmericwinch
