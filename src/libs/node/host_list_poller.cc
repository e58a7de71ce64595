#include "libs/node/host_list_poller.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <random>

#include "libs/base/log.h"
#include "libs/node/host_list_copy.h"
#include "libs/node/node_constants.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr LogCategory kLog{"node"};
constexpr char kReadDuty[] = "host-list";

}  // namespace

class HostListPoller::Private {
 public:
  // One call to the platform, which waits for a change where it can. False if
  // there is no point in calling again at once.
  asio::awaitable<bool> ReadPlatform(milliseconds wait);
  void Send(const HostListPart& changes);
  // Asks a peer now, or, if nothing is missing, once in a while.
  void AskInTurn(Clock::time_point now);
  void AskPeer(const std::string& peer);
  std::string PeerToAsk();
  void Answer(const HostListRequest& ask);
  void Take(const HostListPart& part);
  void Published();
  milliseconds Age() const;
  // Between half of `around` and one and a half.
  milliseconds Random(milliseconds around);

  PlatformClient* platform = nullptr;
  FleetKeeper* fleet = nullptr;
  std::function<void(const HostList&)> on_list;
  HostListCopy copy;
  // When the platform last confirmed this copy, to this host or, as it said, to
  // the peer that sent it.
  std::optional<Clock::time_point> confirmed;
  Clock::time_point next_ask;
  Clock::time_point next_whole;
  // The first ask that nobody answered yet.
  std::optional<Clock::time_point> unanswered;
  std::size_t asked = 0;
  std::uint64_t changes_taken = 0;
  std::uint64_t gaps = 0;
  std::uint64_t wholes_taken = 0;
  bool reading = false;
  std::mt19937_64 random{std::random_device{}()};
};

milliseconds HostListPoller::Private::Random(milliseconds around) {
  const auto range = static_cast<std::uint64_t>(around.count());
  return around / 2 + milliseconds(random() % (range + 1));
}

milliseconds HostListPoller::Private::Age() const {
  if (!confirmed)
    return kHostListUnknownAge;
  return std::min(kHostListUnknownAge, std::chrono::duration_cast<milliseconds>(
                                           Clock::now() - *confirmed));
}

void HostListPoller::Private::Published() {
  fleet->SetListed(copy.list());
  on_list(copy.list());
}

void HostListPoller::Private::Send(const HostListPart& changes) {
  if (changes.base.empty() || changes.text.empty())
    return;
  // Without versions only one reader's word counts.
  if (changes.version == 0 && !fleet->Holds(kReadDuty, 1))
    return;
  HostListPart part = changes;
  part.peer = fleet->address();
  for (const std::string& it : fleet->DomainPeers())
    fleet->Send(it, part);
}

asio::awaitable<bool> HostListPoller::Private::ReadPlatform(milliseconds wait) {
  const auto started = Clock::now();
  std::uint64_t after = copy.known() ? copy.version() : 0;
  if (started >= next_whole)
    after = 0;
  Reason reason;
  const std::string before = copy.digest();
  std::optional<PlatformHosts> hosts =
      co_await platform->HostsSince(after, wait, &reason);
  // A peer's changes may have come during the wait.
  if (hosts && !hosts->is_whole && copy.digest() != before)
    co_return true;
  std::optional<HostListPart> changes;
  if (hosts)
    changes = copy.TakePlatform(*hosts, &reason);
  if (!changes) {
    LogEvent(
        kLog, Severity::kWarning,
        hosts ? "host_list_unreadable" : "host_list_unavailable",
        {{"code", static_cast<int>(reason.code)}, {"reason", reason.text}});
    co_return false;
  }
  confirmed = Clock::now();
  unanswered.reset();
  if (hosts->is_whole) {
    ++wholes_taken;
    next_whole = *confirmed + Random(kHostListFullReadInterval);
  }
  if (changes->digest != before) {
    Published();
    Send(*changes);
  }
  co_return hosts->version > 0;
}

std::string HostListPoller::Private::PeerToAsk() {
  std::vector<std::string> peers =
      fleet->HolderAddresses(kReadDuty, kHostListReaders);
  if (peers.empty())
    peers = fleet->RandomPeers(1);
  if (peers.empty())
    return {};
  return peers[asked++ % peers.size()];
}

void HostListPoller::Private::AskPeer(const std::string& peer) {
  const Clock::time_point now = Clock::now();
  next_ask = now + kHostListFetchInterval;
  if (peer.empty())
    return;
  HostListRequest ask = copy.Ask();
  ask.peer = fleet->address();
  if (!unanswered)
    unanswered = now;
  fleet->Send(peer, ask);
}

void HostListPoller::Private::AskInTurn(Clock::time_point now) {
  if (now >= next_ask)
    AskPeer(PeerToAsk());
}

void HostListPoller::Private::Answer(const HostListRequest& ask) {
  HostListPart part = copy.Answer(ask);
  part.age = Age();
  part.peer = fleet->address();
  fleet->Send(ask.peer, part);
}

void HostListPoller::Private::Take(const HostListPart& part) {
  const HostListVerdict verdict = copy.TakePart(part);
  const Clock::time_point now = Clock::now();
  switch (verdict) {
    case HostListVerdict::kTaken:
      ++(part.base.empty() ? wholes_taken : changes_taken);
      Published();
      [[fallthrough]];
    case HostListVerdict::kSame:
      if (part.digest == copy.digest() && part.age <= kHostListMaxFreshAge)
        confirmed = now - part.age;
      unanswered.reset();
      next_ask = now + Random(kHostListPeerCheckInterval);
      return;
    case HostListVerdict::kMore:
      unanswered.reset();
      AskPeer(part.peer);
      return;
    case HostListVerdict::kGap:
      // Hosts that miss the same do not all ask at once.
      ++gaps;
      next_ask = std::min(next_ask, now + Random(kHostListFetchInterval / 2));
      return;
    case HostListVerdict::kUseless:
      return;
  }
}

HostListPoller::HostListPoller(PlatformClient& platform,
                               FleetKeeper& fleet,
                               std::function<void(const HostList&)> on_list)
    : d_(std::make_unique<Private>()) {
  d_->platform = &platform;
  d_->fleet = &fleet;
  d_->on_list = std::move(on_list);
}

HostListPoller::~HostListPoller() = default;

const HostList& HostListPoller::list() const {
  return d_->copy.list();
}

bool HostListPoller::Receive(const PeerFrame& frame) {
  if (const auto* ask = std::get_if<HostListRequest>(&frame))
    d_->Answer(*ask);
  else if (const auto* part = std::get_if<HostListPart>(&frame))
    d_->Take(*part);
  else
    return false;
  return true;
}

asio::awaitable<void> HostListPoller::Run() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  const auto first_read =
      Clock::now() + (d_->fleet->ExpectsPeers() ? d_->Random(kMaxStartDelay)
                                                : milliseconds(0));
  // Who reads is known once the others are.
  while (Clock::now() < first_read && d_->fleet->DomainPeers().empty()) {
    timer.expires_after(kFleetRoundInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  for (;;) {
    d_->reading = d_->fleet->Holds(kReadDuty, kHostListReaders);
    const auto now = Clock::now();
    const bool late =
        d_->unanswered && now - *d_->unanswered > kHostListReaderTimeout;
    bool again = false;
    if (d_->reading || late)
      again = co_await d_->ReadPlatform(late ? milliseconds(0) : kWatchTimeout);
    // A reader without the platform may still have it from a peer.
    if (!d_->reading || !again)
      d_->AskInTurn(Clock::now());
    if (d_->reading && again)
      continue;
    timer.expires_after(d_->Random(kHostListFetchInterval));
    co_await timer.async_wait(asio::use_awaitable);
  }
}

json::object HostListPoller::Dump() const {
  return {{"hosts", d_->copy.list().hosts.size()},
          {"targets", d_->copy.list().targets.size()},
          {"version", d_->copy.version()},
          {"digest", d_->copy.digest()},
          {"reads_platform", d_->reading},
          {"confirmed_ms_ago", d_->Age().count()},
          {"changes_taken", d_->changes_taken},
          {"wholes_taken", d_->wholes_taken},
          {"gaps", d_->gaps}};
}

}  // namespace turmericwinch
