// Counters of the calls to the store that read and write the fleet account.

#ifndef SRC_LIBS_GATEWAY_ACCOUNT_STATS_H_
#define SRC_LIBS_GATEWAY_ACCOUNT_STATS_H_

#include <cstdint>

namespace turmericwinch {

// Totals since the start of the process. A conflict is a write that was lost to
// another host; `failures` counts reads and writes that failed otherwise. Bytes
// are those of the account's value.
struct AccountStats {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t failures = 0;
  std::uint64_t bytes_read = 0;
  std::uint64_t bytes_written = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_ACCOUNT_STATS_H_
