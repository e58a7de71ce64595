#include "libs/gateway/domain_evacuations.h"

#include <algorithm>
#include <utility>

namespace turmericwinch {

DomainEvacuations::DomainEvacuations(const std::vector<std::string>& domains)
    : known_domains_(domains.begin(), domains.end()) {}

void DomainEvacuations::Add(const std::string& domain,
                            std::set<std::string>& to) {
  if (known_domains_.contains(domain))
    to.insert(domain);
  else
    unknown_names_.push_back(domain);
}

bool DomainEvacuations::ApplyNames(const PlatformNames& names, TimePoint now) {
  if (names.version < version_)
    return false;
  std::set<std::string> next;
  if (!names.is_whole)
    next = evacuated_;
  for (const std::string& it : names.removed)
    next.erase(it);
  for (const std::string& it : names.present)
    Add(it, next);
  version_ = names.version;
  confirmed_at_ = now;
  return std::exchange(evacuated_, next) != next;
}

bool DomainEvacuations::ApplyNews(const std::vector<std::string>& domains,
                                  std::uint64_t version,
                                  std::chrono::milliseconds age,
                                  TimePoint now) {
  if (version <= version_)
    return false;
  std::set<std::string> next;
  for (const std::string& it : domains)
    Add(it, next);
  version_ = version;
  confirmed_at_ = std::max(confirmed_at_, now - age);
  return std::exchange(evacuated_, next) != next;
}

std::vector<std::string> DomainEvacuations::TakeUnknownNames() {
  return std::exchange(unknown_names_, {});
}

}  // namespace turmericwinch
