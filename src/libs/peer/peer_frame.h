// What one frame between two hosts can carry.

#ifndef SRC_LIBS_PEER_PEER_FRAME_H_
#define SRC_LIBS_PEER_PEER_FRAME_H_

#include <cstdint>
#include <string>
#include <variant>

#include "libs/budget/loan_message.h"
#include "libs/membership/membership_message.h"

namespace turmericwinch {

// First frame from either side.
struct PeerHello {
  std::int32_t version = 0;
  std::string challenge;
};

// Answer to the other side's challenge.
struct PeerProof {
  std::string proof;
};

// "This generation is in force at `peer`." `digest` is of its manifest.
struct ConfigNotice {
  std::uint64_t generation = 0;
  std::string digest;
  std::string peer;
};

// Asks for the manifest or chunk with `digest`; the answer goes to `peer`.
struct ConfigRequest {
  std::string digest;
  std::string peer;
};

// A manifest or chunk from `peer`; not `found` if it has none.
struct ConfigPart {
  std::string digest;
  bool found = false;
  std::string text;
  std::string peer;
};

using PeerFrame = std::variant<PeerHello,
                               PeerProof,
                               MembershipMessage,
                               ConfigNotice,
                               ConfigRequest,
                               ConfigPart,
                               LoanAsk,
                               LoanAnswer>;

}  // namespace turmericwinch

#endif  // SRC_LIBS_PEER_PEER_FRAME_H_
