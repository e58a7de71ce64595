// This host's copy of the platform's host list, and what of it goes to peers.

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

// What became of a part from a peer.
enum class HostListVerdict {
  // The list is another one now.
  kTaken,
  // The list is confirmed, or the peer's is an older one.
  kSame,
  // A piece of the whole list came, and more is to be asked for.
  kMore,
  // The changes do not fit: the whole list is to be asked for.
  kGap,
  // The peer has no list or sent a wrong one.
  kUseless
};

// Lists are compared by the digest of their sorted text and ordered by the
// platform's version. An older list than this host's is taken only from the
// platform, or from a peer that just had the platform's word: a platform that
// was restored counts from a lower version. Knows no clock and does no I/O.
class HostListCopy {
 public:
  // Takes the platform's answer, whatever its version. Answers the changes for
  // the other hosts: a part without text if nothing changed. Reasons:
  // kPlatformRejected.
  std::optional<HostListPart> TakePlatform(const PlatformHosts& hosts,
                                           Reason* reason);
  HostListVerdict TakePart(const HostListPart& part);

  // What to ask a peer for next, and what to answer it; `peer` and `age` are
  // the caller's to fill in.
  HostListRequest Ask() const;
  HostListPart Answer(const HostListRequest& ask) const;

  bool known() const { return !digest_.empty(); }
  const HostList& list() const { return list_; }
  const std::string& digest() const { return digest_; }
  std::uint64_t version() const { return version_; }

 private:
  void Put(HostList list);
  bool IsOlder(const HostListPart& part) const;
  HostListVerdict TakeChanges(const HostListPart& part);
  HostListVerdict TakePiece(const HostListPart& part);

  HostList list_;
  std::string text_;
  std::string digest_;
  std::uint64_t version_ = 0;
  // A whole list of which pieces came.
  std::string partial_;
  std::string partial_digest_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_HOST_LIST_COPY_H_
