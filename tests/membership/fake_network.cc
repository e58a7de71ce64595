#include "membership/fake_network.h"

#include <algorithm>

namespace turmericwinch {

namespace {

constexpr FakeNetwork::Time kStep{50};

}  // namespace

FakeNetwork::FakeNetwork(int hosts, int domains, std::uint64_t seed)
    : random_(seed), domains_(domains) {
  for (int n = 0; n < hosts; ++n)
    Start(n, 1);
}

std::string FakeNetwork::NameOf(int host) {
  return "host-" + std::to_string(host);
}

void FakeNetwork::Start(int host, std::uint64_t incarnation) {
  Member self;
  self.name = NameOf(host);
  self.failure_domain = "domain-" + std::to_string(host % domains_);
  self.address = "10.0.0." + std::to_string(host) + ":1";
  self.incarnation = incarnation;
  by_address_[self.address] = host;
  Host& it = hosts_[host];
  it.membership = std::make_unique<Membership>(self, random_());
  it.membership->SetSeeds({"10.0.0.0:1", "10.0.0.1:1"});
  it.paused = false;
  it.held.clear();
}

void FakeNetwork::Kill(int host) {
  hosts_.erase(host);
}

void FakeNetwork::SetPaused(int host, bool paused) {
  Host& it = hosts_.at(host);
  it.paused = paused;
  if (paused)
    return;
  for (MembershipMessage& message : it.held)
    in_flight_.push_back({host, std::move(message)});
  it.held.clear();
}

void FakeNetwork::Send(int from, Membership::Messages messages) {
  std::uniform_real_distribution<double> uniform;
  for (OutgoingMessage& it : messages) {
    if (on_message)
      on_message(it.message);
    auto to = by_address_.find(it.address);
    if (to == by_address_.end() || uniform(random_) < loss)
      continue;
    if (is_cut && is_cut(from, to->second))
      continue;
    in_flight_.push_back({to->second, std::move(it.message)});
  }
}

void FakeNetwork::Deliver() {
  std::deque<InFlight> arriving;
  arriving.swap(in_flight_);
  for (InFlight& it : arriving) {
    auto host = hosts_.find(it.to);
    if (host == hosts_.end())
      continue;
    if (host->second.paused) {
      host->second.held.push_back(std::move(it.message));
      continue;
    }
    Send(it.to, host->second.membership->HandleMessage(it.message, now_));
  }
}

void FakeNetwork::Run(Time duration) {
  for (const Time end = now_ + duration; now_ < end; now_ += kStep) {
    Deliver();
    for (auto& [n, it] : hosts_) {
      // Hosts tick out of step with one another.
      if (!it.paused && (now_ / kStep + n) % 2 == 0)
        Send(n, it.membership->Tick(now_));
    }
  }
}

std::optional<Member> FakeNetwork::View(int observer, int host) const {
  return hosts_.at(observer).membership->Find(NameOf(host));
}

int FakeNetwork::CountViews(int host, MemberState state) const {
  return static_cast<int>(
      std::count_if(hosts_.begin(), hosts_.end(), [&](const auto& it) {
        if (it.first == host)
          return false;
        std::optional<Member> view = View(it.first, host);
        return view && view->state == state;
      }));
}

}  // namespace turmericwinch
