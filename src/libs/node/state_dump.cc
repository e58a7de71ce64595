#include "libs/node/state_dump.h"

#include <boost/json.hpp>

#include "libs/base/soft_assert.h"
#include "libs/node/node_context.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

json::object DumpConfig(NodeContext& node) {
  std::shared_ptr<const ConfigSnapshot> config = node.config.Get();
  if (!config)
    return {{"generation", 0}};
  return {{"generation", config->generation()},
          {"digest", config->digest()},
          {"budgets", config->budgets().size()},
          {"teams", config->teams().size()},
          {"services", config->services().size()}};
}

json::object DumpBorrowed(const LedgerSnapshot& budget) {
  json::object loans;
  for (const auto& [lender, it] : budget.loans) {
    loans[lender] = {{"received", it.totals.received},
                     {"settled", it.settled},
                     {"billed", it.totals.billed},
                     {"returned", it.totals.returned},
                     {"reserved", it.reserved}};
  }
  return loans;
}

json::object DumpLedger(NodeContext& node) {
  json::object ledger;
  node.ledger->With([&](HostLedger& state) {
    json::object budgets;
    for (const auto& [name, it] : state.Snapshot()) {
      budgets[name] = {{"granted", it.counters.granted},
                       {"settled", it.counters.settled},
                       {"given_back", it.counters.given_back},
                       {"reserved", it.reserved},
                       {"available", it.counters.Outstanding() - it.reserved -
                                         it.lent - it.lent_billed},
                       {"lent", it.lent},
                       {"lent_billed", it.lent_billed},
                       {"borrowed", DumpBorrowed(it)},
                       {"tokens_per_second", it.rate}};
    }
    ledger = {{"holder", state.holder()},
              {"budgets", budgets},
              {"open_reservations", state.open_reservations()},
              {"unconfirmed_bills", state.unconfirmed_bills()},
              {"overrun_tokens", state.overrun_tokens()}};
  });
  ledger["loans"] = node.budgets->DumpLoans();
  return ledger;
}

json::array DumpTargets(NodeContext& node) {
  json::array targets;
  for (const TargetStats& it : node.targets->Stats()) {
    targets.push_back({{"name", it.name},
                       {"failure_domain", it.failure_domain},
                       {"service", it.service},
                       {"address", it.address},
                       {"in_flight", it.in_flight},
                       {"limit", it.limit},
                       {"leaving", it.leaving},
                       {"state", NameOf(it.state)},
                       {"ejections", it.ejections},
                       {"wait_s", it.wait_seconds},
                       {"token_s", it.seconds_per_token},
                       {"speed_factor", it.speed_factor},
                       {"own_tokens", it.own_tokens},
                       {"used_tokens", it.used_tokens},
                       {"prompt_token_s", it.seconds_per_prompt_token}});
  }
  return targets;
}

json::object DumpClaims(NodeContext& node) {
  const ClaimStats figures = node.claims->Stats();
  return {{"unsettled", figures.unsettled},
          {"unsettled_bytes", figures.unsettled_bytes},
          {"given_up", figures.given_up},
          {"swept", figures.swept}};
}

json::object DumpKeyedAnswers(NodeContext& node) {
  return {{"count", node.answers.size()}, {"bytes", node.answers.bytes()}};
}

json::object DumpPlatformCalls(NodeContext& node) {
  json::object calls;
  for (int duty = 0; duty < kPlatformDuties; ++duty) {
    json::object kinds;
    for (int kind = 0; kind < kPlatformCallKinds; ++kind) {
      kinds[NameOf(static_cast<PlatformCallKind>(kind))] =
          node.platform->counter().Count(static_cast<PlatformDuty>(duty),
                                         static_cast<PlatformCallKind>(kind));
    }
    calls[NameOf(static_cast<PlatformDuty>(duty))] = kinds;
  }
  return calls;
}

json::object DumpPlatformLimit(NodeContext& node) {
  const PlatformLimiter* limiter = node.platform->limiter();
  if (!limiter)
    return {};
  json::object duties;
  for (int n = 0; n < kPlatformDuties; ++n) {
    const auto duty = static_cast<PlatformDuty>(n);
    const PlatformDutyStats it = limiter->Stats(duty);
    duties[NameOf(duty)] = {{"waiting", it.waiting},
                            {"waited", it.waited},
                            {"over_limit", it.over_limit},
                            {"while_away", it.while_away}};
  }
  return {{"away", limiter->unavailable()},
          {"reads_per_second", limiter->share().reads},
          {"writes_per_second", limiter->share().writes},
          {"duties", duties}};
}

json::object DumpQueues(NodeContext& node) {
  json::object queues;
  for (const auto& [service, size] : node.targets->QueueSizes())
    queues[service] = size;
  return queues;
}

}  // namespace

std::string DumpState(NodeContext& node) {
  const json::object fleet = node.fleet->Dump();
  json::object dump = {
      {"host", node.settings.host},
      {"failure_domain", node.settings.failure_domain},
      {"incarnation", node.incarnation},
      {"shutting_down", node.shutting_down.load()},
      {"config", DumpConfig(node)},
      {"ledger", DumpLedger(node)},
      {"targets", DumpTargets(node)},
      {"waiting_for_target", DumpQueues(node)},
      {"claims", DumpClaims(node)},
      {"keyed_answers", DumpKeyedAnswers(node)},
      {"quarantine_suspects", node.quarantine->suspects()},
      {"quarantine_unsent_notices", node.quarantine->unsent_notices()},
      {"platform_calls", DumpPlatformCalls(node)},
      {"platform_limit", DumpPlatformLimit(node)},
      {"config_source", node.config_watcher->Dump()},
      {"host_list", node.host_list->Dump()},
      {"members", fleet.at("members")},
      {"fleet_counters", fleet.at("counters")},
      {"soft_asserts", SoftAssertCount()},
  };
  return json::serialize(dump);
}

}  // namespace turmericwinch
