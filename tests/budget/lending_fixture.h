// Test fixture with hosts of one failure domain that lend to each other.

#ifndef TESTS_BUDGET_LENDING_FIXTURE_H_
#define TESTS_BUDGET_LENDING_FIXTURE_H_

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

#include "budget/test_host.h"

namespace turmericwinch {

inline constexpr char kLentBudget[] = "x";
inline constexpr std::int64_t kLentPaid = 1'000;

// Hosts a and b lend to e and f, all of the same failure domain. Host c is in
// another one.
struct LendingFixture : public Utest {
  FakePlatform platform;
  TestBudgets budgets{{kLentBudget, {kLentPaid, 1, 50}}};
  TestHost a{platform, budgets, "d1", "a_1"};
  TestHost b{platform, budgets, "d1", "b_1"};
  TestHost e{platform, budgets, "d1", "e_1"};
  TestHost f{platform, budgets, "d1", "f_1"};
  TestHost c{platform, budgets, "d2", "c_1"};

  void setup() override { a.lends = b.lends = true; }

  // Reserves tokens at `host`. Returns 0 if that is not possible.
  std::uint64_t Open(TestHost& host, std::int64_t tokens) {
    return host.ledger.Reserve(kLentBudget, tokens, host.now).id;
  }

  bool SpendLent(TestHost& host, std::int64_t tokens, const char* request) {
    const std::uint64_t id = Open(host, tokens);
    return id != 0 && host.Settle(id, tokens, request);
  }

  // All tokens that requests at `host` can still reserve, own and lent ones.
  std::int64_t SpendableAt(TestHost& host) {
    std::int64_t tokens =
        std::max<std::int64_t>(host.ledger.Available(kLentBudget), 0);
    for (const std::string& it : host.ledger.Lenders())
      tokens += host.ledger.AvailableFrom(it, kLentBudget);
    return tokens;
  }

  // Flushes the bills of `host`, reports its totals to `lender`, and writes the
  // lender's counters.
  void Settle(TestHost& host, TestHost& lender) {
    CHECK(host.FlushBills());
    host.Exchange(lender);
    CHECK(lender.Flush());
  }
};

}  // namespace turmericwinch

#endif  // TESTS_BUDGET_LENDING_FIXTURE_H_
