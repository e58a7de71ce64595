// Contents of a frame between two hosts.

#ifndef SRC_LIBS_PEER_PEER_FRAME_H_
#define SRC_LIBS_PEER_PEER_FRAME_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libs/base/store_version.h"
#include "libs/budget/fleet_account.h"
#include "libs/budget/loan_message.h"
#include "libs/delivery/prompt_part_quarantine.h"
#include "libs/delivery/target_crash.h"
#include "libs/membership/membership_message.h"

namespace turmericwinch {

// First frame that each side sends.
struct PeerHello {
  std::int32_t version = 0;
  std::string challenge;
};

// Response to the other side's challenge.
struct PeerProof {
  std::string proof;
};

// Announces that `generation` is in force at `peer`. `digest` is that of its
// manifest.
struct ConfigNotice {
  std::uint64_t generation = 0;
  std::string digest;
  std::string peer;
};

// Requests the manifest or chunk with `digest`; the response goes to `peer`.
struct ConfigRequest {
  std::string digest;
  std::string peer;
};

// A manifest or chunk from `peer`; `found` is false if `peer` does not have it.
struct ConfigPart {
  std::string digest;
  bool found = false;
  std::string text;
  std::string peer;
};

// Outcome of a request that may crash targets. If `hold` is above 0, the
// request is rejected for that long. Otherwise, `target` is the target that was
// lost while the request was in flight, or empty if the request was answered.
// `relay` asks the receiver to forward the notice within its failure domain.
struct QuarantineNotice {
  std::string digest;
  std::string target;
  std::chrono::milliseconds hold{0};
  bool relay = false;
};

// A target crashed while the sender's requests were in flight at it.
struct CrashNotice {
  TargetCrash crash;
};

// `quarantined` crash the targets that answer requests with them. Requests with
// `answered` got their whole answers.
struct PromptPartNotice {
  std::vector<QuarantinedPart> quarantined;
  std::vector<AnsweredPart> answered;
};

// The target takes `limit` requests per second from all hosts together; without
// a value it has ended its limit. `age` is the time since it said so.
struct NamedRateLimit {
  std::string target;
  std::string incarnation;
  std::optional<double> limit;
  std::chrono::milliseconds age{0};
};

// The requests per second that callers send to each service at the host `peer`,
// and the rate limits of targets that it knows.
struct RateLimitNotice {
  std::string peer;
  std::map<std::string, double> demands;
  std::vector<NamedRateLimit> limits;
};

// Asks the receiver to list the process `holder` in the fleet account with its
// next write.
struct HostIntroduction {
  std::string holder;
  FleetHeartbeat heartbeat;
  // Earlier processes of that host, whose rows the write closes.
  std::vector<std::string> ended;
};

// What the host `host`, of the same failure domain, knows of the store. The
// versions are those of the configuration, of the quarantine and of the list of
// targets; the list last changed at `targets_changed`. `changes` are its
// changes since `changes_from` (see PlatformHosts::text), or empty. `outage` is
// the version of the first list after the store's last outage, not set if there
// was none. `evacuated` are the evacuated failure domains, known to hold for
// the version `evacuations` of the store, which is not set if they are not
// known. `age` is the time since the store last answered the sender, `sent` the
// time since it booted.
struct StoreNews {
  std::string host;
  std::chrono::milliseconds sent{0};
  std::chrono::milliseconds age{0};
  StoreVersion config;
  StoreVersion quarantine;
  StoreVersion targets;
  StoreVersion targets_changed;
  StoreVersion changes_from;
  std::string changes;
  StoreVersion outage;
  StoreVersion evacuations;
  std::vector<std::string> evacuated;

  // Whether it says nothing of the other objects, as news to hosts of other
  // failure domains do.
  bool IsOfEvacuationsOnly() const {
    return evacuations.IsSet() && !config.IsSet() && !quarantine.IsSet() &&
           !targets.IsSet();
  }
};

// Requests the receiver's host list unless its digest is `digest`; the response
// goes to `peer`. `offset` is the position from which the text with digest
// `part_of` is to be continued.
struct HostListRequest {
  std::string digest;
  std::string part_of;
  std::uint64_t offset = 0;
  std::string peer;
};

// With `base`, the changes from the list with that digest to the list with
// digest `digest`. Without `base`, a piece of the list's text; an empty text
// means that the requesting host already has this list. An empty `digest` means
// that the sender has no list. `age` is the time since the list was last
// confirmed by the platform.
struct HostListPart {
  StoreVersion version;
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
                               CrashNotice,
                               PromptPartNotice,
                               RateLimitNotice,
                               StoreNews,
                               HostIntroduction,
                               HostListRequest,
                               HostListPart,
                               LoanRequest,
                               LoanResponse>;

}  // namespace turmericwinch

#endif  // SRC_LIBS_PEER_PEER_FRAME_H_
