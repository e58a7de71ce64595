#include "libs/peer/peer_handshake.h"

#include <utility>

#include "libs/base/digest.h"
#include "libs/peer/peer_constants.h"

namespace turmericwinch {

PeerHandshake::PeerHandshake(PeerRole role,
                             std::string key,
                             std::string challenge)
    : role_(role), key_(std::move(key)), challenge_(std::move(challenge)) {}

PeerHello PeerHandshake::Hello() const {
  return {kPeerVersion, challenge_};
}

std::string PeerHandshake::ProofOf(PeerRole role) const {
  const bool ours = role == role_;
  const std::string& prover = ours ? challenge_ : *other_challenge_;
  const std::string& checker = ours ? *other_challenge_ : challenge_;
  const char* side = role == PeerRole::kConnects ? "connects" : "accepts";
  return HmacSha256(key_,
                    std::string("peer|") + side + "|" + prover + "|" + checker);
}

std::optional<PeerProof> PeerHandshake::Answer(const PeerHello& hello,
                                               Reason* reason) {
  if (hello.version != kPeerVersion) {
    return Fail(reason, ResultCode::kPeerProtocol,
                "the peer speaks version " + std::to_string(hello.version) +
                    "; this host speaks " + std::to_string(kPeerVersion));
  }
  if (hello.challenge.size() != 2 * kPeerChallengeBytes) {
    return Fail(reason, ResultCode::kPeerProtocol,
                "the peer's challenge has the wrong length");
  }
  other_challenge_ = hello.challenge;
  return PeerProof{ProofOf(role_)};
}

std::optional<bool> PeerHandshake::Check(const PeerProof& proof,
                                         Reason* reason) const {
  const PeerRole other =
      role_ == PeerRole::kConnects ? PeerRole::kAccepts : PeerRole::kConnects;
  if (!other_challenge_ || !EqualInConstantTime(proof.proof, ProofOf(other))) {
    return Fail(reason, ResultCode::kPeerRejected,
                "the peer did not prove the fleet's key");
  }
  return true;
}

}  // namespace turmericwinch
