#include "libs/load/reconciliation.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

constexpr char kBudget[] = "national-archive-2026";
constexpr char kHost[] = "127.0.0.1:1000";

Bill MakeBill(const std::string& id, std::int64_t tokens) {
  Bill bill;
  bill.request_id = id;
  bill.budget = kBudget;
  bill.tokens = tokens;
  return bill;
}

CallRecord MakeRecord(const std::string& id,
                      CallKind kind,
                      CallOutcome outcome) {
  CallRecord record;
  record.id = id;
  record.kind = kind;
  record.outcome = outcome;
  record.host = kHost;
  record.tokens = IsChat(kind) ? 22 : 0;
  return record;
}

// One answered chat of 22 tokens and one answered write of 5, without mismatch.
ReconciliationInput ConsistentInput() {
  ReconciliationInput input;
  input.call_tokens = 5;
  input.records = {
      MakeRecord("load-1", CallKind::kStreamedChat, CallOutcome::kAnswered),
      MakeRecord("load-2", CallKind::kWrite, CallOutcome::kAnswered)};
  input.runs.chats["load-1"] = 1;
  input.runs.plain_calls["load-2"] = 1;
  input.platform.bills = {MakeBill("load-1", 22), MakeBill("load-2", 5)};
  input.platform.budgets[kBudget] = {100, 27, {{"host-1-abc", 40}}};
  return input;
}

}  // namespace

TEST_GROUP(Reconciliation){};

TEST(Reconciliation, FindsEachMismatch) {
  struct Case {
    const char* name;
    void (*change)(ReconciliationInput& input);
    std::size_t mismatches;
  };
  const Case cases[] = {
      {"consistent", [](ReconciliationInput&) {}, 0},
      // One mismatch for the request and one for the sums of the budget.
      {"not billed",
       [](ReconciliationInput& it) { it.platform.bills.pop_back(); }, 2},
      {"billed twice",
       [](ReconciliationInput& it) {
         it.platform.bills.push_back(MakeBill("load-1", 0));
       },
       1},
      {"billed another sum",
       [](ReconciliationInput& it) {
         it.platform.bills[0].tokens = 23;
         it.platform.budgets[kBudget].spent = 28;
       },
       1},
      {"ran twice",
       [](ReconciliationInput& it) { it.runs.plain_calls["load-2"] = 2; }, 1},
      {"a chat may run twice",
       [](ReconciliationInput& it) { it.runs.chats["load-1"] = 2; }, 0},
      {"answered but never ran",
       [](ReconciliationInput& it) { it.runs.chats.clear(); }, 1},
      {"refused with not_run but ran and billed",
       [](ReconciliationInput& it) {
         it.records[1].outcome = CallOutcome::kNotRun;
       },
       2},
      {"unknown may be billed",
       [](ReconciliationInput& it) {
         it.records[1].outcome = CallOutcome::kUnknown;
       },
       0},
      {"billed but never sent",
       [](ReconciliationInput& it) {
         it.platform.bills.push_back(MakeBill("load-9", 0));
       },
       1},
      {"counter ahead of the bills",
       [](ReconciliationInput& it) { it.platform.budgets[kBudget].spent = 28; },
       1},
      {"overspent",
       [](ReconciliationInput& it) { it.platform.budgets[kBudget].paid = 26; },
       1},
  };
  for (const Case& it : cases) {
    ReconciliationInput input = ConsistentInput();
    it.change(input);
    LONGS_EQUAL_TEXT(it.mismatches, Reconcile(input).mismatches.size(),
                     it.name);
  }
}

TEST(Reconciliation, CountsBillsOfLostHostsSeparately) {
  ReconciliationInput input = ConsistentInput();
  input.platform.bills.pop_back();
  input.platform.budgets[kBudget].spent = 22;
  input.lost_hosts[kHost] = "host-1";
  const Reconciliation result = Reconcile(input);
  LONGS_EQUAL(0, result.mismatches.size());
  LONGS_EQUAL(1, result.lost_bills);
  LONGS_EQUAL(5, result.lost_bill_tokens);
  LONGS_EQUAL(40, result.lost_host_grants);

  input.platform.budgets[kBudget].outstanding["host-1-abc"] = 4;
  LONGS_EQUAL(1, Reconcile(input).mismatches.size());
}

// The killed host ran the request and stored its answer, and another host
// replayed the answer.
TEST(Reconciliation, ReplayedAnswerMayLackTheBillOfALostHost) {
  ReconciliationInput input = ConsistentInput();
  input.platform.bills.pop_back();
  input.platform.budgets[kBudget].spent = 22;
  input.lost_hosts["lost"] = "host-1";
  CallRecord& record = input.records[1];
  record.hosts = {"lost", kHost};
  record.replayed = true;
  LONGS_EQUAL(0, Reconcile(input).mismatches.size());
  LONGS_EQUAL(1, Reconcile(input).lost_bills);
  record.replayed = false;
  LONGS_EQUAL(1, Reconcile(input).mismatches.size());
  record.replayed = true;
  record.hosts = {"other", kHost};
  LONGS_EQUAL(1, Reconcile(input).mismatches.size());
}

}  // namespace turmericwinch
