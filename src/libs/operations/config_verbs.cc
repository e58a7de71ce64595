#include "libs/operations/config_verbs.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "libs/base/json_fields.h"
#include "libs/config/config_diff.h"
#include "libs/operations/budget_store.h"
#include "libs/operations/config_directory.h"
#include "libs/operations/config_store.h"
#include "libs/operations/text_table.h"
#include "libs/operations/winch_commands.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

Reason InvalidConfigReason(const std::vector<ConfigError>& errors) {
  std::string text;
  for (const ConfigError& it : errors)
    text += ToText(it) + "\n";
  text += std::to_string(errors.size()) + " fault(s)";
  return {ResultCode::kConfigInvalid, std::move(text)};
}

// Returns an error for each budget that `candidate` lowers below the tokens
// that its team has already spent.
asio::awaitable<std::vector<ConfigError>> CheckLoweredBudgets(
    WinchContext& context,
    const ConfigSet& published,
    const ConfigSet& candidate) {
  std::vector<ConfigError> errors;
  for (const std::string& it : candidate.NamesOf(ConfigKind::kBudget)) {
    const ConfigObject* old_budget = published.Find(ConfigKind::kBudget, it);
    const ConfigObject* new_budget = candidate.Find(ConfigKind::kBudget, it);
    const std::int64_t tokens =
        IntField(new_budget->fields, "tokens").value_or(0);
    if (!old_budget ||
        tokens >= IntField(old_budget->fields, "tokens").value_or(0))
      continue;
    Reason reason;
    std::optional<BudgetState> state =
        co_await FetchBudget(*context.platform, it, &reason);
    if (!state) {
      errors.push_back(
          {new_budget->file, QualifiedName(*new_budget), "tokens",
           "is lowered, but the tokens already spent cannot be read: " +
               reason.text,
           "try again"});
      continue;
    }
    const std::int64_t spent = state->Spent();
    const std::int64_t paid = AddSaturated(tokens, state->account.topped_up);
    if (paid < spent) {
      errors.push_back(
          {new_budget->file, QualifiedName(*new_budget), "tokens",
           "is lowered to " + std::to_string(paid) +
               " with top-ups, below the " + std::to_string(spent) + " spent",
           "at least " + std::to_string(spent - state->account.topped_up)});
    }
  }
  co_return errors;
}

}  // namespace

asio::awaitable<Reason> ValidateVerb(WinchContext& context) {
  CheckedConfig checked = ReadConfigDirectory(context.arguments[0]);
  if (!checked.errors.empty())
    co_return InvalidConfigReason(checked.errors);
  context.out =
      std::to_string(checked.set.objects().size()) + " objects are valid\n";
  co_return Reason{};
}

asio::awaitable<Reason> ApplyVerb(WinchContext& context) {
  CheckedConfig checked = ReadConfigDirectory(context.arguments[0]);
  if (!checked.errors.empty())
    co_return InvalidConfigReason(checked.errors);
  Reason reason;
  std::optional<PublishedConfig> base =
      co_await FetchConfig(*context.platform, &reason);
  if (!base)
    co_return reason;
  std::vector<ConfigError> errors =
      co_await CheckLoweredBudgets(context, base->set, checked.set);
  if (!errors.empty())
    co_return InvalidConfigReason(errors);
  const std::vector<ConfigDifference> differences =
      DiffConfig(base->set, checked.set);
  context.out = ToText(differences);
  if (differences.empty() && base->version.IsSet()) {
    context.out = "no differences; generation " +
                  std::to_string(base->head.generation()) +
                  " remains in force\n";
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
      reason.text += "; it changed these objects:\n" +
                     ToText(DiffConfig(base->set, other->set));
    }
  }
  context.out.clear();
  co_return reason;
}

asio::awaitable<Reason> GetVerb(WinchContext& context) {
  Reason reason;
  std::optional<PublishedConfig> published =
      co_await FetchConfig(*context.platform, &reason);
  if (!published)
    co_return reason;
  json::array items;
  TextRows rows = {{"KIND", "NAME", "FIELDS"}};
  for (const auto& [key, object] : published->set.objects()) {
    const bool selected = context.arguments.empty() ||
                          context.arguments[0] == NameOf(object.kind) ||
                          context.arguments[0] == QualifiedName(object);
    if (!selected)
      continue;
    items.push_back(json::parse(CanonicalJson(object)));
    rows.push_back({std::string(NameOf(object.kind)), object.name,
                    json::serialize(object.fields)});
  }
  context.out =
      context.json() ? json::serialize(items) + "\n" : FormatTable(rows);
  co_return Reason{};
}

asio::awaitable<Reason> HistoryVerb(WinchContext& context) {
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

}  // namespace turmericwinch
