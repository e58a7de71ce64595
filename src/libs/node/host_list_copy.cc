#include "libs/node/host_list_copy.h"

#include <algorithm>

#include "libs/base/digest.h"
#include "libs/node/node_constants.h"
#include "libs/routing/host_list_change.h"

namespace turmericwinch {

void HostListCopy::SetList(HostList list) {
  list_ = std::move(list);
  text_ = ToJson(list_);
  digest_ = Sha256Hex(text_);
}

std::optional<HostListPart> HostListCopy::HandlePlatformAnswer(
    const PlatformHosts& hosts,
    Reason* reason) {
  HostListPart part;
  part.base = digest_;
  std::vector<HostListChange> changes;
  HostList list;
  if (hosts.is_whole) {
    std::optional<HostList> full_list = ParseHostList(hosts.text, reason);
    if (!full_list)
      return std::nullopt;
    list = std::move(*full_list);
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
    SetList(std::move(list));
  part.version = version_;
  part.digest = digest_;
  if (!changes.empty())
    part.text = ToJson(changes);
  return part;
}

bool HostListCopy::IsOlder(const HostListPart& part) const {
  return part.version < version_ && part.age > kHostListMaxFreshAge;
}

HostListVerdict HostListCopy::HandlePart(const HostListPart& part) {
  if (part.digest.empty())
    return HostListVerdict::kUnusable;
  if (part.digest == digest_) {
    if (!IsOlder(part))
      version_ = part.version;
    return HostListVerdict::kUnchanged;
  }
  if (!part.base.empty())
    return ApplyPeerChanges(part);
  if (known() && IsOlder(part))
    return HostListVerdict::kUnchanged;
  return AddPiece(part);
}

HostListVerdict HostListCopy::ApplyPeerChanges(const HostListPart& part) {
  // Two readers send the same changes, possibly split into different steps.
  if (part.version < version_)
    return HostListVerdict::kUnchanged;
  if (part.base != digest_)
    return HostListVerdict::kGap;
  Reason reason;
  auto changes = ParseHostListChanges(part.text, &reason);
  if (!changes)
    return HostListVerdict::kUnusable;
  HostList list = list_;
  ApplyChanges(*changes, &list);
  if (Sha256Hex(ToJson(list)) != part.digest)
    return HostListVerdict::kGap;
  SetList(std::move(list));
  version_ = part.version;
  return HostListVerdict::kApplied;
}

HostListVerdict HostListCopy::AddPiece(const HostListPart& part) {
  if (part.text.empty() || part.total > kHostListMaxBytes)
    return HostListVerdict::kUnusable;
  if (part.digest != partial_digest_ || part.offset == 0) {
    partial_.clear();
    partial_digest_ = part.digest;
  }
  // The answers to two requests may both arrive.
  if (part.offset != partial_.size())
    return HostListVerdict::kUnchanged;
  partial_ += part.text;
  if (partial_.size() < part.total)
    return HostListVerdict::kIncomplete;
  const std::string text = std::move(partial_);
  partial_.clear();
  partial_digest_.clear();
  Reason reason;
  std::optional<HostList> list = ParseHostList(text, &reason);
  if (!list || Sha256Hex(text) != part.digest)
    return HostListVerdict::kUnusable;
  SetList(std::move(*list));
  version_ = part.version;
  return HostListVerdict::kApplied;
}

HostListRequest HostListCopy::NextRequest() const {
  return {digest_, partial_digest_, partial_.size(), ""};
}

HostListPart HostListCopy::MakePart(const HostListRequest& request) const {
  HostListPart part;
  part.version = version_;
  part.digest = digest_;
  if (!known() || request.digest == digest_)
    return part;
  const bool continues =
      request.part_of == digest_ && request.offset < text_.size();
  part.offset = continues ? request.offset : 0;
  part.total = text_.size();
  part.text = text_.substr(part.offset, kHostListMaxPartBytes);
  return part;
}

}  // namespace turmericwinch
