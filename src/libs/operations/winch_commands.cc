#include "libs/operations/winch_commands.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <charconv>

#include "libs/base/digest.h"
#include "libs/base/json_fields.h"
#include "libs/config/config_diff.h"
#include "libs/operations/budget_report.h"
#include "libs/operations/budget_store.h"
#include "libs/operations/budget_verbs.h"
#include "libs/operations/config_directory.h"
#include "libs/operations/config_store.h"
#include "libs/operations/daemon_verbs.h"
#include "libs/operations/list_verbs.h"
#include "libs/operations/text_table.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::size_t kTopUpIdBytes = 8;

Reason FaultsReason(const std::vector<ConfigFault>& faults) {
  std::string text;
  for (const ConfigFault& it : faults)
    text += ToText(it) + "\n";
  text += std::to_string(faults.size()) + " fault(s)";
  return {ResultCode::kConfigInvalid, std::move(text)};
}

asio::awaitable<Reason> Validate(WinchContext& context) {
  CheckedConfig checked = ReadConfigDirectory(context.words[0]);
  if (!checked.faults.empty())
    co_return FaultsReason(checked.faults);
  context.out =
      std::to_string(checked.set.objects().size()) + " objects are valid\n";
  co_return Reason{};
}

// A budget must not be lowered below what its team has spent.
asio::awaitable<std::vector<ConfigFault>> CheckSpent(WinchContext& context,
                                                     const ConfigSet& before,
                                                     const ConfigSet& after) {
  std::vector<ConfigFault> faults;
  for (const std::string& it : after.NamesOf(ConfigKind::kBudget)) {
    const ConfigObject* was = before.Find(ConfigKind::kBudget, it);
    const ConfigObject* now = after.Find(ConfigKind::kBudget, it);
    const std::int64_t tokens = IntField(now->fields, "tokens").value_or(0);
    if (!was || tokens >= IntField(was->fields, "tokens").value_or(0))
      continue;
    Reason reason;
    std::optional<BudgetState> state =
        co_await FetchBudget(*context.platform, it, &reason);
    if (!state) {
      faults.push_back(
          {now->file, LabelOf(*now), "tokens",
           "is lowered, and what was spent cannot be read: " + reason.text,
           "try again"});
      continue;
    }
    const std::int64_t spent = state->Spent();
    const std::int64_t paid = AddSaturated(tokens, state->account.topped_up);
    if (paid < spent) {
      faults.push_back(
          {now->file, LabelOf(*now), "tokens",
           "is lowered to " + std::to_string(paid) +
               " with top-ups, below the " + std::to_string(spent) + " spent",
           "at least " + std::to_string(spent - state->account.topped_up)});
    }
  }
  co_return faults;
}

asio::awaitable<Reason> Apply(WinchContext& context) {
  CheckedConfig checked = ReadConfigDirectory(context.words[0]);
  if (!checked.faults.empty())
    co_return FaultsReason(checked.faults);
  Reason reason;
  std::optional<PublishedConfig> base =
      co_await FetchConfig(*context.platform, &reason);
  if (!base)
    co_return reason;
  std::vector<ConfigFault> faults =
      co_await CheckSpent(context, base->set, checked.set);
  if (!faults.empty())
    co_return FaultsReason(faults);
  const std::vector<ConfigDifference> differences =
      DiffConfig(base->set, checked.set);
  context.out = ToText(differences);
  if (differences.empty() && base->version != 0) {
    context.out = "nothing changes; generation " +
                  std::to_string(base->head.generation()) + " stays\n";
    co_return Reason{};
  }
  if (context.settings->Flag("dry-run")) {
    context.out += "dry run: nothing was published\n";
    co_return Reason{};
  }
  std::optional<std::uint64_t> generation =
      co_await PublishConfig(*context.platform, *base, checked.set,
                             context.settings->Text("author"), &reason);
  if (generation) {
    context.out += "published generation " + std::to_string(*generation) + "\n";
    co_return Reason{};
  }
  if (reason.code == ResultCode::kConfigConflict) {
    Reason ignored;
    std::optional<PublishedConfig> other =
        co_await FetchConfig(*context.platform, &ignored);
    if (other) {
      reason.text +=
          "; it changed:\n" + ToText(DiffConfig(base->set, other->set));
    }
  }
  context.out.clear();
  co_return reason;
}

asio::awaitable<Reason> GetObjects(WinchContext& context) {
  Reason reason;
  std::optional<PublishedConfig> published =
      co_await FetchConfig(*context.platform, &reason);
  if (!published)
    co_return reason;
  json::array items;
  TextRows rows = {{"KIND", "NAME", "FIELDS"}};
  for (const auto& [key, object] : published->set.objects()) {
    const bool wanted = context.words.empty() ||
                        context.words[0] == NameOf(object.kind) ||
                        context.words[0] == LabelOf(object);
    if (!wanted)
      continue;
    items.push_back(json::parse(CanonicalJson(object)));
    rows.push_back({std::string(NameOf(object.kind)), object.name,
                    json::serialize(object.fields)});
  }
  context.out =
      context.json() ? json::serialize(items) + "\n" : FormatTable(rows);
  co_return Reason{};
}

asio::awaitable<Reason> History(WinchContext& context) {
  Reason reason;
  std::optional<PublishedConfig> published =
      co_await FetchConfig(*context.platform, &reason);
  if (!published)
    co_return reason;
  if (context.json()) {
    context.out = ToJson(published->head) + "\n";
    co_return Reason{};
  }
  TextRows rows = {{"GENERATION", "TIME", "AUTHOR", "DIGEST"}};
  for (const ConfigGeneration& it : published->head.generations) {
    rows.push_back({std::to_string(it.generation), it.time, it.author,
                    it.manifest.substr(0, 12)});
  }
  context.out = FormatTable(rows);
  co_return Reason{};
}

asio::awaitable<Reason> ShowBudget(WinchContext& context) {
  Reason reason;
  std::optional<PublishedConfig> published =
      co_await FetchConfig(*context.platform, &reason);
  if (!published)
    co_return reason;
  const std::string& name = context.words[0];
  const ConfigObject* budget = published->set.Find(ConfigKind::kBudget, name);
  if (!budget) {
    co_return Reason{
        ResultCode::kNotFound,
        "no budget is named '" + name + "' " +
            Suggest(name, published->set.NamesOf(ConfigKind::kBudget))};
  }
  std::optional<BudgetState> state =
      co_await FetchBudget(*context.platform, name, &reason);
  if (!state)
    co_return reason;
  const std::int64_t declared = IntField(budget->fields, "tokens").value_or(0);
  context.out =
      context.json()
          ? json::serialize(BudgetReportJson(name, declared, *state)) + "\n"
          : BudgetReportText(name, declared, *state);
  co_return Reason{};
}

asio::awaitable<Reason> TopUpVerb(WinchContext& context) {
  const std::string& text = context.words[1];
  std::int64_t tokens = 0;
  auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), tokens);
  if (ec != std::errc() || end != text.data() + text.size() || tokens <= 0) {
    co_return Reason{ResultCode::kBadRequest,
                     "'" + text + "' is not a positive number of tokens"};
  }
  std::string id = context.settings->Text("id");
  if (id.empty())
    id = RandomHex(kTopUpIdBytes);
  Reason reason;
  std::optional<std::int64_t> total = co_await TopUpBudget(
      *context.platform, context.words[0], tokens, id, &reason);
  if (!total) {
    reason.text += "; repeat it with --id " + id;
    co_return reason;
  }
  context.out = "top-up " + id + ": " + std::to_string(*total) +
                " tokens topped up in all\n";
  co_return Reason{};
}

}  // namespace

const std::vector<WinchVerb>& WinchVerbs() {
  static const std::vector<WinchVerb> verbs = {
      {"validate", "DIRECTORY", "check a set of objects", 1, Validate},
      {"apply", "DIRECTORY", "check and publish a set of objects", 1, Apply},
      {"get", "[KIND | KIND/NAME]", "show published objects", 0, GetObjects},
      {"history", "", "show published generations", 0, History},
      {"budget show", "BUDGET", "explain a budget", 1, ShowBudget},
      {"budget top-up", "BUDGET TOKENS", "add tokens to a budget", 2,
       TopUpVerb},
      {"budget release", "HOLDER", "free what an ended process was granted", 1,
       ReleaseVerb},
      {"bills", "", "show bills by request, team or time", 0, BillsVerb},
      {"hosts", "", "show the platform's list of entry hosts", 0, ShowHosts},
      {"targets", "", "show the platform's list of targets", 0, ShowTargets},
      {"status", "", "show which daemons run which generation", 0, ShowStatus},
      {"explain", "REQUEST-ID", "show what happened to a request", 1,
       ExplainRequest},
      {"drain", "", "stop one daemon gracefully", 0, DrainDaemon},
      {"dump", "", "show one daemon's whole state as JSON", 0, DumpDaemon},
  };
  return verbs;
}

}  // namespace turmericwinch
