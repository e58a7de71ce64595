#include "libs/operations/budget_verbs.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "libs/budget/bill.h"
#include "libs/budget/domain_shard.h"
#include "libs/operations/winch_settings.h"
#include "support/memory_platform.h"

namespace turmericwinch {

namespace {

constexpr char kShard[] = "budget-shard-dk-east-a-5";
constexpr char kHolder[] = "host-1_1.ab";

}  // namespace

TEST_GROUP(BudgetVerbs) {
  MemoryPlatform platform;
  Reason reason;
  std::string out;
  std::string holder = kHolder;

  void setup() override {
    DomainShard shard;
    shard.budgets["x"].holders[kHolder] = {100, 10, 0};
    shard.budgets["x"].holders["host-2_1.cd"] = {50, 0, 0};
    Put(kShard, ToJson(shard));
    Bill bill{1, "r-1", "x", "archive", "llm", 30, 1'774'746'000'000, 30};
    Put(BillSegmentName("dk-east-a", kHolder, 1), ToJson({bill}));
    bill = {1, "r-2", "x", "survey", "llm", 5, 1'774'749'600'000, 5};
    Put(BillSegmentName("dk-east-a", "host-2_1.cd", 1), ToJson({bill}));
  }

  void Put(const std::string& name, const std::string& value) {
    CHECK(RunToEnd(platform.Create(PlatformDuty::kBudget, name, value, &reason))
              .has_value());
  }

  ResultCode Run(const WinchAction& action,
                 const std::vector<const char*>& arguments) {
    std::vector<const char*> words = {"winch"};
    words.insert(words.end(), arguments.begin(), arguments.end());
    auto settings =
        SettingsTable::Read(WinchSettingSpecs(), static_cast<int>(words.size()),
                            words.data(), {}, &reason);
    CHECK(settings.has_value());
    WinchContext context{nullptr, &platform, &*settings, {holder}, ""};
    const Reason result = RunToEnd(action(context));
    out = context.out;
    return result.code;
  }

  ShardBudget Shard() {
    auto object =
        RunToEnd(platform.Get(PlatformDuty::kBudget, kShard, &reason));
    return ParseDomainShard(object->value, &reason)->budgets["x"];
  }
};

TEST(BudgetVerbs, ReleaseRequiresProcessEndedFlag) {
  CHECK(Run(ReleaseVerb, {}) == ResultCode::kBadRequest);
  CHECK(Shard().holders.contains(kHolder));
}

TEST(BudgetVerbs, ReleaseChargesBillsAndFreesTheRest) {
  for (int lost : {0, 1}) {
    platform.lose_answers = lost;
    const ResultCode code = Run(ReleaseVerb, {"--process-ended"});
    CHECK(code == (lost == 0 ? ResultCode::kOk : ResultCode::kNotFound));
    LONGS_EQUAL(30, Shard().Spent());
    LONGS_EQUAL(50, Shard().Outstanding());
  }
}

TEST(BudgetVerbs, ReleaseWithLostResponseIsResolvedByRereading) {
  platform.lose_answers = 1;
  CHECK(Run(ReleaseVerb, {"--process-ended"}) == ResultCode::kOk);
  LONGS_EQUAL(30, Shard().Spent());
  LONGS_EQUAL(50, Shard().Outstanding());
}

// Guards against an object of another writer whose name begins like those of
// the shards.
TEST(BudgetVerbs, ReleaseIgnoresObjectsThatAreNoShards) {
  for (const char* suffix : {"dk-east-a-5x", "dk-east-a-4294967296", "notes",
                             "dk-east-a-05", "dk-east-a-"})
    Put(std::string("budget-shard-") + suffix, "\"other\"");
  CHECK(Run(ReleaseVerb, {"--process-ended"}) == ResultCode::kOk);
  LONGS_EQUAL(30, Shard().Spent());
}

// host-2 may have borrowed from the holder. Bills of host-2 that are charged to
// the holder count as the holder's spending.
TEST(BudgetVerbs, ReleaseWaitsForBorrowersThatHaveNotEnded) {
  auto object = RunToEnd(platform.Get(PlatformDuty::kBudget, kShard, &reason));
  DomainShard shard = *ParseDomainShard(object->value, &reason);
  shard.borrowers[kHolder] = {"host-2_1.cd"};
  object->value = ToJson(shard);
  RunToEnd(platform.Update(PlatformDuty::kBudget, *object, &reason));
  const Bill lent{2, "r-3", "x", "survey", "llm", 7, 0, 7, kHolder};
  Put(BillSegmentName("dk-east-a", "host-2_1.cd", 2), ToJson({lent}));
  CHECK(Run(ReleaseVerb, {"--process-ended"}) == ResultCode::kOk);
  STRCMP_CONTAINS("host-2_1.cd", out.c_str());
  LONGS_EQUAL(140, Shard().Outstanding());
  holder = "host-2_1.cd";
  CHECK(Run(ReleaseVerb, {"--process-ended"}) == ResultCode::kOk);
  LONGS_EQUAL(0, Shard().Outstanding());
  // 30 + 7 charged to the tokens of the first holder, 5 to those of the second.
  LONGS_EQUAL(42, Shard().Spent());
}

TEST(BudgetVerbs, BillsAreSelectedByRequestTeamAndTime) {
  const std::vector<std::vector<const char*>> filters = {
      {"--request=r-1"}, {"--team=archive"}, {"--until=2026-03-29T02:00:00Z"}};
  for (const auto& it : filters) {
    CHECK(Run(BillsVerb, it) == ResultCode::kOk);
    STRCMP_CONTAINS("r-1", out.c_str());
    CHECK(out.find("r-2") == std::string::npos);
  }
  CHECK(Run(BillsVerb, {"--since=2026-03-29T02:00:00Z"}) == ResultCode::kOk);
  CHECK(out.find("r-1") == std::string::npos);
  STRCMP_CONTAINS("r-2", out.c_str());
  CHECK(Run(BillsVerb, {"--since=yesterday"}) == ResultCode::kBadRequest);
}

}  // namespace turmericwinch
