#include "libs/membership/membership.h"

#include <algorithm>
#include <cmath>

#include "libs/membership/duty_assignment.h"
#include "libs/membership/membership_constants.h"
#include "libs/membership/membership_private.h"

namespace turmericwinch {

namespace {

using Kind = MembershipMessageKind;
using Time = Membership::Time;
using membership_internal::Entry;

constexpr char kGatewayDuty[] = "membership-gateway";

}  // namespace

int Membership::Private::Log2Members() const {
  return static_cast<int>(std::ceil(std::log2(entries.size() + 2.0)));
}

std::vector<Member> Membership::Private::Known(bool own_domain_only) const {
  std::vector<Member> members;
  if (own_domain_only)
    members.push_back(self);
  for (const auto& [name, it] : entries) {
    if (!own_domain_only || it.member.failure_domain == self.failure_domain)
      members.push_back(it.member);
  }
  return members;
}

bool Membership::Private::IsGateway() const {
  const std::vector<std::string> holders =
      SelectDutyHolders(kGatewayDuty, Known(true), kGatewaysPerDomain);
  return std::count(holders.begin(), holders.end(), self.name) > 0;
}

void Membership::Private::Contradict(const Member& report) {
  const bool final_state = report.state >= MemberState::kDead;
  if (report.incarnation > self.incarnation ||
      (final_state && report.incarnation == self.incarnation)) {
    // An earlier process ran with a later clock, or this one was given up.
    self.incarnation = report.incarnation + 1;
    self.refutation = 0;
  } else if (report.incarnation == self.incarnation &&
             report.state != MemberState::kAlive &&
             report.refutation >= self.refutation) {
    self.refutation = report.refutation + 1;
  } else {
    return;
  }
  ++counters.refutations;
}

void Membership::Private::NoteChange(const std::string& name,
                                     Entry& entry,
                                     Time now,
                                     bool is_news) {
  ++revision;
  entry.since = now;
  if (is_news) {
    entry.sends_left = kChangeSends * Log2Members();
    fresh.insert(name);
  }
  if (entry.member.state == MemberState::kAlive)
    troubled.erase(name);
  else
    troubled.insert(name);
}

void Membership::Private::Apply(const Member& report, Time now, bool is_news) {
  if (report.name.empty())
    return;
  if (report.name == self.name) {
    if (self.state != MemberState::kLeft)
      Contradict(report);
    return;
  }
  auto it = entries.find(report.name);
  if (it == entries.end()) {
    // A departed host is not news to a table that never had it.
    if (report.state >= MemberState::kDead)
      return;
    it = entries.emplace(report.name, Entry{report}).first;
    NoteChange(it->first, it->second, now, is_news);
    return;
  }
  Entry& entry = it->second;
  if (!Supersedes(report, entry.member)) {
    if (report.incarnation == entry.member.incarnation)
      entry.member.generation =
          std::max(entry.member.generation, report.generation);
    return;
  }
  if (report.state == MemberState::kSuspected &&
      entry.member.state != MemberState::kSuspected)
    ++counters.suspicions;
  entry.member = report;
  NoteChange(it->first, entry, now, true);
}

void Membership::Private::HeardFrom(const Member& sender, Time now) {
  seeds.erase(sender.address);
  Apply(sender, now);
}

void Membership::Private::NotePause(Time now) {
  if (last_tick >= Time(0) && now - last_tick > kPauseThreshold) {
    // Probes from before the pause tell nothing about the others, and a
    // suspicion that ran out meanwhile had no chance to be contradicted.
    ++counters.pauses;
    probes.clear();
    relays.clear();
    for (auto& [name, it] : entries)
      it.since = std::max(it.since, now - Time(1));
  }
  last_tick = now;
}

void Membership::Private::Forget(const std::string& name) {
  ++revision;
  delisted.erase(name);
  fresh.erase(name);
  troubled.erase(name);
  entries.erase(name);
}

void Membership::Private::ExpireSuspicions(Time now) {
  const Time limit = std::chrono::duration_cast<Time>(
      kProbePeriod * kSuspicionPeriods * Log2Members());
  const std::vector<std::string> names(troubled.begin(), troubled.end());
  for (const std::string& name : names) {
    Entry& entry = entries.at(name);
    Member report = entry.member;
    if (report.state == MemberState::kSuspected && now - entry.since >= limit)
      report.state = MemberState::kUnreachable;
    if (report.state == MemberState::kUnreachable &&
        delisted.contains(report.name))
      report.state = MemberState::kDead;
    Apply(report, now);
    const bool gone = report.state >= MemberState::kDead;
    if (gone && now - entry.since >= kMemberRetention)
      Forget(name);
  }
}

std::vector<Member> Membership::Private::TakeChanges() {
  std::vector<Entry*> waiting;
  for (const std::string& it : fresh)
    waiting.push_back(&entries.at(it));
  const std::size_t n = std::min(kChangesPerMessage, waiting.size());
  std::partial_sort(waiting.begin(), waiting.begin() + static_cast<long>(n),
                    waiting.end(), [](const Entry* left, const Entry* right) {
                      return left->sends_left > right->sends_left;
                    });
  std::vector<Member> changes;
  for (std::size_t k = 0; k < n; ++k) {
    changes.push_back(waiting[k]->member);
    if (--waiting[k]->sends_left == 0)
      fresh.erase(waiting[k]->member.name);
  }
  return changes;
}

std::vector<Member> Membership::Private::Table() const {
  std::vector<Member> table = Known(false);
  if (table.size() > kMembersPerTable)
    table.resize(kMembersPerTable);
  return table;
}

Membership::Membership(Member self, std::uint64_t seed)
    : d_(std::make_unique<Private>(std::move(self), seed)) {}

Membership::~Membership() = default;

void Membership::SetSeeds(std::vector<std::string> addresses) {
  d_->seeds.insert(addresses.begin(), addresses.end());
}

void Membership::SetListedHosts(const std::vector<ListedHost>& hosts) {
  std::set<std::string> names;
  for (const ListedHost& it : hosts) {
    if (it.name == d_->self.name || it.address.empty())
      continue;
    names.insert(it.name);
    if (!d_->entries.contains(it.name) && !it.leaving)
      d_->seeds.insert(it.address);
  }
  for (const std::string& it : d_->listed) {
    if (!names.contains(it))
      d_->delisted.insert(it);
  }
  for (const std::string& it : names)
    d_->delisted.erase(it);
  d_->listed = std::move(names);
}

void Membership::SetConfigGeneration(std::uint64_t generation) {
  d_->self.generation = generation;
}

Membership::Messages Membership::Tick(Time now) {
  Messages out;
  if (d_->self.state == MemberState::kLeft)
    return out;
  d_->NotePause(now);
  d_->FollowProbes(now, &out);
  d_->ExpireSuspicions(now);
  d_->StartProbes(now, &out);
  d_->TrySeeds(now, &out);
  d_->ExchangeTable(now, &out);
  return out;
}

Membership::Messages Membership::HandleMessage(const MembershipMessage& message,
                                               Time now) {
  Messages out;
  if (d_->self.state == MemberState::kLeft)
    return out;
  d_->HeardFrom(message.sender, now);
  // Whoever sends its table is known to others already, and so is what is in
  // it.
  const bool is_table =
      message.kind == Kind::kTable || message.kind == Kind::kTableAnswer;
  for (const Member& it : message.changes)
    d_->Apply(it, now, !is_table);
  switch (message.kind) {
    case Kind::kProbe:
      d_->Answer(message, Kind::kProbeAnswer, &out);
      break;
    case Kind::kTable:
      d_->Answer(message, Kind::kTableAnswer, &out);
      break;
    case Kind::kProbeRequest:
      d_->Relay(message, now, &out);
      break;
    case Kind::kProbeAnswer:
      d_->TakeAnswer(message, &out);
      break;
    case Kind::kTableAnswer:
      break;
  }
  return out;
}

Membership::Messages Membership::Leave(Time) {
  Messages out;
  d_->self.state = MemberState::kLeft;
  std::vector<Member> others = d_->Known(true);
  std::erase_if(others, [&](const Member& it) {
    return it.name == d_->self.name || !IsUsable(it);
  });
  std::shuffle(others.begin(), others.end(), d_->random);
  others.resize(std::min(others.size(), 2 * kIndirectProbes));
  for (const Member& it : others)
    out.push_back({it.address, d_->Make(Kind::kProbe, 0)});
  return out;
}

const Member& Membership::self() const {
  return d_->self;
}

std::vector<Member> Membership::Members() const {
  std::vector<Member> members = d_->Known(false);
  members.push_back(d_->self);
  std::sort(members.begin(), members.end(),
            [](const Member& left, const Member& right) {
              return left.name < right.name;
            });
  return members;
}

std::optional<Member> Membership::Find(const std::string& name) const {
  if (name == d_->self.name)
    return d_->self;
  auto it = d_->entries.find(name);
  if (it == d_->entries.end())
    return std::nullopt;
  return it->second.member;
}

std::vector<Member> Membership::DomainMembers() const {
  return d_->Known(true);
}

std::uint64_t Membership::revision() const {
  return d_->revision;
}

const MembershipCounters& Membership::counters() const {
  return d_->counters;
}

}  // namespace turmericwinch
