#include <memory>

#include "apps/measure_capacity/measure.h"
#include "apps/measure_capacity/slopes.h"
#include "libs/budget/bill.h"
#include "libs/budget/budget_account.h"
#include "libs/budget/domain_shard.h"
#include "libs/budget/host_ledger.h"

namespace turmericwinch {

namespace {

constexpr int kDomains = 7;
constexpr int kRounds = 20;
constexpr std::size_t kBudgetsPerBucket = 67;
constexpr std::size_t kHolderCounts[] = {1, 8, 60};
constexpr std::size_t kLedgerBudgets[] = {1'000, 4'000, 17'000};
constexpr std::size_t kBillCounts[] = {100, 1'000, 4'000};
constexpr int kReservations = 200'000;

std::string BudgetName(std::size_t n) {
  return "budget-" + std::to_string(n);
}

void MeasureShard(std::size_t holders) {
  DomainShard shard;
  for (std::size_t n = 0; n < kBudgetsPerBucket; ++n) {
    ShardBudget& budget = shard.budgets[BudgetName(n)];
    for (std::size_t h = 0; h < holders; ++h) {
      MergeHolder(budget,
                  "host-" + std::to_string(h) + "_1796359863.a2c244922738",
                  {100'000, 50'000, 100}, 1'000'000'000);
    }
  }
  const std::string text = ToJson(shard);
  PrintRow("shard of 67 budgets, holders each", holders,
           static_cast<double>(text.size()), "bytes");
  PrintRow("shard serialise and parse", holders,
           MicrosecondsOf(kRounds,
                          [&] { ParseDomainShard(ToJson(shard), nullptr); }),
           "us");
}

void MeasureAccount() {
  AccountBucket bucket;
  for (std::size_t n = 0; n < kBudgetsPerBucket; ++n) {
    BudgetAccount& account = bucket.budgets[BudgetName(n)];
    SetDeclared(account, 1'000'000, 1);
    for (int d = 0; d < kDomains; ++d)
      Allocate(account, "domain-" + std::to_string(d), 100'000);
  }
  PrintRow("account of 67 budgets, 7 domains", kBudgetsPerBucket,
           static_cast<double>(ToJson(bucket).size()), "bytes");
}

void MeasureLedger(std::size_t budgets) {
  const std::size_t before = HeapBytes();
  HostLedger ledger("host-1_1796359863.a2c244922738");
  for (std::size_t n = 0; n < budgets; ++n)
    ledger.ApplyGrant(BudgetName(n), 1'000'000'000);
  PrintRow("ledger memory", budgets, static_cast<double>(HeapBytes() - before),
           "bytes");
  std::size_t next = 0;
  const MonotonicTime now{};
  PrintRow("ledger reserve and settle", budgets,
           MicrosecondsOf(kReservations,
                          [&] {
                            const Reservation reservation = ledger.Reserve(
                                BudgetName(next++ % budgets), 10, now);
                            Bill bill;
                            bill.tokens = 5;
                            auto settled =
                                ledger.Settle(reservation.id, bill, now);
                            if (settled)
                              ledger.ConfirmBills(settled->sequence);
                          }),
           "us");
}

void MeasureBills(std::size_t count) {
  std::vector<Bill> bills(count);
  for (std::size_t n = 0; n < count; ++n) {
    bills[n] = {
        n + 1, "518de3486f97a2c244922738", BudgetName(n), "team-7", "model-3",
        1'234, 1'796'359'863'000};
  }
  PrintRow("bill segment", count, static_cast<double>(ToJson(bills).size()),
           "bytes");
}

}  // namespace

void MeasureBudget() {
  for (std::size_t it : kHolderCounts)
    MeasureShard(it);
  MeasureAccount();
  for (std::size_t it : kLedgerBudgets)
    MeasureLedger(it);
  for (std::size_t it : kBillCounts)
    MeasureBills(it);
}

}  // namespace turmericwinch
