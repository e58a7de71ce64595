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
  // Calls the platform once and waits for a change if the platform supports
  // that. False if the caller must pause before the next call.
  asio::awaitable<bool> ReadPlatform(milliseconds wait);
  void Send(const HostListPart& changes);
  // Sends a request to a peer if the next one is due.
  void AskPeerIfDue(Clock::time_point now);
  void AskPeer(const std::string& peer);
  std::string NextPeerToAsk();
  void HandleRequest(const HostListRequest& request);
  void HandlePart(const HostListPart& part);
  void PublishList();
  milliseconds Age() const;
  // A random time between 0.5 and 1.5 times `around`.
  milliseconds RandomAround(milliseconds around);

  PlatformClient* platform = nullptr;
  FleetManager* fleet = nullptr;
  std::function<void(const HostList&)> on_list;
  HostListCopy copy;
  // When the platform last confirmed this copy, either to this host or, as the
  // peer reported, to the peer that sent it.
  std::optional<Clock::time_point> confirmed;
  Clock::time_point next_request;
  Clock::time_point next_full_read;
  // Time of the first request that is still unanswered.
  std::optional<Clock::time_point> unanswered_since;
  std::size_t requests_sent = 0;
  std::uint64_t changes_applied = 0;
  std::uint64_t gaps = 0;
  std::uint64_t full_lists_applied = 0;
  bool is_reader = false;
  std::mt19937_64 random{std::random_device{}()};
};

milliseconds HostListPoller::Private::RandomAround(milliseconds around) {
  const auto range = static_cast<std::uint64_t>(around.count());
  return around / 2 + milliseconds(random() % (range + 1));
}

milliseconds HostListPoller::Private::Age() const {
  if (!confirmed)
    return kHostListUnknownAge;
  return std::min(kHostListUnknownAge, std::chrono::duration_cast<milliseconds>(
                                           Clock::now() - *confirmed));
}

void HostListPoller::Private::PublishList() {
  fleet->SetListedHosts(copy.list());
  on_list(copy.list());
}

void HostListPoller::Private::Send(const HostListPart& changes) {
  if (changes.base.empty() || changes.text.empty())
    return;
  // Without versions, receivers cannot order the changes of two readers: only
  // the first holder of the duty sends them.
  if (!changes.version.IsSet() && !fleet->HoldsDuty(kReadDuty, 1))
    return;
  HostListPart part = changes;
  part.peer = fleet->address();
  for (const std::string& it : fleet->DomainPeerAddresses())
    fleet->Send(it, part);
}

asio::awaitable<bool> HostListPoller::Private::ReadPlatform(milliseconds wait) {
  const auto started = Clock::now();
  StoreVersion after = copy.known() ? copy.version() : StoreVersion();
  if (started >= next_full_read)
    after = {};
  Reason reason;
  const std::string before = copy.digest();
  std::optional<PlatformHosts> hosts =
      co_await platform->HostsSince(after, wait, &reason);
  // Changes from a peer may have been applied during the wait; these changes
  // then have another base.
  if (hosts && !hosts->is_whole && copy.digest() != before)
    co_return true;
  std::optional<HostListPart> changes;
  if (hosts)
    changes = copy.HandlePlatformAnswer(*hosts, &reason);
  if (!changes) {
    LogEvent(
        kLog, Severity::kWarning,
        hosts ? "host_list_unreadable" : "host_list_unavailable",
        {{"code", static_cast<int>(reason.code)}, {"reason", reason.text}});
    co_return false;
  }
  confirmed = Clock::now();
  unanswered_since.reset();
  if (hosts->is_whole) {
    ++full_lists_applied;
    next_full_read = *confirmed + RandomAround(kHostListFullReadInterval);
  }
  if (changes->digest != before) {
    PublishList();
    Send(*changes);
  }
  co_return hosts->version.IsSet();
}

std::string HostListPoller::Private::NextPeerToAsk() {
  std::vector<std::string> peers =
      fleet->DutyHolderAddresses(kReadDuty, kHostListReaders);
  if (peers.empty())
    peers = fleet->RandomPeerAddresses(1);
  if (peers.empty())
    return {};
  return peers[requests_sent++ % peers.size()];
}

void HostListPoller::Private::AskPeer(const std::string& peer) {
  const Clock::time_point now = Clock::now();
  next_request = now + kHostListFetchInterval;
  if (peer.empty())
    return;
  HostListRequest request = copy.NextRequest();
  request.peer = fleet->address();
  if (!unanswered_since)
    unanswered_since = now;
  fleet->Send(peer, request);
}

void HostListPoller::Private::AskPeerIfDue(Clock::time_point now) {
  if (now >= next_request)
    AskPeer(NextPeerToAsk());
}

void HostListPoller::Private::HandleRequest(const HostListRequest& request) {
  HostListPart part = copy.MakePart(request);
  part.age = Age();
  part.peer = fleet->address();
  fleet->Send(request.peer, part);
}

void HostListPoller::Private::HandlePart(const HostListPart& part) {
  const HostListVerdict verdict = copy.HandlePart(part);
  const Clock::time_point now = Clock::now();
  switch (verdict) {
    case HostListVerdict::kApplied:
      ++(part.base.empty() ? full_lists_applied : changes_applied);
      PublishList();
      [[fallthrough]];
    case HostListVerdict::kUnchanged:
      if (part.digest == copy.digest() && part.age <= kHostListMaxFreshAge)
        confirmed = now - part.age;
      unanswered_since.reset();
      next_request = now + RandomAround(kHostListPeerCheckInterval);
      return;
    case HostListVerdict::kIncomplete:
      unanswered_since.reset();
      AskPeer(part.peer);
      return;
    case HostListVerdict::kGap:
      // Spreads the requests of hosts that missed the same change.
      ++gaps;
      next_request = std::min(next_request,
                              now + RandomAround(kHostListFetchInterval / 2));
      return;
    case HostListVerdict::kUnusable:
      return;
  }
}

HostListPoller::HostListPoller(PlatformClient& platform,
                               FleetManager& fleet,
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

bool HostListPoller::HandleFrame(const PeerFrame& frame) {
  if (const auto* request = std::get_if<HostListRequest>(&frame))
    d_->HandleRequest(*request);
  else if (const auto* part = std::get_if<HostListPart>(&frame))
    d_->HandlePart(*part);
  else
    return false;
  return true;
}

asio::awaitable<void> HostListPoller::Run() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  const auto first_read = Clock::now() + (d_->fleet->ExpectsPeers()
                                              ? d_->RandomAround(kMaxStartDelay)
                                              : milliseconds(0));
  // The duty assignment is meaningful only once other hosts are known.
  while (Clock::now() < first_read &&
         d_->fleet->DomainPeerAddresses().empty()) {
    timer.expires_after(kFleetRoundInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  for (;;) {
    d_->is_reader = d_->fleet->HoldsDuty(kReadDuty, kHostListReaders);
    const auto now = Clock::now();
    const bool reader_timed_out =
        d_->unanswered_since &&
        now - *d_->unanswered_since > kHostListReaderTimeout;
    bool again = false;
    if (d_->is_reader || reader_timed_out)
      again = co_await d_->ReadPlatform(reader_timed_out ? milliseconds(0)
                                                         : kWatchTimeout);
    // A reader that does not reach the platform can still get the list from a
    // peer.
    if (!d_->is_reader || !again)
      d_->AskPeerIfDue(Clock::now());
    if (d_->is_reader && again)
      continue;
    timer.expires_after(d_->RandomAround(kHostListFetchInterval));
    co_await timer.async_wait(asio::use_awaitable);
  }
}

json::object HostListPoller::Dump() const {
  return {{"hosts", d_->copy.list().hosts.size()},
          {"targets", d_->copy.list().targets.size()},
          {"version", d_->copy.version().revision},
          {"digest", d_->copy.digest()},
          {"reads_platform", d_->is_reader},
          {"confirmed_ms_ago", d_->Age().count()},
          {"changes_taken", d_->changes_applied},
          {"wholes_taken", d_->full_lists_applied},
          {"gaps", d_->gaps}};
}

}  // namespace turmericwinch
