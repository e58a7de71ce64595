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

TEST(PeerHandshake, BothSidesWithTheKeyAgree) {
  PeerHandshake left(PeerRole::kConnects, "key", kChallengeA);
  PeerHandshake right(PeerRole::kAccepts, "key", kChallengeB);
  auto from_left = left.Answer(right.Hello(), &reason);
  auto from_right = right.Answer(left.Hello(), &reason);
  CHECK(from_left && from_right);
  CHECK(right.Check(*from_left, &reason).has_value());
  CHECK(left.Check(*from_right, &reason).has_value());
}

TEST(PeerHandshake, AnotherKeyIsRejected) {
  PeerHandshake left(PeerRole::kConnects, "wrong", kChallengeA);
  PeerHandshake right(PeerRole::kAccepts, "key", kChallengeB);
  auto from_left = left.Answer(right.Hello(), &reason);
  right.Answer(left.Hello(), &reason);
  CHECK(!right.Check(*from_left, &reason));
  CHECK(reason.code == ResultCode::kPeerRejected);
}

TEST(PeerHandshake, ReflectedAndReplayedProofsAreRejected) {
  PeerHandshake right(PeerRole::kAccepts, "key", kChallengeB);
  auto reflected = right.Answer(right.Hello(), &reason);
  CHECK(!right.Check(*reflected, &reason));
  PeerHandshake left(PeerRole::kConnects, "key", kChallengeA);
  auto old = left.Answer(right.Hello(), &reason);
  PeerHandshake later(PeerRole::kAccepts, "key",
                      std::string(2 * kPeerChallengeBytes, 'c'));
  later.Answer(left.Hello(), &reason);
  CHECK(!later.Check(*old, &reason));
}

TEST(PeerHandshake, UnknownVersionOrShortChallengeIsAnError) {
  PeerHandshake left(PeerRole::kConnects, "key", kChallengeA);
  CHECK(!left.Answer({kPeerVersion + 1, kChallengeB}, &reason));
  CHECK(reason.code == ResultCode::kPeerProtocol);
  CHECK(!left.Answer({kPeerVersion, ""}, &reason));
  CHECK(!left.Check({"anything"}, &reason));
}

}  // namespace turmericwinch
