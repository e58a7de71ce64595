#include "libs/peer/peer_network.h"

#include <boost/asio.hpp>

#include "libs/http/http_client.h"
#include "libs/peer/peer_codec.h"
#include "libs/peer/peer_constants.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::chrono::seconds kRunLimit{10};

const PeerFrame kNotice = ConfigNotice{4, "digest", "127.0.0.1:1"};

tcp::endpoint Loopback() {
  return {asio::ip::address_v4::loopback(), 0};
}

// A frame of `payload` bytes of zeros.
std::string ZeroFrame(std::uint32_t payload) {
  std::string bytes(kPeerLengthBytes, '\0');
  for (std::size_t n = 0; n < kPeerLengthBytes; ++n)
    bytes[kPeerLengthBytes - 1 - n] = static_cast<char>(payload >> (8 * n));
  return bytes + std::string(std::min<std::uint32_t>(payload, 64), '\0');
}

}  // namespace

TEST_GROUP(PeerNetwork) {
  asio::io_context context;
  Reason reason;
  int received = 0;

  void RunUntil(const std::function<bool()>& done) {
    const auto deadline = std::chrono::steady_clock::now() + kRunLimit;
    while (!done() && std::chrono::steady_clock::now() < deadline) {
      // A context that ran out of work has stopped.
      context.restart();
      context.run_for(std::chrono::milliseconds(5));
    }
    CHECK(done());
  }
};

TEST(PeerNetwork, FramesArriveInOrderAndAreCounted) {
  std::vector<std::uint64_t> generations;
  PeerNetwork server(context, "key", [&](const PeerFrame& frame) {
    generations.push_back(std::get<ConfigNotice>(frame).generation);
  });
  PeerNetwork client(context, "key", [](const PeerFrame&) {});
  auto address = server.Listen(Loopback(), &reason);
  CHECK(address.has_value());
  for (std::uint64_t n = 0; n < 3; ++n)
    client.Send(ToText(*address), ConfigNotice{n, "", ""});
  RunUntil([&] { return generations.size() == 3; });
  LONGS_EQUAL(0, generations[0]);
  LONGS_EQUAL(2, generations[2]);
  LONGS_EQUAL(3, client.counters().frames_sent);
  LONGS_EQUAL(client.counters().bytes_sent, server.counters().bytes_received);
}

TEST(PeerNetwork, PeerWithAnotherKeyIsRejected) {
  PeerNetwork server(context, "key", [&](const PeerFrame&) { ++received; });
  PeerNetwork client(context, "other", [](const PeerFrame&) {});
  auto address = server.Listen(Loopback(), &reason);
  client.Send(ToText(*address), kNotice);
  RunUntil([&] { return server.counters().rejected == 1; });
  RunUntil([&] { return client.counters().connect_failures == 1; });
  LONGS_EQUAL(0, received);
  LONGS_EQUAL(1, client.counters().dropped);
}

TEST(PeerNetwork, BadBytesEndTheConnectionAndAreCounted) {
  const std::string cases[] = {
      ZeroFrame(0xffffffff),
      ZeroFrame(32),
      ZeroFrame(kPeerMaxHandshakeFrameBytes + 1),
      EncodeFrame(PeerHello{kPeerVersion + 1, std::string(32, 'a')}),
      EncodeFrame(kNotice),
  };
  PeerNetwork server(context, "key", [&](const PeerFrame&) { ++received; });
  auto address = server.Listen(Loopback(), &reason);
  std::uint64_t expected = 0;
  for (const std::string& it : cases) {
    tcp::socket socket(context);
    socket.connect(*address);
    asio::write(socket, asio::buffer(it));
    ++expected;
    RunUntil([&] { return server.counters().protocol_errors == expected; });
  }
  LONGS_EQUAL(0, received);
}

TEST(PeerNetwork, FrameThatEndsEarlyIsCounted) {
  PeerNetwork server(context, "key", [&](const PeerFrame&) { ++received; });
  auto address = server.Listen(Loopback(), &reason);
  tcp::socket socket(context);
  socket.connect(*address);
  asio::write(socket, asio::buffer(ZeroFrame(200)));
  socket.shutdown(tcp::socket::shutdown_send);
  RunUntil([&] { return server.counters().protocol_errors == 1; });
  LONGS_EQUAL(0, received);
}

TEST(PeerNetwork, ReconnectsAfterThePeerWasReplaced) {
  auto hook = [&](const PeerFrame&) { ++received; };
  auto server = std::make_unique<PeerNetwork>(context, "key", hook);
  PeerNetwork client(context, "key", [](const PeerFrame&) {});
  auto address = server->Listen(Loopback(), &reason);
  client.Send(ToText(*address), kNotice);
  RunUntil([&] { return received == 1; });
  server.reset();
  context.run_for(std::chrono::milliseconds(20));
  server = std::make_unique<PeerNetwork>(context, "key", hook);
  CHECK(server->Listen(*address, &reason).has_value());
  client.Send(ToText(*address), kNotice);
  RunUntil([&] { return received == 2; });
  LONGS_EQUAL(0, client.counters().dropped);
}

}  // namespace turmericwinch
