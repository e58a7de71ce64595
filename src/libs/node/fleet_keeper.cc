#include "libs/node/fleet_keeper.h"

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

// Grows from one process of a host to the next as long as the clock does; if
// it does not, the membership takes the next higher one.
std::uint64_t ProcessIncarnation() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

class FleetKeeper::Private {
 public:
  void Start();
  void SendAll(const Membership::Messages& messages);
  void Receive(const PeerFrame& frame);
  void LogChanges();
  // The holders of `duty` among the hosts of the domain, best first.
  const std::vector<std::string>& Holders(std::string_view duty, std::size_t n);

  asio::io_context* control = nullptr;
  NodeSettings settings;
  std::string address;
  std::function<void(const PeerFrame&)> on_frame;
  std::function<void()> on_change;
  std::function<void(const std::string&, std::uint64_t)> on_peer;
  std::unique_ptr<PeerNetwork> network;
  std::unique_ptr<Membership> membership;
  std::map<std::string, MemberState> logged;
  std::optional<std::uint64_t> logged_revision;
  // Worked out once for each state of the table.
  std::uint64_t holders_revision = 0;
  std::map<std::pair<std::string, std::size_t>, std::vector<std::string>>
      holders;
  std::mt19937_64 random{std::random_device{}()};
};

void FleetKeeper::Private::Start() {
  Member self;
  self.name = settings.host;
  self.failure_domain = settings.failure_domain;
  self.address = address;
  self.incarnation = ProcessIncarnation();
  self.weight = static_cast<int>(settings.traffic_threads);
  membership = std::make_unique<Membership>(self, random());
  membership->SetSeeds(settings.peers);
}

void FleetKeeper::Private::SendAll(const Membership::Messages& messages) {
  for (const OutgoingMessage& it : messages)
    network->Send(it.address, it.message);
}

void FleetKeeper::Private::Receive(const PeerFrame& frame) {
  const auto* message = std::get_if<MembershipMessage>(&frame);
  if (!message) {
    on_frame(frame);
    return;
  }
  SendAll(membership->HandleMessage(*message, SteadyNow()));
  on_peer(message->sender.address, message->sender.generation);
}

const std::vector<std::string>& FleetKeeper::Private::Holders(
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

void FleetKeeper::Private::LogChanges() {
  bool changed = false;
  if (logged_revision == membership->revision())
    return;
  logged_revision = membership->revision();
  for (const Member& it : membership->Members()) {
    auto [known, added] = logged.try_emplace(it.name, it.state);
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

FleetKeeper::FleetKeeper(asio::io_context& control,
                         const NodeSettings& settings)
    : d_(std::make_unique<Private>()) {
  d_->control = &control;
  d_->settings = settings;
  if (settings.fleet_key.empty())
    return;
  d_->network = std::make_unique<PeerNetwork>(
      control, settings.fleet_key,
      [d = d_.get()](const PeerFrame& frame) { d->Receive(frame); });
}

FleetKeeper::~FleetKeeper() = default;

void FleetKeeper::SetFrameHook(std::function<void(const PeerFrame&)> on_frame) {
  d_->on_frame = std::move(on_frame);
}

void FleetKeeper::SetPeerHook(
    std::function<void(const std::string&, std::uint64_t)> on_peer) {
  d_->on_peer = std::move(on_peer);
}

void FleetKeeper::SetChangeHook(std::function<void()> on_change) {
  d_->on_change = std::move(on_change);
}

std::optional<asio::ip::tcp::endpoint> FleetKeeper::Listen(Reason* reason) {
  if (!enabled())
    return asio::ip::tcp::endpoint();
  auto endpoint = d_->network->Listen(d_->settings.peer_listen, reason);
  if (!endpoint)
    return std::nullopt;
  d_->address = ToText(*endpoint);
  d_->Start();
  return endpoint;
}

asio::awaitable<void> FleetKeeper::Run() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (d_->membership) {
    d_->SendAll(d_->membership->Tick(SteadyNow()));
    d_->LogChanges();
    timer.expires_after(kFleetRoundInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void FleetKeeper::Leave() {
  if (d_->membership)
    d_->SendAll(d_->membership->Leave(SteadyNow()));
}

bool FleetKeeper::enabled() const {
  return d_->network != nullptr;
}

std::size_t FleetKeeper::UsableHosts() const {
  if (!d_->membership)
    return 1;
  const std::vector<Member> members = d_->membership->Members();
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(), IsUsable));
}

bool FleetKeeper::ExpectsPeers() const {
  return enabled() &&
         (!d_->settings.peers.empty() ||
          (d_->membership && d_->membership->Members().size() > 1));
}

void FleetKeeper::SetListed(const HostList& list) {
  if (!d_->membership)
    return;
  std::vector<ListedHost> hosts;
  for (const ListedMember& it : list.hosts)
    hosts.push_back({it.name, it.failure_domain, it.address, it.leaving});
  d_->membership->SetListedHosts(hosts);
}

void FleetKeeper::SetGeneration(std::uint64_t generation) {
  if (d_->membership)
    d_->membership->SetConfigGeneration(generation);
}

bool FleetKeeper::Holds(std::string_view duty, std::size_t n) const {
  if (!d_->membership)
    return true;
  const std::vector<std::string>& holders = d_->Holders(duty, n);
  return std::count(holders.begin(), holders.end(), d_->settings.host) > 0;
}

std::vector<std::string> FleetKeeper::HolderAddresses(std::string_view duty,
                                                      std::size_t n) const {
  std::vector<std::string> addresses;
  if (!d_->membership)
    return addresses;
  for (const std::string& name : d_->Holders(duty, n)) {
    if (name == d_->settings.host)
      return {};
    if (std::optional<Member> member = d_->membership->Find(name))
      addresses.push_back(member->address);
  }
  return addresses;
}

bool FleetKeeper::HasLeft(const std::string& address) const {
  if (!d_->membership)
    return false;
  const std::vector<Member> members = d_->membership->Members();
  return std::any_of(members.begin(), members.end(), [&](const Member& it) {
    return it.address == address && it.state == MemberState::kLeft;
  });
}

std::vector<std::string> FleetKeeper::DomainPeers() const {
  std::vector<std::string> addresses;
  if (!d_->membership)
    return addresses;
  for (const Member& it : d_->membership->DomainMembers()) {
    if (it.name != d_->settings.host && IsUsable(it))
      addresses.push_back(it.address);
  }
  return addresses;
}

std::vector<Member> FleetKeeper::Peers() {
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

std::vector<std::string> FleetKeeper::RandomPeers(std::size_t n) {
  std::vector<std::string> addresses;
  for (const Member& it : Peers()) {
    if (addresses.size() == n)
      break;
    addresses.push_back(it.address);
  }
  return addresses;
}

void FleetKeeper::Send(const std::string& address, const PeerFrame& frame) {
  if (d_->network)
    d_->network->Send(address, frame);
}

const std::string& FleetKeeper::address() const {
  return d_->address;
}

json::object FleetKeeper::Dump() const {
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
