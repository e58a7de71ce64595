// Proves to a peer that this host has the fleet's key, and checks the peer.

#ifndef SRC_LIBS_PEER_PEER_HANDSHAKE_H_
#define SRC_LIBS_PEER_PEER_HANDSHAKE_H_

#include <optional>
#include <string>

#include "libs/base/reason.h"
#include "libs/peer/peer_frame.h"

namespace turmericwinch {

enum class PeerRole { kConnects, kAccepts };

// One side of one connection. Each side sends a challenge and answers the
// other's with an HMAC-SHA-256 over the role and both challenges, so that an
// answer can neither be replayed nor be reflected. Free of sockets.
class PeerHandshake {
 public:
  // `challenge` must be new and random.
  PeerHandshake(PeerRole role, std::string key, std::string challenge);

  PeerHello Hello() const;
  // This side's proof. Nothing, with kPeerProtocol, if the peer speaks another
  // version.
  std::optional<PeerProof> Answer(const PeerHello& hello, Reason* reason);
  // Whether the peer has the key; the reason is kPeerRejected.
  std::optional<bool> Check(const PeerProof& proof, Reason* reason) const;

 private:
  std::string ProofOf(PeerRole role) const;

  PeerRole role_;
  std::string key_;
  std::string challenge_;
  std::optional<std::string> other_challenge_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_PEER_PEER_HANDSHAKE_H_
