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

// Encoded frames that are waiting to be sent to one peer.
struct SendQueue {
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

  asio::awaitable<void> AcceptConnections();
  asio::awaitable<void> ReceiveFrames(SocketPointer socket);
  asio::awaitable<void> RunSender(std::string address);
  asio::awaitable<SocketPointer> Connect(std::string address);
  asio::awaitable<void> CloseOnReceive(SocketPointer socket, TimerPointer wake);
  asio::awaitable<bool> SendQueued(std::string address, SocketPointer socket);
  asio::awaitable<bool> WaitForFrame(std::string address);
  void RecordFailure(const Reason& reason, const std::string& peer);
  // Queues an encoded frame, and starts to send if nothing is being sent.
  void Queue(const std::string& address, std::string bytes);
  void Stop();

  asio::io_context& context;
  tcp::acceptor acceptor;
  std::string key;
  FrameHandler on_frame;
  std::map<std::string, SendQueue> send_queues;
  std::set<SocketPointer> sockets;
  PeerCounters counters;
  bool stopped = false;
};

void PeerNetwork::Private::RecordFailure(const Reason& reason,
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
  for (auto& [address, it] : send_queues)
    it.wake->cancel();
}

asio::awaitable<void> PeerNetwork::Private::AcceptConnections() {
  std::shared_ptr<Private> self = shared_from_this();
  while (!stopped) {
    auto socket = std::make_shared<tcp::socket>(context);
    auto [ec] = co_await acceptor.async_accept(*socket, kTuple);
    if (ec == asio::error::operation_aborted)
      co_return;
    if (ec || sockets.size() >= kPeerMaxConnections)
      continue;
    asio::co_spawn(context, ReceiveFrames(socket), asio::detached);
  }
}

asio::awaitable<void> PeerNetwork::Private::ReceiveFrames(
    SocketPointer socket) {
  std::shared_ptr<Private> self = shared_from_this();
  boost::system::error_code ec;
  const std::string peer = ToText(socket->remote_endpoint(ec));
  sockets.insert(socket);
  ConfigureSocket(*socket);
  Reason reason;
  std::optional<bool> authenticated =
      co_await PerformHandshake(socket, PeerRole::kAcceptor, key, &reason);
  while (authenticated && !stopped) {
    std::size_t bytes = 0;
    std::optional<PeerFrame> frame =
        co_await ReadFrame(*socket, kPeerMaxFrameBytes, &bytes, &reason);
    if (!frame || stopped)
      break;
    ++counters.frames_received;
    counters.bytes_received += bytes;
    on_frame(*frame);
  }
  RecordFailure(reason, peer);
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
  std::optional<bool> authenticated =
      co_await PerformHandshake(socket, PeerRole::kInitiator, key, &reason);
  if (authenticated)
    co_return socket;
  RecordFailure(reason, address);
  co_return nullptr;
}

// Waits until a frame is queued. False if none was within kPeerIdleTimeout.
asio::awaitable<bool> PeerNetwork::Private::WaitForFrame(std::string address) {
  SendQueue& queue = send_queues[address];
  if (queue.frames.empty()) {
    queue.wake->expires_after(kPeerIdleTimeout);
    co_await queue.wake->async_wait(kTuple);
  }
  co_return !stopped && !queue.frames.empty();
}

// The accepting side sends nothing after the handshake, so any received byte,
// end of stream or error closes the connection.
asio::awaitable<void> PeerNetwork::Private::CloseOnReceive(SocketPointer socket,
                                                           TimerPointer wake) {
  char byte = 0;
  co_await socket->async_read_some(asio::buffer(&byte, 1), kTuple);
  CloseSocket(socket);
  wake->cancel();
}

// Sends queued frames until none is queued for kPeerIdleTimeout or the
// connection ends. True if the connection ended after at least one frame was
// sent and a new connection should be tried.
asio::awaitable<bool> PeerNetwork::Private::SendQueued(std::string address,
                                                       SocketPointer socket) {
  bool sent = false;
  while (co_await WaitForFrame(address)) {
    if (!socket->is_open())
      co_return sent;
    SendQueue& queue = send_queues[address];
    const std::string bytes = std::move(queue.frames.front());
    queue.frames.pop_front();
    queue.bytes -= bytes.size();
    Reason reason;
    if (!co_await WriteFrame(*socket, bytes, &reason)) {
      ++counters.dropped;
      co_return sent && !send_queues[address].frames.empty();
    }
    sent = true;
    ++counters.frames_sent;
    counters.bytes_sent += bytes.size();
  }
  co_return false;
}

asio::awaitable<void> PeerNetwork::Private::RunSender(std::string address) {
  std::shared_ptr<Private> self = shared_from_this();
  bool reconnect = true;
  while (reconnect && !stopped) {
    SocketPointer socket = co_await Connect(address);
    if (!socket) {
      ++counters.connect_failures;
      break;
    }
    sockets.insert(socket);
    asio::co_spawn(context, CloseOnReceive(socket, send_queues[address].wake),
                   asio::detached);
    reconnect = co_await SendQueued(address, socket);
    CloseSocket(socket);
    sockets.erase(socket);
  }
  counters.dropped += send_queues[address].frames.size();
  send_queues.erase(address);
}

void PeerNetwork::Private::Queue(const std::string& address,
                                 std::string bytes) {
  auto [it, added] = send_queues.try_emplace(address);
  SendQueue& queue = it->second;
  if (queue.bytes + bytes.size() > kPeerMaxQueuedBytes) {
    ++counters.dropped;
    return;
  }
  queue.bytes += bytes.size();
  queue.frames.push_back(std::move(bytes));
  if (!added) {
    queue.wake->cancel();
    return;
  }
  queue.wake = std::make_shared<asio::steady_timer>(context);
  asio::co_spawn(context, RunSender(address), asio::detached);
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
                "cannot listen on " + ToText(endpoint) + ": " + ec.message());
  }
  asio::co_spawn(d_->context, d_->AcceptConnections(), asio::detached);
  return d_->acceptor.local_endpoint(ec);
}

void PeerNetwork::Send(const std::string& address, const PeerFrame& frame) {
  d_->Queue(address, EncodeFrame(frame));
}

void PeerNetwork::SendToEach(const std::vector<std::string>& addresses,
                             const PeerFrame& frame) {
  const std::string bytes = EncodeFrame(frame);
  for (const std::string& it : addresses)
    d_->Queue(it, bytes);
}

const PeerCounters& PeerNetwork::counters() const {
  return d_->counters;
}

}  // namespace turmericwinch
