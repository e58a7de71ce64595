#include "libs/node/fleet_manager.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <random>

#include "libs/base/log.h"
#include "libs/http/http_client.h"
#include "libs/membership/duty_assignment.h"
#include "libs/membership/membership.h"
#include "libs/node/node_constants.h"
#include "libs/peer/peer_network.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using Time = Membership::Time;

constexpr LogCategory kLog{"fleet"};

Time SteadyNow() {
  return std::chrono::duration_cast<Time>(
      std::chrono::steady_clock::now().time_since_epoch());
}

// Increases with each process start of a host as long as the clock does not go
// back; if it does, Membership chooses the next higher number.
std::uint64_t ProcessIncarnation() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

class FleetManager::Private {
 public:
  void CreateMembership();
  void SendAll(const Membership::Messages& messages);
  void HandleFrame(const PeerFrame& frame);
  void LogMemberChanges();
  // The `n` holders of `duty` among the hosts of the domain, highest rank
  // first.
  const std::vector<std::string>& DutyHolders(std::string_view duty,
                                              std::size_t n);

  asio::io_context* control = nullptr;
  NodeSettings settings;
  std::string address;
  std::function<void(const PeerFrame&)> on_frame;
  std::function<void()> on_change;
  std::function<void(const std::string&, std::uint64_t)> on_peer;
  std::unique_ptr<PeerNetwork> network;
  std::unique_ptr<Membership> membership;
  std::map<std::string, MemberState> logged_states;
  std::optional<std::uint64_t> logged_revision;
  // Duty holders, cached for one revision of the member table.
  std::uint64_t holders_revision = 0;
  std::map<std::pair<std::string, std::size_t>, std::vector<std::string>>
      holders;
  std::mt19937_64 random{std::random_device{}()};
};

void FleetManager::Private::CreateMembership() {
  Member self;
  self.name = settings.host;
  self.failure_domain = settings.failure_domain;
  self.address = address;
  self.incarnation = ProcessIncarnation();
  self.weight = static_cast<int>(settings.traffic_threads);
  membership = std::make_unique<Membership>(self, random());
  membership->SetSeeds(settings.peers);
}

void FleetManager::Private::SendAll(const Membership::Messages& messages) {
  for (const OutgoingMessage& it : messages)
    network->Send(it.address, it.message);
}

void FleetManager::Private::HandleFrame(const PeerFrame& frame) {
  const auto* message = std::get_if<MembershipMessage>(&frame);
  if (!message) {
    on_frame(frame);
    return;
  }
  SendAll(membership->HandleMessage(*message, SteadyNow()));
  on_peer(message->sender.address, message->sender.generation);
}

const std::vector<std::string>& FleetManager::Private::DutyHolders(
    std::string_view duty,
    std::size_t n) {
  if (holders_revision != membership->revision())
    holders.clear();
  holders_revision = membership->revision();
  auto [it, is_new] = holders.try_emplace({std::string(duty), n});
  if (is_new)
    it->second = SelectDutyHolders(duty, membership->DomainMembers(), n);
  return it->second;
}

void FleetManager::Private::LogMemberChanges() {
  bool changed = false;
  if (logged_revision == membership->revision())
    return;
  logged_revision = membership->revision();
  for (const Member& it : membership->Members()) {
    auto [known, added] = logged_states.try_emplace(it.name, it.state);
    if (!added && known->second == it.state)
      continue;
    known->second = it.state;
    changed = true;
    LogEvent(kLog, Severity::kInfo, "member_changed",
             {{"member", it.name},
              {"failure_domain", it.failure_domain},
              {"state", NameOf(it.state)},
              {"incarnation", it.incarnation}});
  }
  if (changed && on_change)
    on_change();
}

FleetManager::FleetManager(asio::io_context& control,
                           const NodeSettings& settings)
    : d_(std::make_unique<Private>()) {
  d_->control = &control;
  d_->settings = settings;
  if (settings.fleet_key.empty())
    return;
  d_->network = std::make_unique<PeerNetwork>(
      control, settings.fleet_key,
      [d = d_.get()](const PeerFrame& frame) { d->HandleFrame(frame); });
}

FleetManager::~FleetManager() = default;

void FleetManager::SetFrameHandler(
    std::function<void(const PeerFrame&)> on_frame) {
  d_->on_frame = std::move(on_frame);
}

void FleetManager::SetPeerHandler(
    std::function<void(const std::string&, std::uint64_t)> on_peer) {
  d_->on_peer = std::move(on_peer);
}

void FleetManager::SetMemberChangeHandler(std::function<void()> on_change) {
  d_->on_change = std::move(on_change);
}

std::optional<asio::ip::tcp::endpoint> FleetManager::Listen(Reason* reason) {
  if (!enabled())
    return asio::ip::tcp::endpoint();
  auto endpoint = d_->network->Listen(d_->settings.peer_listen, reason);
  if (!endpoint)
    return std::nullopt;
  d_->address = ToText(*endpoint);
  d_->CreateMembership();
  return endpoint;
}

asio::awaitable<void> FleetManager::Run() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (d_->membership) {
    d_->SendAll(d_->membership->Tick(SteadyNow()));
    d_->LogMemberChanges();
    timer.expires_after(kFleetRoundInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void FleetManager::Leave() {
  if (d_->membership)
    d_->SendAll(d_->membership->Leave(SteadyNow()));
}

bool FleetManager::enabled() const {
  return d_->network != nullptr;
}

std::size_t FleetManager::UsableHostCount() const {
  if (!d_->membership)
    return 1;
  const std::vector<Member> members = d_->membership->Members();
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(), IsUsable));
}

bool FleetManager::ExpectsPeers() const {
  return enabled() &&
         (!d_->settings.peers.empty() ||
          (d_->membership && d_->membership->Members().size() > 1));
}

void FleetManager::SetListedHosts(const HostList& list) {
  if (!d_->membership)
    return;
  std::vector<ListedHost> hosts;
  for (const ListedMember& it : list.hosts)
    hosts.push_back({it.name, it.failure_domain, it.address, it.leaving});
  d_->membership->SetListedHosts(hosts);
}

void FleetManager::SetConfigGeneration(std::uint64_t generation) {
  if (d_->membership)
    d_->membership->SetConfigGeneration(generation);
}

bool FleetManager::HoldsDuty(std::string_view duty, std::size_t n) const {
  if (!d_->membership)
    return true;
  const std::vector<std::string>& holders = d_->DutyHolders(duty, n);
  return std::count(holders.begin(), holders.end(), d_->settings.host) > 0;
}

std::vector<std::string> FleetManager::DutyHolderAddresses(
    std::string_view duty,
    std::size_t n) const {
  std::vector<std::string> addresses;
  if (!d_->membership)
    return addresses;
  for (const std::string& name : d_->DutyHolders(duty, n)) {
    if (name == d_->settings.host)
      return {};
    if (std::optional<Member> member = d_->membership->Find(name))
      addresses.push_back(member->address);
  }
  return addresses;
}

bool FleetManager::HasLeft(const std::string& address) const {
  if (!d_->membership)
    return false;
  const std::vector<Member> members = d_->membership->Members();
  return std::any_of(members.begin(), members.end(), [&](const Member& it) {
    return it.address == address && it.state == MemberState::kLeft;
  });
}

std::vector<std::string> FleetManager::DomainPeerAddresses() const {
  std::vector<std::string> addresses;
  if (!d_->membership)
    return addresses;
  for (const Member& it : d_->membership->DomainMembers()) {
    if (it.name != d_->settings.host && IsUsable(it))
      addresses.push_back(it.address);
  }
  return addresses;
}

std::vector<Member> FleetManager::ShuffledPeers() {
  std::vector<Member> peers;
  if (!d_->membership)
    return peers;
  peers = d_->membership->Members();
  std::erase_if(peers, [this](const Member& it) {
    return it.name == d_->settings.host || !IsUsable(it);
  });
  std::shuffle(peers.begin(), peers.end(), d_->random);
  return peers;
}

std::vector<std::string> FleetManager::RandomPeerAddresses(std::size_t n) {
  std::vector<std::string> addresses;
  for (const Member& it : ShuffledPeers()) {
    if (addresses.size() == n)
      break;
    addresses.push_back(it.address);
  }
  return addresses;
}

void FleetManager::Send(const std::string& address, const PeerFrame& frame) {
  if (d_->network)
    d_->network->Send(address, frame);
}

const std::string& FleetManager::address() const {
  return d_->address;
}

json::object FleetManager::Dump() const {
  json::array members;
  json::object counters;
  if (d_->membership) {
    for (const Member& it : d_->membership->Members()) {
      members.push_back({{"name", it.name},
                         {"failure_domain", it.failure_domain},
                         {"address", it.address},
                         {"incarnation", it.incarnation},
                         {"state", NameOf(it.state)},
                         {"weight", it.weight},
                         {"generation", it.generation}});
    }
    const MembershipCounters& own = d_->membership->counters();
    const PeerCounters& peer = d_->network->counters();
    counters = {{"probes", own.probes},
                {"failed_probes", own.failed_probes},
                {"suspicions", own.suspicions},
                {"refutations", own.refutations},
                {"pauses", own.pauses},
                {"frames_sent", peer.frames_sent},
                {"frames_received", peer.frames_received},
                {"bytes_sent", peer.bytes_sent},
                {"bytes_received", peer.bytes_received},
                {"dropped", peer.dropped},
                {"connect_failures", peer.connect_failures},
                {"protocol_errors", peer.protocol_errors},
                {"rejected", peer.rejected}};
  }
  return {{"members", members}, {"counters", counters}};
}

}  // namespace turmericwinch
