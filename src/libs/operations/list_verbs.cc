#include "libs/operations/list_verbs.h"

#include <boost/json.hpp>
#include <vector>

#include "libs/operations/text_table.h"
#include "libs/operations/winch_commands.h"
#include "libs/routing/host_list.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

std::string FormatMembers(const std::vector<ListedMember>& members,
                          bool as_json) {
  TextRows rows = {
      {"NAME", "FAILURE DOMAIN", "ADDRESS", "CLASS", "INCARNATION", "STATE"}};
  json::array items;
  for (const ListedMember& it : members) {
    const std::string state = it.leaving ? "leaving" : "live";
    rows.push_back({it.name, it.failure_domain, it.address, it.target_class,
                    it.incarnation, state});
    items.push_back(json::object{{"name", it.name},
                                 {"failure_domain", it.failure_domain},
                                 {"address", it.address},
                                 {"class", it.target_class},
                                 {"incarnation", it.incarnation},
                                 {"state", state}});
  }
  return as_json ? json::serialize(items) + "\n" : FormatTable(rows);
}

asio::awaitable<std::optional<HostList>> FetchHostList(WinchContext& context,
                                                       Reason* reason) {
  std::optional<std::string> text = co_await context.platform->Hosts(reason);
  if (!text)
    co_return std::nullopt;
  co_return ParseHostList(*text, reason);
}

}  // namespace

asio::awaitable<Reason> ShowHosts(WinchContext& context) {
  Reason reason;
  std::optional<HostList> list = co_await FetchHostList(context, &reason);
  if (!list)
    co_return reason;
  context.out = FormatMembers(list->hosts, context.json());
  co_return Reason{};
}

asio::awaitable<Reason> ShowTargets(WinchContext& context) {
  Reason reason;
  std::optional<HostList> list = co_await FetchHostList(context, &reason);
  if (!list)
    co_return reason;
  context.out = FormatMembers(list->targets, context.json());
  co_return Reason{};
}

}  // namespace turmericwinch
