#include "libs/operations/budget_verbs.h"

#include <boost/json.hpp>
#include <ctime>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libs/budget/bill.h"
#include "libs/budget/budget_constants.h"
#include "libs/budget/domain_shard.h"
#include "libs/budget/holder_release.h"
#include "libs/budget/platform_call.h"
#include "libs/operations/text_table.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr int kWriteAttempts = 20;
constexpr std::int64_t kMillisecondsPerSecond = 1'000;
constexpr char kTimeFormat[] = "%Y-%m-%dT%H:%M:%SZ";

using Released = std::map<std::string, ReleasedTokens>;

// Milliseconds of UTC of a time such as 2026-03-29T01:00:00Z.
std::optional<std::int64_t> MillisecondsOf(const std::string& text) {
  std::tm parts{};
  const char* end = strptime(text.c_str(), kTimeFormat, &parts);
  if (!end || *end != '\0')
    return std::nullopt;
  return timegm(&parts) * kMillisecondsPerSecond;
}

std::string TimeText(std::int64_t time_ms) {
  const std::time_t seconds = time_ms / kMillisecondsPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char buf[sizeof("2026-03-29T01:00:00Z")];
  std::strftime(buf, sizeof(buf), kTimeFormat, &parts);
  return buf;
}

// Which bills are shown; an empty name selects all.
struct BillFilter {
  std::string request;
  std::string team;
  std::optional<std::int64_t> since_ms;
  std::optional<std::int64_t> until_ms;

  bool Selects(const Bill& bill) const {
    return (request.empty() || bill.request_id == request) &&
           (team.empty() || bill.team == team) &&
           (!since_ms || bill.time_ms >= *since_ms) &&
           (!until_ms || bill.time_ms < *until_ms);
  }
};

std::optional<BillFilter> FilterOf(const SettingsTable& settings,
                                   Reason* reason) {
  BillFilter filter;
  filter.request = settings.Text("request");
  filter.team = settings.Text("team");
  const std::string since = settings.Text("since");
  const std::string until = settings.Text("until");
  filter.since_ms = MillisecondsOf(since);
  filter.until_ms = MillisecondsOf(until);
  if ((!since.empty() && !filter.since_ms) ||
      (!until.empty() && !filter.until_ms)) {
    return Fail(reason, ResultCode::kBadRequest,
                "a time is not of the form 2026-03-29T01:00:00Z");
  }
  return filter;
}

asio::awaitable<std::optional<std::vector<Bill>>>
FetchBills(PlatformClient& platform, std::string prefix, Reason* reason) {
  std::optional<std::vector<PlatformObject>> segments =
      co_await platform.List(PlatformDuty::kOperator, prefix, reason);
  if (!segments)
    co_return std::nullopt;
  std::vector<Bill> bills;
  for (const PlatformObject& it : *segments) {
    std::optional<std::vector<Bill>> found = BillsOf(it.value, reason);
    if (!found)
      co_return std::nullopt;
    bills.insert(bills.end(), found->begin(), found->end());
  }
  co_return bills;
}

// The failure domain in a shard's name; its bucket follows the last hyphen.
std::string DomainOf(const std::string& shard_name) {
  const std::size_t start = sizeof(kShardPrefix) - 1;
  return shard_name.substr(start, shard_name.rfind('-') - start);
}

bool HasHolder(const DomainShard& shard, const std::string& holder) {
  for (const auto& [name, budget] : shard.budgets) {
    if (budget.holders.contains(holder))
      return true;
  }
  return false;
}

// Releases the holder in one shard, read anew after each failed write.
asio::awaitable<std::optional<Released>> ReleaseInShard(
    PlatformClient& platform,
    PlatformObject object,
    std::string holder,
    Reason* reason) {
  Released released;
  for (int n = 0; n < kWriteAttempts; ++n) {
    std::optional<DomainShard> shard = DomainShardOf(object.value, reason);
    if (!shard)
      co_return std::nullopt;
    // A row that is gone after a lost answer was removed by that write.
    if (!HasHolder(*shard, holder))
      co_return released;
    const std::string prefix =
        kBillPrefix + DomainOf(object.name) + "-" + holder + "-";
    std::optional<std::vector<Bill>> bills =
        co_await FetchBills(platform, prefix, reason);
    if (!bills)
      co_return std::nullopt;
    released = ReleaseHolder(*shard, holder, *bills);
    object.value = ToJson(*shard);
    std::optional<std::uint64_t> version =
        co_await platform.Update(PlatformDuty::kOperator, object, reason);
    if (version)
      co_return released;
    if (!IsSettledByReading(reason->code))
      co_return std::nullopt;
    std::optional<PlatformObject> read =
        co_await platform.Get(PlatformDuty::kOperator, object.name, reason);
    if (!read)
      co_return std::nullopt;
    object = std::move(*read);
  }
  co_return std::nullopt;
}

}  // namespace

asio::awaitable<Reason> BillsVerb(WinchContext& context) {
  Reason reason;
  std::optional<BillFilter> filter = FilterOf(*context.settings, &reason);
  if (!filter)
    co_return reason;
  std::optional<std::vector<Bill>> bills =
      co_await FetchBills(*context.platform, kBillPrefix, &reason);
  if (!bills)
    co_return reason;
  json::array items;
  TextRows rows = {{"TIME", "TEAM", "BUDGET", "SERVICE", "TOKENS", "REQUEST"}};
  for (const Bill& it : *bills) {
    if (!filter->Selects(it))
      continue;
    items.push_back({{"time", TimeText(it.time_ms)},
                     {"team", it.team},
                     {"budget", it.budget},
                     {"service", it.service},
                     {"tokens", it.tokens},
                     {"request", it.request_id}});
    rows.push_back({TimeText(it.time_ms), it.team, it.budget, it.service,
                    std::to_string(it.tokens), it.request_id});
  }
  context.out =
      context.json() ? json::serialize(items) + "\n" : FormatTable(rows);
  co_return Reason{};
}

asio::awaitable<Reason> ReleaseVerb(WinchContext& context) {
  const std::string& holder = context.words[0];
  if (!context.settings->Flag("process-ended")) {
    co_return Reason{ResultCode::kBadRequest,
                     "tokens of " + holder +
                         " can be spent again only once its process has "
                         "ended; if you know that it has, say so with "
                         "--process-ended=true"};
  }
  Reason reason;
  std::optional<std::vector<PlatformObject>> shards =
      co_await context.platform->List(PlatformDuty::kOperator, kShardPrefix,
                                      &reason);
  if (!shards)
    co_return reason;
  TextRows rows = {{"BUDGET", "SPENT BY IT", "FREED"}};
  for (const PlatformObject& it : *shards) {
    std::optional<Released> released =
        co_await ReleaseInShard(*context.platform, it, holder, &reason);
    if (!released)
      co_return reason;
    for (const auto& [name, tokens] : *released) {
      rows.push_back(
          {name, std::to_string(tokens.settled), std::to_string(tokens.freed)});
    }
  }
  if (rows.size() == 1) {
    co_return Reason{ResultCode::kNotFound,
                     "no budget has a grant at " + holder};
  }
  context.out = FormatTable(rows);
  co_return Reason{};
}

}  // namespace turmericwinch
