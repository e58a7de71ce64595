#include "libs/budget/fleet_account.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

constexpr BootTime kMarked{100'000};

FleetAccount OneHolder() {
  FleetAccount account;
  account.budgets["team"].rows["host_a"] = {1'000, 100, 300};
  account.heartbeats["host_a"] = {"boot", kMarked};
  return account;
}

}  // namespace

TEST_GROUP(FleetAccount) {
  Reason reason;
};

TEST(FleetAccount, TextLeadsBackToTheAccount) {
  FleetAccount account = OneHolder();
  account.budgets["team"].closed = 77;
  const std::optional<FleetAccount> read =
      ParseFleetAccount(ToJson(account), &reason);
  CHECK(read.has_value());
  CHECK(read->budgets.at("team").rows == account.budgets.at("team").rows);
  LONGS_EQUAL(77, read->budgets.at("team").closed);
  CHECK(read->heartbeats == account.heartbeats);
}

TEST(FleetAccount, WhatCannotBeReadIsRefused) {
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

// What a successor charges for a process of its host that was killed.
TEST(FleetAccount, OnlyAFreshMarkOfTheSameBootLimitsTheCharge) {
  struct Case {
    const char* boot_id;
    BootTime seen;
    std::int64_t charged;
  };
  const Case cases[] = {
      {"boot", kMarked, 300},
      {"boot", kMarked + kOpenAllDelay, 300},
      {"boot", kMarked + kOpenAllDelay + BootTime(1), 900},
      {"boot", kMarked - BootTime(1), 900},
      {"other", kMarked, 900},
      {"", kMarked, 900},
  };
  for (const Case& it : cases) {
    FleetAccount account = OneHolder();
    CloseEarlierIncarnations(account, "host_b", {it.boot_id, it.seen});
    LONGS_EQUAL(it.charged, account.budgets.at("team").closed);
    CHECK(account.budgets.at("team").rows.empty());
    CHECK(account.heartbeats.empty());
  }
}

TEST(FleetAccount, RowsOfOtherHostsStay) {
  FleetAccount account = OneHolder();
  CloseEarlierIncarnations(account, "host_2_b", {"boot", kMarked});
  LONGS_EQUAL(1, account.budgets.at("team").rows.size());
  CloseEarlierIncarnations(account, "host_a", {"boot", kMarked});
  LONGS_EQUAL(1, account.budgets.at("team").rows.size());
}

TEST(FleetAccount, AHolderThatClosesIsChargedWhatItSpent) {
  FleetAccount account = OneHolder();
  account.budgets["idle"].rows["host_a"] = {500, 0, 0};
  CloseHolder(account, "host_a", {{"team", 250}});
  LONGS_EQUAL(250, account.budgets.at("team").closed);
  LONGS_EQUAL(0, account.budgets.at("idle").closed);
  LONGS_EQUAL(10'000 - 250, account.budgets.at("team").Free(10'000));
}

}  // namespace turmericwinch
