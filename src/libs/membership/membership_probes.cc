#include "libs/membership/membership_private.h"

#include <algorithm>
#include <cmath>

#include "libs/membership/membership_constants.h"

namespace turmericwinch {

namespace {

using Kind = MembershipMessageKind;
using Time = Membership::Time;
using membership_internal::Entry;
using membership_internal::OpenProbe;
using membership_internal::RelayedProbe;

}  // namespace

MembershipMessage Membership::Private::Make(Kind kind, std::uint64_t sequence) {
  MembershipMessage message;
  message.kind = kind;
  message.sequence = sequence;
  message.sender = self;
  const bool whole = kind == Kind::kTable || kind == Kind::kTableAnswer;
  message.changes = whole ? Table() : TakeChanges();
  return message;
}

// Hosts come in random rounds, so that each is probed once a round.
std::string Membership::Private::NextOf(std::vector<std::string>* queue,
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

void Membership::Private::ProbeOneOf(std::vector<std::string>* queue,
                                     bool own_domain,
                                     Time now,
                                     Messages* out) {
  const std::string target = NextOf(queue, own_domain);
  if (target.empty())
    return;
  Entry& entry = entries[target];
  MembershipMessage probe = Make(Kind::kProbe, next_sequence++);
  probe.target = target;
  // A suspected host has to hear of it to be able to contradict.
  if (entry.member.state != MemberState::kAlive)
    probe.changes.push_back(entry.member);
  probes.push_back({target, probe.sequence, now});
  ++counters.probes;
  out->push_back({entry.member.address, std::move(probe)});
}

void Membership::Private::FollowProbes(Time now, Messages* out) {
  std::erase_if(probes, [&](OpenProbe& it) {
    if (now - it.started < kProbePeriod)
      return false;
    ++counters.failed_probes;
    auto entry = entries.find(it.target);
    if (entry != entries.end() &&
        entry->second.member.state == MemberState::kAlive) {
      Member report = entry->second.member;
      report.state = MemberState::kSuspected;
      Apply(report, now);
    }
    return true;
  });
  std::erase_if(relays, [&](const auto& it) {
    return now - it.second.started >= kProbePeriod;
  });
  for (OpenProbe& it : probes) {
    if (it.asked_others || now - it.started < kProbeTimeout)
      continue;
    it.asked_others = true;
    // A lost message is likelier than a lost host: the host itself is asked
    // again too.
    auto entry = entries.find(it.target);
    if (entry != entries.end()) {
      MembershipMessage again = Make(Kind::kProbe, it.sequence);
      again.target = it.target;
      out->push_back({entry->second.member.address, std::move(again)});
    }
    std::vector<Member> helpers = Known(true);
    std::erase_if(helpers, [&](const Member& member) {
      return member.state != MemberState::kAlive || member.name == it.target ||
             member.name == self.name;
    });
    std::shuffle(helpers.begin(), helpers.end(), random);
    helpers.resize(std::min(helpers.size(), kIndirectProbes));
    for (const Member& helper : helpers) {
      MembershipMessage request = Make(Kind::kProbeRequest, it.sequence);
      request.target = it.target;
      out->push_back({helper.address, std::move(request)});
    }
  }
}

void Membership::Private::StartProbes(Time now, Messages* out) {
  if (now < next_probe)
    return;
  next_probe = now + kProbePeriod;
  ProbeOneOf(&near_queue, true, now, out);
  if (IsGateway())
    ProbeOneOf(&far_queue, false, now, out);
}

void Membership::Private::TrySeeds(Time now, Messages* out) {
  if (now < next_seed)
    return;
  next_seed = now + kSeedPeriod;
  seeds.erase(self.address);
  for (const auto& [name, it] : entries)
    seeds.erase(it.member.address);
  std::vector<std::string> some(seeds.begin(), seeds.end());
  std::shuffle(some.begin(), some.end(), random);
  some.resize(std::min(some.size(), kIndirectProbes));
  for (const std::string& it : some)
    out->push_back({it, Make(Kind::kTable, next_sequence++)});
}

void Membership::Private::ExchangeTable(Time now, Messages* out) {
  if (now < next_table || entries.empty())
    return;
  const bool first = next_table == Time(0);
  next_table = now + Time(random() % (2 * kTableExchangePeriod.count()));
  if (first)
    return;
  auto it = entries.begin();
  std::advance(it, static_cast<long>(random() % entries.size()));
  if (it->second.member.state < MemberState::kDead) {
    out->push_back(
        {it->second.member.address, Make(Kind::kTable, next_sequence++)});
  }
}

void Membership::Private::Answer(const MembershipMessage& message,
                                 Kind kind,
                                 Messages* out) {
  MembershipMessage answer = Make(kind, message.sequence);
  auto it = entries.find(message.sender.name);
  // The sender can contradict only what it hears.
  if (it != entries.end() && it->second.member.state != MemberState::kAlive)
    answer.changes.push_back(it->second.member);
  out->push_back({message.sender.address, std::move(answer)});
}

void Membership::Private::Relay(const MembershipMessage& message,
                                Time now,
                                Messages* out) {
  auto it = entries.find(message.target);
  if (it == entries.end())
    return;
  MembershipMessage probe = Make(Kind::kProbe, next_sequence++);
  probe.target = message.target;
  relays[probe.sequence] = {message.target, message.sender.address,
                            message.sequence, now};
  out->push_back({it->second.member.address, std::move(probe)});
}

void Membership::Private::TakeAnswer(const MembershipMessage& message,
                                     Messages* out) {
  // Another host may have taken over the address of the one that was probed.
  std::erase_if(probes, [&](const OpenProbe& it) {
    return it.sequence == message.sequence &&
           (message.sender.name == it.target || message.target == it.target);
  });
  auto relay = relays.find(message.sequence);
  if (relay == relays.end() || relay->second.target != message.sender.name)
    return;
  MembershipMessage answer =
      Make(Kind::kProbeAnswer, relay->second.origin_sequence);
  answer.target = relay->second.target;
  answer.changes.push_back(message.sender);
  out->push_back({relay->second.origin_address, std::move(answer)});
  relays.erase(relay);
}

}  // namespace turmericwinch
