// What one frame between two hosts can carry.

#ifndef SRC_LIBS_PEER_PEER_FRAME_H_
#define SRC_LIBS_PEER_PEER_FRAME_H_

#include <chrono>
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

// What became of a request that may crash targets: it is refused for `hold`
// if that is above 0; else it was lost with `target`, or answered if that is
// empty. `relay` asks to pass it on to the receiver's failure domain.
struct QuarantineNotice {
  std::string digest;
  std::string target;
  std::chrono::milliseconds hold{0};
  bool relay = false;
};

// Asks `peer`'s list unless it has `digest`; `offset` continues the text whose
// digest is `part_of`.
struct HostListRequest {
  std::string digest;
  std::string part_of;
  std::uint64_t offset = 0;
  std::string peer;
};

// With `base`: changes from the list of that digest to the one of `digest`.
// Without: a piece of the list's text, or no text if the asker has the same. An
// empty digest: the sender has no list. `age` is the time since the sender had
// the platform's word on it.
struct HostListPart {
  std::uint64_t version = 0;
  std::chrono::milliseconds age{0};
  std::string base;
  std::string digest;
  std::uint64_t offset = 0;
  std::uint64_t total = 0;
  std::string text;
  std::string peer;
};

using PeerFrame = std::variant<PeerHello,
                               PeerProof,
                               MembershipMessage,
                               ConfigNotice,
                               ConfigRequest,
                               ConfigPart,
                               QuarantineNotice,
                               HostListRequest,
                               HostListPart,
                               LoanRequest,
                               LoanResponse>;

}  // namespace turmericwinch

#endif  // SRC_LIBS_PEER_PEER_FRAME_H_
