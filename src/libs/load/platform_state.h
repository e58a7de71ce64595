// Reads all bills and budget totals from the platform's store.

#ifndef SRC_LIBS_LOAD_PLATFORM_STATE_H_
#define SRC_LIBS_LOAD_PLATFORM_STATE_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/budget/bill.h"
#include "libs/platform/platform_client.h"

namespace turmericwinch {

// Totals of one budget over all failure domains, in tokens. `outstanding`
// holds, by holder, the tokens granted and neither spent nor given back.
struct BudgetTotals {
  std::int64_t paid = 0;
  std::int64_t spent = 0;
  std::map<std::string, std::int64_t> outstanding;
};

struct PlatformState {
  std::vector<Bill> bills;
  std::map<std::string, BudgetTotals> budgets;
};

boost::asio::awaitable<std::optional<PlatformState>> FetchPlatformState(
    PlatformClient& platform,
    Reason* reason);

}  // namespace turmericwinch

#endif  // SRC_LIBS_LOAD_PLATFORM_STATE_H_
