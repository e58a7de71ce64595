#include "libs/node/host_list_copy.h"

#include <algorithm>

#include "libs/base/digest.h"
#include "libs/node/node_constants.h"
#include "libs/routing/host_list_change.h"

namespace turmericwinch {

void HostListCopy::Put(HostList list) {
  list_ = std::move(list);
  text_ = ToJson(list_);
  digest_ = Sha256Hex(text_);
}

std::optional<HostListPart> HostListCopy::TakePlatform(
    const PlatformHosts& hosts,
    Reason* reason) {
  HostListPart part;
  part.base = digest_;
  std::vector<HostListChange> changes;
  HostList list;
  if (hosts.is_whole) {
    std::optional<HostList> whole = ParseHostList(hosts.text, reason);
    if (!whole)
      return std::nullopt;
    list = std::move(*whole);
    SortByName(&list);
    changes = DiffHostLists(list_, list);
  } else if (!hosts.text.empty()) {
    auto read = ParseHostListChanges(hosts.text, reason);
    if (!read)
      return std::nullopt;
    changes = std::move(*read);
    list = list_;
    ApplyChanges(changes, &list);
  }
  version_ = hosts.version;
  if (!changes.empty() || (!known() && hosts.is_whole))
    Put(std::move(list));
  part.version = version_;
  part.digest = digest_;
  if (!changes.empty())
    part.text = ToJson(changes);
  return part;
}

bool HostListCopy::IsOlder(const HostListPart& part) const {
  return part.version < version_ && part.age > kHostListMaxFreshAge;
}

HostListVerdict HostListCopy::TakePart(const HostListPart& part) {
  if (part.digest.empty())
    return HostListVerdict::kUseless;
  if (part.digest == digest_) {
    if (!IsOlder(part))
      version_ = part.version;
    return HostListVerdict::kSame;
  }
  if (!part.base.empty())
    return TakeChanges(part);
  if (known() && IsOlder(part))
    return HostListVerdict::kSame;
  return TakePiece(part);
}

HostListVerdict HostListCopy::TakeChanges(const HostListPart& part) {
  // Two readers send the same changes, perhaps in other steps.
  if (part.version < version_)
    return HostListVerdict::kSame;
  if (part.base != digest_)
    return HostListVerdict::kGap;
  Reason reason;
  auto changes = ParseHostListChanges(part.text, &reason);
  if (!changes)
    return HostListVerdict::kUseless;
  HostList list = list_;
  ApplyChanges(*changes, &list);
  if (Sha256Hex(ToJson(list)) != part.digest)
    return HostListVerdict::kGap;
  Put(std::move(list));
  version_ = part.version;
  return HostListVerdict::kTaken;
}

HostListVerdict HostListCopy::TakePiece(const HostListPart& part) {
  if (part.text.empty() || part.total > kHostListMaxBytes)
    return HostListVerdict::kUseless;
  if (part.digest != partial_digest_ || part.offset == 0) {
    partial_.clear();
    partial_digest_ = part.digest;
  }
  // Answers to two asks may come one after the other.
  if (part.offset != partial_.size())
    return HostListVerdict::kSame;
  partial_ += part.text;
  if (partial_.size() < part.total)
    return HostListVerdict::kMore;
  const std::string text = std::move(partial_);
  partial_.clear();
  partial_digest_.clear();
  Reason reason;
  std::optional<HostList> list = ParseHostList(text, &reason);
  if (!list || Sha256Hex(text) != part.digest)
    return HostListVerdict::kUseless;
  Put(std::move(*list));
  version_ = part.version;
  return HostListVerdict::kTaken;
}

HostListRequest HostListCopy::Ask() const {
  return {digest_, partial_digest_, partial_.size(), ""};
}

HostListPart HostListCopy::Answer(const HostListRequest& ask) const {
  HostListPart part;
  part.version = version_;
  part.digest = digest_;
  if (!known() || ask.digest == digest_)
    return part;
  const bool goes_on = ask.part_of == digest_ && ask.offset < text_.size();
  part.offset = goes_on ? ask.offset : 0;
  part.total = text_.size();
  part.text = text_.substr(part.offset, kHostListMaxPartBytes);
  return part;
}

}  // namespace turmericwinch
