#include "libs/gateway/domain_evacuations.h"

#include <algorithm>
#include <utility>

#include "libs/gateway/gateway_constants.h"

namespace turmericwinch {

DomainEvacuations::DomainEvacuations(const std::vector<std::string>& domains)
    : known_domains_(domains.begin(), domains.end()) {}

void DomainEvacuations::Add(const std::string& domain,
                            std::set<std::string>& to) {
  if (known_domains_.contains(domain))
    to.insert(domain);
  else if (unknown_names_.size() < kMaxUnknownEvacuations &&
           unknown_names_.insert(domain).second)
    new_unknown_names_.push_back(domain);
}

bool DomainEvacuations::ApplyNames(const PlatformNames& names, TimePoint now) {
  if (names.version < version_)
    return false;
  std::set<std::string> next;
  if (names.is_whole) {
    std::erase_if(unknown_names_, [&](const std::string& it) {
      return std::find(names.present.begin(), names.present.end(), it) ==
             names.present.end();
    });
  } else {
    next = evacuated_;
  }
  for (const std::string& it : names.removed) {
    next.erase(it);
    unknown_names_.erase(it);
  }
  for (const std::string& it : names.present)
    Add(it, next);
  is_known_ = true;
  version_ = names.version;
  confirmed_at_ = now;
  return std::exchange(evacuated_, next) != next;
}

bool DomainEvacuations::ApplyNews(const std::vector<std::string>& domains,
                                  StoreVersion version,
                                  std::chrono::milliseconds age,
                                  TimePoint now) {
  if (version < version_ ||
      (is_known_ && version == version_ && now - age <= confirmed_at_))
    return false;
  std::set<std::string> next;
  for (const std::string& it : domains)
    Add(it, next);
  is_known_ = true;
  version_ = version;
  confirmed_at_ = std::max(confirmed_at_, now - age);
  return std::exchange(evacuated_, next) != next;
}

std::vector<std::string> DomainEvacuations::TakeUnknownNames() {
  return std::exchange(new_unknown_names_, {});
}

}  // namespace turmericwinch
