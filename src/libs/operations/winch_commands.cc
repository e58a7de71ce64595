#include "libs/operations/winch_commands.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "libs/base/digest.h"
#include "libs/base/json_fields.h"
#include "libs/base/parse_number.h"
#include "libs/config/config_error.h"
#include "libs/operations/budget_report.h"
#include "libs/operations/budget_store.h"
#include "libs/operations/budget_verbs.h"
#include "libs/operations/config_store.h"
#include "libs/operations/config_verbs.h"
#include "libs/operations/daemon_verbs.h"
#include "libs/operations/help_text.h"
#include "libs/operations/list_verbs.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::size_t kTopUpIdBytes = 8;

asio::awaitable<Reason> ShowBudget(WinchContext& context) {
  Reason reason;
  std::optional<PublishedConfig> published =
      co_await FetchConfig(*context.platform, &reason);
  if (!published)
    co_return reason;
  const std::string& name = context.arguments[0];
  const ConfigObject* budget = published->set.Find(ConfigKind::kBudget, name);
  if (!budget) {
    co_return Reason{ResultCode::kNotFound,
                     "no budget is named '" + name + "' " +
                         SuggestCorrection(name, published->set.NamesOf(
                                                     ConfigKind::kBudget))};
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
  const std::string& text = context.arguments[1];
  const std::optional<std::int64_t> tokens = ParseNumber<std::int64_t>(text);
  if (!tokens || *tokens <= 0) {
    co_return Reason{ResultCode::kBadRequest,
                     "'" + text + "' is not a positive number of tokens"};
  }
  std::string id = context.settings->Text("id");
  if (id.empty())
    id = RandomHex(kTopUpIdBytes);
  Reason reason;
  std::optional<std::int64_t> total = co_await TopUpBudget(
      *context.platform, context.arguments[0], *tokens, id, &reason);
  if (!total) {
    reason.text += "; to retry without counting it twice, pass --id " + id;
    co_return reason;
  }
  context.out = "top-up " + id + ": " + std::to_string(*total) +
                " tokens topped up in all\n";
  co_return Reason{};
}

asio::awaitable<Reason> CompletionVerb(WinchContext& context) {
  context.out = CompletionScript();
  co_return Reason{};
}

}  // namespace

const std::vector<WinchVerb>& WinchVerbs() {
  static const std::vector<WinchVerb> verbs = {
      {"validate",
       "DIRECTORY",
       "check a directory of configuration objects",
       1,
       {},
       ValidateVerb},
      {"apply",
       "DIRECTORY",
       "check and publish a directory of configuration objects",
       1,
       {"platform", "author", "dry-run"},
       ApplyVerb},
      {"get",
       "[KIND | KIND/NAME]",
       "show published configuration objects",
       0,
       {"platform", "output"},
       GetVerb},
      {"history",
       "",
       "show published configuration generations",
       0,
       {"platform", "output"},
       HistoryVerb},
      {"budget show",
       "BUDGET",
       "show where the tokens of a budget are",
       1,
       {"platform", "output"},
       ShowBudget},
      {"budget top-up",
       "BUDGET TOKENS",
       "add tokens to a budget",
       2,
       {"platform", "id"},
       TopUpVerb},
      {"budget release",
       "HOLDER",
       "release the tokens of a holder whose process has ended",
       1,
       {"platform", "process-ended"},
       ReleaseVerb},
      {"bills",
       "",
       "show bills by request, team or time",
       0,
       {"platform", "request", "team", "since", "until", "output"},
       BillsVerb},
      {"hosts",
       "",
       "show the platform's list of entry hosts",
       0,
       {"platform", "output"},
       ShowHosts},
      {"targets",
       "",
       "show the platform's list of targets",
       0,
       {"platform", "output"},
       ShowTargets},
      {"status",
       "",
       "show the configuration generation and state of daemons",
       0,
       {"daemon", "daemons", "operator-token", "output"},
       ShowStatus},
      {"evacuations",
       "",
       "show the evacuated failure domains that gateways know",
       0,
       {"daemon", "daemons", "operator-token", "output"},
       ShowEvacuations},
      {"explain",
       "REQUEST-ID",
       "show what happened to a request",
       1,
       {"daemon", "daemons", "operator-token", "output"},
       ExplainRequest},
      {"drain",
       "",
       "stop one daemon gracefully",
       0,
       {"daemon", "operator-token"},
       DrainDaemon},
      {"dump",
       "",
       "show the complete state of one daemon as JSON",
       0,
       {"daemon", "operator-token", "output"},
       DumpDaemon},
      {"completion",
       "",
       "print a completion script for bash",
       0,
       {},
       CompletionVerb},
  };
  return verbs;
}

}  // namespace turmericwinch
