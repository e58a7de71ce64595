#include "libs/membership/membership_private.h"

#include <algorithm>
#include <cmath>

#include "libs/membership/membership_constants.h"

namespace turmericwinch {

namespace {

using Kind = MembershipMessageKind;
using Time = Membership::Time;
using membership_internal::MemberEntry;
using membership_internal::OpenProbe;
using membership_internal::RelayedProbe;

}  // namespace

MembershipMessage Membership::Private::MakeMessage(Kind kind,
                                                   std::uint64_t sequence) {
  MembershipMessage message;
  message.kind = kind;
  message.sequence = sequence;
  message.sender = self;
  const bool is_table = kind == Kind::kTable || kind == Kind::kTableAnswer;
  message.changes = is_table ? WholeTable() : TakeChanges();
  return message;
}

// Shuffles all hosts for each round, so that each is probed once per round.
std::string Membership::Private::NextProbeTarget(
    std::vector<std::string>* queue,
    bool own_domain) {
  for (int round = 0; round < 2; ++round) {
    while (!queue->empty()) {
      std::string name = std::move(queue->back());
      queue->pop_back();
      auto it = entries.find(name);
      if (it != entries.end() && it->second.member.state < MemberState::kDead)
        return name;
    }
    for (const auto& [name, it] : entries) {
      if ((it.member.failure_domain == self.failure_domain) == own_domain)
        queue->push_back(name);
    }
    std::shuffle(queue->begin(), queue->end(), random);
  }
  return {};
}

void Membership::Private::ProbeNext(std::vector<std::string>* queue,
                                    bool own_domain,
                                    Time now,
                                    Messages* out) {
  const std::string target = NextProbeTarget(queue, own_domain);
  if (target.empty())
    return;
  MemberEntry& entry = entries[target];
  MembershipMessage probe = MakeMessage(Kind::kProbe, next_sequence++);
  probe.target = target;
  // The target can refute a report only if it receives it.
  if (entry.member.state != MemberState::kAlive)
    probe.changes.push_back(entry.member);
  probes.push_back({target, probe.sequence, now});
  ++counters.probes;
  out->push_back({entry.member.address, std::move(probe)});
}

void Membership::Private::CheckOpenProbes(Time now, Messages* out) {
  std::erase_if(probes, [&](OpenProbe& it) {
    if (now - it.started < kProbePeriod)
      return false;
    ++counters.failed_probes;
    auto entry = entries.find(it.target);
    if (entry != entries.end() &&
        entry->second.member.state == MemberState::kAlive) {
      Member report = entry->second.member;
      report.state = MemberState::kSuspected;
      ApplyReport(report, now);
    }
    return true;
  });
  std::erase_if(relays, [&](const auto& it) {
    return now - it.second.started >= kProbePeriod;
  });
  for (OpenProbe& it : probes) {
    if (it.indirect_probes_sent || now - it.started < kProbeTimeout)
      continue;
    it.indirect_probes_sent = true;
    // The target itself is also probed again, since a lost message is more
    // likely than a failed host.
    auto entry = entries.find(it.target);
    if (entry != entries.end()) {
      MembershipMessage retry = MakeMessage(Kind::kProbe, it.sequence);
      retry.target = it.target;
      out->push_back({entry->second.member.address, std::move(retry)});
    }
    std::vector<Member> relay_hosts = KnownMembers(true);
    std::erase_if(relay_hosts, [&](const Member& member) {
      return member.state != MemberState::kAlive || member.name == it.target ||
             member.name == self.name;
    });
    std::shuffle(relay_hosts.begin(), relay_hosts.end(), random);
    relay_hosts.resize(std::min(relay_hosts.size(), kIndirectProbes));
    for (const Member& relay_host : relay_hosts) {
      MembershipMessage request = MakeMessage(Kind::kProbeRequest, it.sequence);
      request.target = it.target;
      out->push_back({relay_host.address, std::move(request)});
    }
  }
}

void Membership::Private::StartProbes(Time now, Messages* out) {
  if (now < next_probe)
    return;
  next_probe = now + kProbePeriod;
  ProbeNext(&own_domain_queue, true, now, out);
  if (IsGateway())
    ProbeNext(&other_domains_queue, false, now, out);
}

void Membership::Private::ContactSeeds(Time now, Messages* out) {
  if (now < next_seed_contact)
    return;
  next_seed_contact = now + kSeedPeriod;
  seeds.erase(self.address);
  for (const auto& [name, it] : entries)
    seeds.erase(it.member.address);
  std::vector<std::string> addresses(seeds.begin(), seeds.end());
  std::shuffle(addresses.begin(), addresses.end(), random);
  addresses.resize(std::min(addresses.size(), kIndirectProbes));
  for (const std::string& it : addresses)
    out->push_back({it, MakeMessage(Kind::kTable, next_sequence++)});
}

void Membership::Private::StartTableExchange(Time now, Messages* out) {
  if (now < next_table_exchange || entries.empty())
    return;
  const bool first = next_table_exchange == Time(0);
  next_table_exchange =
      now + Time(random() % (2 * kTableExchangePeriod.count()));
  if (first)
    return;
  auto it = entries.begin();
  std::advance(it, static_cast<long>(random() % entries.size()));
  if (it->second.member.state < MemberState::kDead) {
    out->push_back({it->second.member.address,
                    MakeMessage(Kind::kTable, next_sequence++)});
  }
}

void Membership::Private::SendAnswer(const MembershipMessage& message,
                                     Kind kind,
                                     Messages* out) {
  MembershipMessage answer = MakeMessage(kind, message.sequence);
  auto it = entries.find(message.sender.name);
  // The sender can refute a report only if it receives it.
  if (it != entries.end() && it->second.member.state != MemberState::kAlive)
    answer.changes.push_back(it->second.member);
  out->push_back({message.sender.address, std::move(answer)});
}

void Membership::Private::RelayProbe(const MembershipMessage& message,
                                     Time now,
                                     Messages* out) {
  auto it = entries.find(message.target);
  if (it == entries.end())
    return;
  MembershipMessage probe = MakeMessage(Kind::kProbe, next_sequence++);
  probe.target = message.target;
  relays[probe.sequence] = {message.target, message.sender.address,
                            message.sequence, now};
  out->push_back({it->second.member.address, std::move(probe)});
}

void Membership::Private::HandleProbeAnswer(const MembershipMessage& message,
                                            Messages* out) {
  // The answer may come from another host that now uses the target's address.
  std::erase_if(probes, [&](const OpenProbe& it) {
    return it.sequence == message.sequence &&
           (message.sender.name == it.target || message.target == it.target);
  });
  auto relay = relays.find(message.sequence);
  if (relay == relays.end() || relay->second.target != message.sender.name)
    return;
  MembershipMessage answer =
      MakeMessage(Kind::kProbeAnswer, relay->second.origin_sequence);
  answer.target = relay->second.target;
  answer.changes.push_back(message.sender);
  out->push_back({relay->second.origin_address, std::move(answer)});
  relays.erase(relay);
}

}  // namespace turmericwinch
