// Mutual authentication of two hosts by the shared fleet key.

#ifndef SRC_LIBS_PEER_PEER_HANDSHAKE_H_
#define SRC_LIBS_PEER_PEER_HANDSHAKE_H_

#include <optional>
#include <string>

#include "libs/base/reason.h"
#include "libs/peer/peer_frame.h"

namespace turmericwinch {

enum class PeerRole { kInitiator, kAcceptor };

// One side of the handshake on one connection. Each side sends a challenge and
// responds to the other's with an HMAC-SHA-256 over its role and both
// challenges, so that a proof can be neither replayed nor reflected. Uses no
// sockets.
class PeerHandshake {
 public:
  // `challenge` must be random and not used before.
  PeerHandshake(PeerRole role, std::string key, std::string challenge);

  PeerHello MakeHello() const;
  // This side's proof. Fails with kPeerProtocol if the peer uses another
  // protocol version or a challenge of the wrong length.
  std::optional<PeerProof> MakeProof(const PeerHello& hello, Reason* reason);
  // Fails with kPeerRejected unless `proof` shows that the peer has the key.
  std::optional<bool> VerifyProof(const PeerProof& proof, Reason* reason) const;

 private:
  std::string ComputeProof(PeerRole role) const;

  PeerRole role_;
  std::string key_;
  std::string challenge_;
  std::optional<std::string> peer_challenge_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_PEER_PEER_HANDSHAKE_H_
