#include "libs/peer/peer_handshake.h"

#include "libs/peer/peer_constants.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

const std::string kChallengeA(2 * kPeerChallengeBytes, 'a');
const std::string kChallengeB(2 * kPeerChallengeBytes, 'b');

}  // namespace

TEST_GROUP(PeerHandshake) {
  Reason reason;
};

TEST(PeerHandshake, SidesWithSameKeyAcceptEachOther) {
  PeerHandshake initiator(PeerRole::kInitiator, "key", kChallengeA);
  PeerHandshake acceptor(PeerRole::kAcceptor, "key", kChallengeB);
  auto initiator_proof = initiator.MakeProof(acceptor.MakeHello(), &reason);
  auto acceptor_proof = acceptor.MakeProof(initiator.MakeHello(), &reason);
  CHECK(initiator_proof && acceptor_proof);
  CHECK(acceptor.VerifyProof(*initiator_proof, &reason).has_value());
  CHECK(initiator.VerifyProof(*acceptor_proof, &reason).has_value());
}

TEST(PeerHandshake, ProofWithAnotherKeyIsRejected) {
  PeerHandshake initiator(PeerRole::kInitiator, "wrong", kChallengeA);
  PeerHandshake acceptor(PeerRole::kAcceptor, "key", kChallengeB);
  auto initiator_proof = initiator.MakeProof(acceptor.MakeHello(), &reason);
  acceptor.MakeProof(initiator.MakeHello(), &reason);
  CHECK(!acceptor.VerifyProof(*initiator_proof, &reason));
  CHECK(reason.code == ResultCode::kPeerRejected);
}

TEST(PeerHandshake, ReflectedAndReplayedProofsAreRejected) {
  PeerHandshake acceptor(PeerRole::kAcceptor, "key", kChallengeB);
  auto reflected = acceptor.MakeProof(acceptor.MakeHello(), &reason);
  CHECK(!acceptor.VerifyProof(*reflected, &reason));
  PeerHandshake initiator(PeerRole::kInitiator, "key", kChallengeA);
  auto old = initiator.MakeProof(acceptor.MakeHello(), &reason);
  PeerHandshake later(PeerRole::kAcceptor, "key",
                      std::string(2 * kPeerChallengeBytes, 'c'));
  later.MakeProof(initiator.MakeHello(), &reason);
  CHECK(!later.VerifyProof(*old, &reason));
}

TEST(PeerHandshake, UnknownVersionOrShortChallengeIsAnError) {
  PeerHandshake initiator(PeerRole::kInitiator, "key", kChallengeA);
  CHECK(!initiator.MakeProof({kPeerVersion + 1, kChallengeB}, &reason));
  CHECK(reason.code == ResultCode::kPeerProtocol);
  CHECK(!initiator.MakeProof({kPeerVersion, ""}, &reason));
  CHECK(!initiator.VerifyProof({"anything"}, &reason));
}

}  // namespace turmericwinch
