#include "libs/peer/peer_network.h"

#include <boost/asio.hpp>
#include <deque>
#include <map>
#include <set>

#include "libs/base/log.h"
#include "libs/http/http_client.h"
#include "libs/peer/peer_codec.h"
#include "libs/peer/peer_connection.h"
#include "libs/peer/peer_constants.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using SocketPointer = std::shared_ptr<tcp::socket>;
using TimerPointer = std::shared_ptr<asio::steady_timer>;

constexpr LogCategory kLog{"peer"};
constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

// Frames on their way to one peer.
struct Outbox {
  std::deque<std::string> frames;
  std::size_t bytes = 0;
  TimerPointer wake;
};

void CloseSocket(const SocketPointer& socket) {
  boost::system::error_code ignored;
  socket->close(ignored);
}

}  // namespace

class PeerNetwork::Private : public std::enable_shared_from_this<Private> {
 public:
  Private(asio::io_context& context, std::string key, FrameHandler on_frame)
      : context(context),
        acceptor(context),
        key(std::move(key)),
        on_frame(std::move(on_frame)) {}

  asio::awaitable<void> Accept();
  asio::awaitable<void> Receive(SocketPointer socket);
  asio::awaitable<void> Deliver(std::string address);
  asio::awaitable<SocketPointer> Connect(std::string address);
  asio::awaitable<void> Monitor(SocketPointer socket, TimerPointer wake);
  asio::awaitable<bool> SendQueued(std::string address, SocketPointer socket);
  asio::awaitable<bool> WaitForFrame(std::string address);
  void CountFault(const Reason& reason, const std::string& peer);
  void Stop();

  asio::io_context& context;
  tcp::acceptor acceptor;
  std::string key;
  FrameHandler on_frame;
  std::map<std::string, Outbox> outboxes;
  std::set<SocketPointer> sockets;
  PeerCounters counters;
  bool stopped = false;
};

void PeerNetwork::Private::CountFault(const Reason& reason,
                                      const std::string& peer) {
  if (reason.code == ResultCode::kPeerUnavailable)
    return;
  const bool rejected = reason.code == ResultCode::kPeerRejected;
  ++(rejected ? counters.rejected : counters.protocol_errors);
  LogEvent(kLog, Severity::kWarning,
           rejected ? "peer_rejected" : "peer_protocol_error",
           {{"peer", peer}, {"reason", reason.text}});
}

void PeerNetwork::Private::Stop() {
  stopped = true;
  boost::system::error_code ignored;
  acceptor.close(ignored);
  for (const SocketPointer& it : sockets)
    it->close(ignored);
  for (auto& [address, it] : outboxes)
    it.wake->cancel();
}

asio::awaitable<void> PeerNetwork::Private::Accept() {
  std::shared_ptr<Private> keep = shared_from_this();
  while (!stopped) {
    auto socket = std::make_shared<tcp::socket>(context);
    auto [ec] = co_await acceptor.async_accept(*socket, kTuple);
    if (ec == asio::error::operation_aborted)
      co_return;
    if (ec || sockets.size() >= kPeerMaxConnections)
      continue;
    asio::co_spawn(context, Receive(socket), asio::detached);
  }
}

asio::awaitable<void> PeerNetwork::Private::Receive(SocketPointer socket) {
  std::shared_ptr<Private> keep = shared_from_this();
  boost::system::error_code ec;
  const std::string peer = ToText(socket->remote_endpoint(ec));
  sockets.insert(socket);
  ConfigureSocket(*socket);
  Reason reason;
  std::optional<bool> proved =
      co_await PerformHandshake(socket, PeerRole::kAccepts, key, &reason);
  while (proved && !stopped) {
    std::size_t bytes = 0;
    std::optional<PeerFrame> frame =
        co_await ReadFrame(*socket, kPeerMaxFrameBytes, &bytes, &reason);
    if (!frame || stopped)
      break;
    ++counters.frames_received;
    counters.bytes_received += bytes;
    on_frame(*frame);
  }
  CountFault(reason, peer);
  CloseSocket(socket);
  sockets.erase(socket);
}

asio::awaitable<SocketPointer> PeerNetwork::Private::Connect(
    std::string address) {
  std::optional<tcp::endpoint> endpoint = ParseEndpoint(address);
  if (!endpoint)
    co_return nullptr;
  auto socket = std::make_shared<tcp::socket>(context);
  asio::steady_timer timer(context, kPeerConnectTimeout);
  timer.async_wait([socket](const boost::system::error_code& ec) {
    if (!ec)
      CloseSocket(socket);
  });
  auto [ec] = co_await socket->async_connect(*endpoint, kTuple);
  timer.cancel();
  if (ec)
    co_return nullptr;
  ConfigureSocket(*socket);
  Reason reason;
  std::optional<bool> proved =
      co_await PerformHandshake(socket, PeerRole::kConnects, key, &reason);
  if (proved)
    co_return socket;
  CountFault(reason, address);
  co_return nullptr;
}

// False if none came in time.
asio::awaitable<bool> PeerNetwork::Private::WaitForFrame(std::string address) {
  Outbox& outbox = outboxes[address];
  if (outbox.frames.empty()) {
    outbox.wake->expires_after(kPeerIdleTimeout);
    co_await outbox.wake->async_wait(kTuple);
  }
  co_return !stopped && !outbox.frames.empty();
}

// A peer sends nothing here, so whatever arrives ends the connection.
asio::awaitable<void> PeerNetwork::Private::Monitor(SocketPointer socket,
                                                    TimerPointer wake) {
  char byte = 0;
  co_await socket->async_read_some(asio::buffer(&byte, 1), kTuple);
  CloseSocket(socket);
  wake->cancel();
}

// Sends until the peer is idle or the connection ends. True if frames wait and
// a new connection is worth a try.
asio::awaitable<bool> PeerNetwork::Private::SendQueued(std::string address,
                                                       SocketPointer socket) {
  bool sent = false;
  while (co_await WaitForFrame(address)) {
    if (!socket->is_open())
      co_return sent;
    Outbox& outbox = outboxes[address];
    const std::string bytes = std::move(outbox.frames.front());
    outbox.frames.pop_front();
    outbox.bytes -= bytes.size();
    Reason reason;
    if (!co_await WriteFrame(*socket, bytes, &reason)) {
      ++counters.dropped;
      co_return sent && !outboxes[address].frames.empty();
    }
    sent = true;
    ++counters.frames_sent;
    counters.bytes_sent += bytes.size();
  }
  co_return false;
}

asio::awaitable<void> PeerNetwork::Private::Deliver(std::string address) {
  std::shared_ptr<Private> keep = shared_from_this();
  bool again = true;
  while (again && !stopped) {
    SocketPointer socket = co_await Connect(address);
    if (!socket) {
      ++counters.connect_failures;
      break;
    }
    sockets.insert(socket);
    asio::co_spawn(context, Monitor(socket, outboxes[address].wake),
                   asio::detached);
    again = co_await SendQueued(address, socket);
    CloseSocket(socket);
    sockets.erase(socket);
  }
  counters.dropped += outboxes[address].frames.size();
  outboxes.erase(address);
}

PeerNetwork::PeerNetwork(asio::io_context& context,
                         std::string key,
                         FrameHandler on_frame)
    : d_(std::make_shared<Private>(context,
                                   std::move(key),
                                   std::move(on_frame))) {}

PeerNetwork::~PeerNetwork() {
  d_->Stop();
}

std::optional<tcp::endpoint> PeerNetwork::Listen(tcp::endpoint endpoint,
                                                 Reason* reason) {
  boost::system::error_code ec;
  d_->acceptor.open(endpoint.protocol(), ec);
  if (!ec)
    d_->acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    d_->acceptor.bind(endpoint, ec);
  if (!ec)
    d_->acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec) {
    return Fail(reason, ResultCode::kSettingsInvalid,
                "cannot listen at " + ToText(endpoint) + ": " + ec.message());
  }
  asio::co_spawn(d_->context, d_->Accept(), asio::detached);
  return d_->acceptor.local_endpoint(ec);
}

void PeerNetwork::Send(const std::string& address, const PeerFrame& frame) {
  std::string bytes = EncodeFrame(frame);
  auto [it, added] = d_->outboxes.try_emplace(address);
  Outbox& outbox = it->second;
  if (outbox.bytes + bytes.size() > kPeerMaxQueuedBytes) {
    ++d_->counters.dropped;
    return;
  }
  outbox.bytes += bytes.size();
  outbox.frames.push_back(std::move(bytes));
  if (!added) {
    outbox.wake->cancel();
    return;
  }
  outbox.wake = std::make_shared<asio::steady_timer>(d_->context);
  asio::co_spawn(d_->context, d_->Deliver(address), asio::detached);
}

const PeerCounters& PeerNetwork::counters() const {
  return d_->counters;
}

}  // namespace turmericwinch
