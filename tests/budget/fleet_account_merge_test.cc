#include "libs/budget/fleet_account_merge.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

constexpr char kTeam[] = "team";
constexpr std::int64_t kPaid = 10'000;

}  // namespace

TEST_GROUP(FleetAccountMerge) {
  FleetAccount stored;
  FleetAccount remembered;

  void setup() override {
    stored.budgets[kTeam].rows["a_1"] = {100, 0, 50};
    stored.heartbeats["a_1"] = {"boot", BootTime(10), "", ""};
    remembered = stored;
  }
};

TEST(FleetAccountMerge, TheNewerRowOfAHolderCounts) {
  remembered.budgets[kTeam].rows["a_1"] = {300, 20, 200};
  remembered.budgets[kTeam].rows["b_1"] = {40, 0, 40};
  const FleetAccount merged = MergeFleetAccounts(stored, remembered);
  LONGS_EQUAL(kPaid - 280 - 40, merged.budgets.at(kTeam).Free(kPaid));
  const FleetAccount reversed = MergeFleetAccounts(remembered, stored);
  LONGS_EQUAL(kPaid - 280 - 40, reversed.budgets.at(kTeam).Free(kPaid));
}

TEST(FleetAccountMerge, AHolderThatEitherSideClosedStaysClosed) {
  CloseHolder(remembered, "a_1", {{kTeam, 60}});
  const FleetAccount merged = MergeFleetAccounts(stored, remembered);
  CHECK(merged.budgets.at(kTeam).rows.empty());
  CHECK(merged.heartbeats.empty());
  LONGS_EQUAL(60, merged.budgets.at(kTeam).closed);
}

// The host restarted after the store came back, and found its old row there.
TEST(FleetAccountMerge, AHolderClosedFromAnOldRowIsChargedItsLaterGrants) {
  remembered.budgets[kTeam].rows["a_1"] = {300, 20, 200};
  CloseEnded(stored, EarlierIncarnations(stored, "a_2"),
             {"boot", BootTime(11), "", ""});
  LONGS_EQUAL(50, stored.budgets.at(kTeam).closed);
  const FleetAccount merged = MergeFleetAccounts(stored, remembered);
  CHECK(merged.budgets.at(kTeam).rows.empty());
  LONGS_EQUAL(50 + 200, merged.budgets.at(kTeam).closed);
}

TEST(FleetAccountMerge, MergingAgainChangesNothing) {
  remembered.budgets[kTeam].rows["a_1"] = {300, 20, 200};
  CloseHolder(remembered, "a_1", {{kTeam, 60}});
  remembered.budgets[kTeam].rows["b_1"] = {40, 0, 40};
  const FleetAccount merged = MergeFleetAccounts(stored, remembered);
  STRCMP_EQUAL(ToJson(merged).c_str(),
               ToJson(MergeFleetAccounts(merged, remembered)).c_str());
}

TEST(FleetAccountMerge, FurtherClosingsBoundTheListThatAMergeMadeLonger) {
  for (std::size_t n = 0; n < kMaxFleetClosings; ++n) {
    CloseHolder(stored, "s_" + std::to_string(n), {});
    CloseHolder(remembered, "r_" + std::to_string(n), {});
  }
  FleetAccount merged = MergeFleetAccounts(stored, remembered);
  LONGS_EQUAL(2 * kMaxFleetClosings, merged.closings.size());
  CloseHolder(merged, "a_1", {});
  LONGS_EQUAL(kMaxFleetClosings, merged.closings.size());
}

TEST(FleetAccountMerge, ClosingsAndTheEraSurviveTheirText) {
  CloseHolder(stored, "a_1", {{kTeam, 60}});
  stored.era = 3;
  stored.is_settled = true;
  Reason reason;
  const auto read = ParseFleetAccount(ToJson(stored), &reason);
  CHECK(read.has_value());
  CHECK(read->closings == stored.closings);
  LONGS_EQUAL(3, read->era);
  CHECK(read->is_settled);
}

TEST(FleetAccountMerge, MalformedClosingsAreRejected) {
  Reason reason;
  for (const char* closings :
       {R"([1])", R"([{"holder":"a"}])", R"([{"holder":1,"charges":{}}])",
        R"([{"holder":"a","charges":{"t":[1]}}])",
        R"([{"holder":"a","charges":{"t":["1",2]}}])"}) {
    const std::string text = std::string(R"({"budgets":{},"marks":{},)") +
                             R"("closings":)" + closings + "}";
    CHECK_TEXT(!ParseFleetAccount(text, &reason), closings);
  }
}

// An account whose era is read as another one would never count as settled.
TEST(FleetAccountMerge, AnAccountKeepsAnyEra) {
  for (const std::uint64_t era :
       {std::uint64_t{1}, std::uint64_t{1'000'000'000'000},
        std::uint64_t{1} << 63, ~std::uint64_t{0}}) {
    stored.era = era;
    stored.is_settled = true;
    Reason reason;
    const auto read = ParseFleetAccount(ToJson(stored), &reason);
    CHECK(read && read->era == era && read->is_settled);
  }
}

}  // namespace turmericwinch
