#include "libs/peer/peer_handshake.h"

#include <utility>

#include "libs/base/digest.h"
#include "libs/peer/peer_constants.h"

namespace turmericwinch {

PeerHandshake::PeerHandshake(PeerRole role,
                             std::string key,
                             std::string challenge)
    : role_(role), key_(std::move(key)), challenge_(std::move(challenge)) {}

PeerHello PeerHandshake::MakeHello() const {
  return {kPeerVersion, challenge_};
}

std::string PeerHandshake::ComputeProof(PeerRole role) const {
  const bool own_role = role == role_;
  const std::string& prover_challenge =
      own_role ? challenge_ : *peer_challenge_;
  const std::string& verifier_challenge =
      own_role ? *peer_challenge_ : challenge_;
  const char* role_text = role == PeerRole::kInitiator ? "connects" : "accepts";
  return HmacSha256(key_, std::string("peer|") + role_text + "|" +
                              prover_challenge + "|" + verifier_challenge);
}

std::optional<PeerProof> PeerHandshake::MakeProof(const PeerHello& hello,
                                                  Reason* reason) {
  if (hello.version != kPeerVersion) {
    return Fail(reason, ResultCode::kPeerProtocol,
                "the peer uses protocol version " +
                    std::to_string(hello.version) + "; this host uses " +
                    std::to_string(kPeerVersion));
  }
  if (hello.challenge.size() != 2 * kPeerChallengeBytes) {
    return Fail(
        reason, ResultCode::kPeerProtocol,
        "the peer's challenge has " + std::to_string(hello.challenge.size()) +
            " characters, not " + std::to_string(2 * kPeerChallengeBytes));
  }
  peer_challenge_ = hello.challenge;
  return PeerProof{ComputeProof(role_)};
}

std::optional<bool> PeerHandshake::VerifyProof(const PeerProof& proof,
                                               Reason* reason) const {
  const PeerRole other = role_ == PeerRole::kInitiator ? PeerRole::kAcceptor
                                                       : PeerRole::kInitiator;
  if (!peer_challenge_ ||
      !EqualInConstantTime(proof.proof, ComputeProof(other))) {
    return Fail(reason, ResultCode::kPeerRejected,
                "the peer did not prove that it has the fleet key");
  }
  return true;
}

}  // namespace turmericwinch
