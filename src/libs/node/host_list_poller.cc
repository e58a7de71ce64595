#include "libs/node/host_list_poller.h"

#include <boost/asio.hpp>

#include "libs/base/digest.h"
#include "libs/base/log.h"
#include "libs/node/node_constants.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

constexpr LogCategory kLog{"node"};
constexpr char kReadDuty[] = "host-list";
// In front of the digest of the list that the asking host has.
constexpr std::string_view kPartPrefix = "host-list:";

}  // namespace

HostListPoller::HostListPoller(PlatformClient& platform,
                               FleetKeeper& fleet,
                               std::function<void(const HostList&)> on_list)
    : platform_(platform), fleet_(fleet), on_list_(std::move(on_list)) {}

void HostListPoller::Take(std::string text) {
  Reason reason;
  std::optional<HostList> list = HostListOf(text, &reason);
  if (!list) {
    LogEvent(kLog, Severity::kWarning, "host_list_unreadable",
             {{"reason", reason.text}});
    return;
  }
  heard_ = Clock::now();
  if (text == text_)
    return;
  list_ = std::move(*list);
  text_ = std::move(text);
  digest_ = Sha256Hex(text_);
  fleet_.SetListed(list_);
  on_list_(list_);
}

asio::awaitable<void> HostListPoller::ReadPlatform() {
  Reason reason;
  std::optional<std::string> text = co_await platform_.Hosts(&reason);
  if (text) {
    Take(std::move(*text));
    co_return;
  }
  LogEvent(kLog, Severity::kWarning, "host_list_unavailable",
           {{"code", static_cast<int>(reason.code)}, {"reason", reason.text}});
  // A peer may have the list that this host never got.
  if (text_.empty())
    AskPeer();
}

void HostListPoller::AskPeer() {
  std::vector<std::string> peers =
      fleet_.HolderAddresses(kReadDuty, kHostListReaders);
  if (peers.empty())
    peers = fleet_.RandomPeers(1);
  if (peers.empty())
    return;
  const bool late = Clock::now() - heard_ > 2 * kHostListInterval;
  const std::string& peer = peers[late ? asked_++ % peers.size() : 0];
  fleet_.Send(peer, ConfigRequest{std::string(kPartPrefix) + digest_,
                                  fleet_.address()});
}

bool HostListPoller::Receive(const PeerFrame& frame) {
  if (const auto* request = std::get_if<ConfigRequest>(&frame)) {
    if (!request->digest.starts_with(kPartPrefix))
      return false;
    // An empty answer says that the list is unchanged.
    const bool known = request->digest.substr(kPartPrefix.size()) == digest_;
    fleet_.Send(request->peer,
                ConfigPart{std::string(kPartPrefix), !text_.empty(),
                           known ? "" : text_, fleet_.address()});
    return true;
  }
  const auto* part = std::get_if<ConfigPart>(&frame);
  if (!part || part->digest != kPartPrefix)
    return false;
  if (part->found && part->text.empty())
    heard_ = Clock::now();
  else if (part->found)
    Take(part->text);
  return true;
}

asio::awaitable<void> HostListPoller::Run() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  Clock::time_point last_read;
  for (;;) {
    const bool reads = fleet_.Holds(kReadDuty, kHostListReaders);
    const bool late = Clock::now() - heard_ > kHostListPatience &&
                      Clock::now() - last_read > kHostListPatience;
    if (!reads)
      AskPeer();
    if (reads || late) {
      last_read = Clock::now();
      co_await ReadPlatform();
    }
    timer.expires_after(kHostListInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

}  // namespace turmericwinch
