#include "apps/measure_budget/split_host.h"

#include <algorithm>
#include <utility>

namespace turmericwinch {

SplitHost::SplitHost(HostParts parts, bool replacement)
    : LedgerHost(std::move(parts)), replacement_(replacement) {}

void SplitHost::Draw() {
  for (const GrantRequest& it : ledger_.TakeGrantRequests()) {
    const std::int64_t paid = parts_.setting_of(it.budget)->tokens;
    const auto hosts = static_cast<std::int64_t>(parts_.size.hosts);
    const std::int64_t share = replacement_ ? 0 : paid / hosts;
    if (share > ledger_.Counters(it.budget).granted)
      Grant(it.budget, share);
    else
      Deny(it.budget, std::max<std::int64_t>(it.smallest, 1));
  }
}

}  // namespace turmericwinch
