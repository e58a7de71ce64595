// This host's copy of the platform's host list, and its exchange with peers.

#ifndef SRC_LIBS_NODE_HOST_LIST_COPY_H_
#define SRC_LIBS_NODE_HOST_LIST_COPY_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libs/base/reason.h"
#include "libs/peer/peer_frame.h"
#include "libs/platform/platform_client.h"
#include "libs/routing/host_list.h"

namespace turmericwinch {

// Result of handling a part from a peer.
enum class HostListVerdict {
  // The list changed.
  kApplied,
  // The peer has the same list or an older one, or the part was ignored.
  kUnchanged,
  // A piece of the full list was added; the next one is to be requested.
  kIncomplete,
  // The changes do not apply to this list: the full list is to be requested.
  kGap,
  // The peer has no list or sent an invalid one.
  kUnusable
};

// Lists are compared by the digest of their sorted text and ordered by the
// platform's version. A list with a lower version is accepted only from the
// platform, or from a peer whose copy the platform confirmed at most
// kHostListMaxFreshAge ago: a restored platform counts from a lower version.
// Reads no clock and does no I/O.
class HostListCopy {
 public:
  // Applies the platform's answer, whatever its version. Returns the changes to
  // send to other hosts: a part without text if nothing changed. Reasons:
  // kPlatformRejected.
  std::optional<HostListPart> HandlePlatformAnswer(const PlatformHosts& hosts,
                                                   Reason* reason);
  HostListVerdict HandlePart(const HostListPart& part);

  // The next request to a peer, and the part that answers a peer's request. The
  // caller fills in `peer` and `age`.
  HostListRequest NextRequest() const;
  HostListPart MakePart(const HostListRequest& request) const;

  bool known() const { return !digest_.empty(); }
  const HostList& list() const { return list_; }
  const std::string& digest() const { return digest_; }
  StoreVersion version() const { return version_; }

 private:
  void SetList(HostList list);
  bool IsOlder(const HostListPart& part) const;
  HostListVerdict ApplyPeerChanges(const HostListPart& part);
  HostListVerdict AddPiece(const HostListPart& part);

  HostList list_;
  std::string text_;
  std::string digest_;
  StoreVersion version_;
  // The pieces received so far of a full list, and the digest of that list.
  std::string partial_;
  std::string partial_digest_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_HOST_LIST_COPY_H_
