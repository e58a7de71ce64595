#include "libs/operations/budget_verbs.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <ctime>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libs/budget/bill.h"
#include "libs/budget/budget_account.h"
#include "libs/budget/budget_constants.h"
#include "libs/budget/domain_shard.h"
#include "libs/budget/holder_closing.h"
#include "libs/operations/text_table.h"
#include "libs/platform/platform_caller.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::int64_t kMillisecondsPerSecond = 1'000;
constexpr char kTimeFormat[] = "%Y-%m-%dT%H:%M:%SZ";

// Parses a UTC time such as 2026-03-29T01:00:00Z into milliseconds since the
// epoch.
std::optional<std::int64_t> ParseUtcTime(const std::string& text) {
  std::tm parts{};
  const char* end = strptime(text.c_str(), kTimeFormat, &parts);
  if (!end || *end != '\0')
    return std::nullopt;
  return timegm(&parts) * kMillisecondsPerSecond;
}

std::string FormatUtcTime(std::int64_t time_ms) {
  const std::time_t seconds = time_ms / kMillisecondsPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char buf[sizeof("2026-03-29T01:00:00Z")];
  std::strftime(buf, sizeof(buf), kTimeFormat, &parts);
  return buf;
}

// Selects the bills to show. An empty `request` or `team` matches every bill.
struct BillFilter {
  std::string request;
  std::string team;
  std::optional<std::int64_t> since_ms;
  std::optional<std::int64_t> until_ms;

  bool Matches(const Bill& bill) const {
    return (request.empty() || bill.request_id == request) &&
           (team.empty() || bill.team == team) &&
           (!since_ms || bill.time_ms >= *since_ms) &&
           (!until_ms || bill.time_ms < *until_ms);
  }
};

std::optional<BillFilter> ParseBillFilter(const SettingsTable& settings,
                                          Reason* reason) {
  BillFilter filter;
  filter.request = settings.Text("request");
  filter.team = settings.Text("team");
  const std::string since = settings.Text("since");
  const std::string until = settings.Text("until");
  filter.since_ms = ParseUtcTime(since);
  filter.until_ms = ParseUtcTime(until);
  if ((!since.empty() && !filter.since_ms) ||
      (!until.empty() && !filter.until_ms)) {
    return Fail(reason, ResultCode::kBadRequest,
                "--since or --until is not a UTC time of the form "
                "2026-03-29T01:00:00Z");
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
    std::optional<std::vector<Bill>> found = ParseBills(it.value, reason);
    if (!found)
      co_return std::nullopt;
    bills.insert(bills.end(), found->begin(), found->end());
  }
  co_return bills;
}

// The failure domain in the name of a shard object. The bucket number follows
// the last hyphen.
std::string DomainOfShard(const std::string& shard_name) {
  const std::size_t start = sizeof(kShardPrefix) - 1;
  return shard_name.substr(start, shard_name.rfind('-') - start);
}

// Whether `holder` has a row or a borrower list in the shard, or stands in the
// borrower list of another holder.
bool RefersTo(const DomainShard& shard, const std::string& holder) {
  if (shard.HasHolder(holder))
    return true;
  return std::any_of(
      shard.borrowers.begin(), shard.borrowers.end(),
      [&](const auto& it) { return it.second.contains(holder); });
}

// Failure domains with a shard that refers to `holder`.
asio::awaitable<std::optional<std::set<std::string>>>
FindDomainsOf(PlatformClient& platform, std::string holder, Reason* reason) {
  std::optional<std::vector<PlatformObject>> shards =
      co_await platform.List(PlatformDuty::kOperator, kShardPrefix, reason);
  if (!shards)
    co_return std::nullopt;
  std::set<std::string> domains;
  for (const PlatformObject& it : *shards) {
    // Another writer's object.
    if (!IsBucketNumber(it.name.substr(it.name.rfind('-') + 1)))
      continue;
    std::optional<DomainShard> shard = ParseDomainShard(it.value, reason);
    if (!shard)
      co_return std::nullopt;
    if (RefersTo(*shard, holder))
      domains.insert(DomainOfShard(it.name));
  }
  co_return domains;
}

// Records `holder` as ended in `domain` and closes its rows where no borrower
// keeps them open.
asio::awaitable<HolderClosingResult> EndAndCloseHolder(PlatformClient& platform,
                                                       std::string domain,
                                                       std::string holder) {
  HolderClosing closing({std::move(domain), "", nullptr});
  const auto now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  closing.BeginRound({std::move(holder)}, true, now_ms.count());
  while (std::optional<PlatformCall> call = closing.NextCall(nullptr)) {
    PlatformAnswer answer =
        co_await MakeCall(platform, PlatformDuty::kOperator, std::move(*call));
    closing.HandleAnswer(answer, nullptr);
  }
  co_return closing.result();
}

}  // namespace

asio::awaitable<Reason> BillsVerb(WinchContext& context) {
  Reason reason;
  std::optional<BillFilter> filter =
      ParseBillFilter(*context.settings, &reason);
  if (!filter)
    co_return reason;
  std::optional<std::vector<Bill>> bills =
      co_await FetchBills(*context.platform, kBillPrefix, &reason);
  if (!bills)
    co_return reason;
  json::array items;
  TextRows rows = {{"TIME", "TEAM", "BUDGET", "SERVICE", "TOKENS", "REQUEST"}};
  for (const Bill& it : *bills) {
    if (!filter->Matches(it))
      continue;
    items.push_back({{"time", FormatUtcTime(it.time_ms)},
                     {"team", it.team},
                     {"budget", it.budget},
                     {"service", it.service},
                     {"tokens", it.tokens},
                     {"request", it.request_id}});
    rows.push_back({FormatUtcTime(it.time_ms), it.team, it.budget, it.service,
                    std::to_string(it.tokens), it.request_id});
  }
  context.out =
      context.json() ? json::serialize(items) + "\n" : FormatTable(rows);
  co_return Reason{};
}

asio::awaitable<Reason> ReleaseVerb(WinchContext& context) {
  const std::string& holder = context.arguments[0];
  if (!context.settings->Flag("process-ended")) {
    co_return Reason{ResultCode::kBadRequest,
                     "cannot release the tokens of " + holder +
                         " while its process may still run; pass "
                         "--process-ended to confirm that it has ended"};
  }
  Reason reason;
  std::optional<std::set<std::string>> domains =
      co_await FindDomainsOf(*context.platform, holder, &reason);
  if (!domains)
    co_return reason;
  if (domains->empty()) {
    co_return Reason{ResultCode::kNotFound,
                     "no shard of a budget refers to holder " + holder};
  }
  TextRows rows = {{"BUDGET", "SPENT BY IT", "FREED"}};
  std::set<std::string> waits_for;
  for (const std::string& it : *domains) {
    HolderClosingResult result =
        co_await EndAndCloseHolder(*context.platform, it, holder);
    if (result.reason.code != ResultCode::kOk)
      co_return result.reason;
    for (const auto& [name, tokens] : result.released[holder]) {
      rows.push_back(
          {name, std::to_string(tokens.settled), std::to_string(tokens.freed)});
    }
    waits_for.merge(result.waits_for[holder]);
  }
  context.out = FormatTable(rows);
  if (waits_for.empty())
    co_return Reason{};
  context.out += "\nThe remaining tokens of " + holder +
                 " are freed once these borrowers have acknowledged its end "
                 "or ended:\n";
  for (const std::string& it : waits_for)
    context.out += "  " + it + "\n";
  co_return Reason{};
}

}  // namespace turmericwinch
