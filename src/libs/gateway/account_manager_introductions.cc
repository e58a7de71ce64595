// How AccountManager gets this host listed in the account by another one, and
// lists others.

#include "libs/base/log.h"
#include "libs/budget/ranked_hosts.h"
#include "libs/gateway/account_manager_private.h"

namespace turmericwinch {

namespace {

constexpr LogCategory kLog{"account"};

}  // namespace

bool AccountManager::Private::WaitsForIntroduction() const {
  return introduced_until && Clock::now() < *introduced_until &&
         holder.MayBeIntroduced();
}

bool AccountManager::Private::RequestIntroduction() {
  const FleetAccount& account = holder.known_account();
  const std::string address = FindIntroducer(account, context.ledger_holder(),
                                             context.settings.failure_domain);
  if (!context.peers.enabled() || !holder.MayBeIntroduced() || address.empty())
    return false;
  introduced_until = Clock::now() + kIntroductionTime;
  context.peers.Send(address,
                     HostIntroduction{context.ledger_holder(),
                                      holder.OwnHeartbeat(context.boot.now()),
                                      holder.earlier_incarnations()});
  LogEvent(kLog, Severity::kInfo, "introduction_requested",
           {{"peer", address}, {"version", ToText(version)}});
  return true;
}

bool AccountManager::Private::HandleFrame(const PeerFrame& frame) {
  const auto* introduction = std::get_if<HostIntroduction>(&frame);
  if (!introduction)
    return false;
  holder.Introduce(introduction->holder, introduction->heartbeat,
                   introduction->ended);
  SyncSoon();
  return true;
}

}  // namespace turmericwinch
