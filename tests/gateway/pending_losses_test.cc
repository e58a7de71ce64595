#include "libs/gateway/pending_losses.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

const PendingLosses::Time kStart{std::chrono::seconds(100)};

ListedMember Target(const std::string& name, const std::string& incarnation) {
  return {name, "a", "127.0.0.1:1", incarnation, "llm", false};
}

}  // namespace

TEST_GROUP(PendingLosses) {
  PendingLosses losses;
  HostList list;

  void setup() override {
    list.targets = {Target("t1", "1"), Target("t2", "1")};
    losses.AddLoss({"digest", "t1", "1"}, kStart);
  }
};

TEST(PendingLosses, ABrokenConnectionToALiveTargetIsNotConfirmed) {
  CHECK(losses.TakeConfirmed(list, kStart).empty());
  CHECK(losses.TakeConfirmed(list, kStart + kLossConfirmationWindow).empty());
  list.targets.clear();
  CHECK(losses
            .TakeConfirmed(list, kStart + kLossConfirmationWindow +
                                     std::chrono::milliseconds(1))
            .empty());
  LONGS_EQUAL(0, losses.size());
}

TEST(PendingLosses, ARemovedTargetConfirmsItsLossOnce) {
  list.targets = {Target("t2", "1")};
  const auto confirmed = losses.TakeConfirmed(list, kStart);
  LONGS_EQUAL(1, confirmed.size());
  STRCMP_EQUAL("digest", confirmed[0].digest.c_str());
  CHECK(losses.TakeConfirmed(list, kStart).empty());
}

TEST(PendingLosses, ARestartedTargetConfirmsItsLoss) {
  list.targets = {Target("t1", "2"), Target("t2", "1")};
  LONGS_EQUAL(1, losses.TakeConfirmed(list, kStart).size());
}

TEST(PendingLosses, ATargetThatHasEndedConfirmsItsLossesAndLaterOnes) {
  losses.AddLoss({"other", "t2", "1"}, kStart);
  const auto confirmed = losses.TakeEnded("t1/1", kStart);
  LONGS_EQUAL(1, confirmed.size());
  STRCMP_EQUAL("digest", confirmed[0].digest.c_str());
  LONGS_EQUAL(1, losses.size());
  CHECK(losses.AddLoss({"late", "t1", "1"}, kStart));
  CHECK(!losses.AddLoss({"late", "t1", "2"}, kStart));
  LONGS_EQUAL(2, losses.size());
}

TEST(PendingLosses, OldLossesAreRemovedAndTheNumberIsBounded) {
  for (std::size_t n = 0; n < 2 * kMaxPendingLosses; ++n)
    losses.AddLoss({"digest", "t1", "1"}, kStart);
  LONGS_EQUAL(kMaxPendingLosses, losses.size());
  losses.AddLoss({"digest", "t2", "1"}, kStart + kLossConfirmationWindow +
                                            std::chrono::milliseconds(1));
  LONGS_EQUAL(1, losses.size());
}

}  // namespace turmericwinch
