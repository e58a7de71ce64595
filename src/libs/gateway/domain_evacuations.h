// The failure domains that the operator has evacuated, as this host knows them.
// Free of clocks and I/O.

#ifndef SRC_LIBS_GATEWAY_DOMAIN_EVACUATIONS_H_
#define SRC_LIBS_GATEWAY_DOMAIN_EVACUATIONS_H_

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "libs/platform/platform_client.h"

namespace turmericwinch {

// Answers an operator who empties a failure domain while the store, links or
// hosts fail: what is known stays in force until something newer is known.
// Versions are those of the store, see StoreVersion, so that the state of a
// store that came back from an old copy replaces what was known before.
class DomainEvacuations {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // `domains` are all failure domains of the deployment; others are ignored.
  explicit DomainEvacuations(const std::vector<std::string>& domains);

  // Applies an answer of the store. Returns whether the set changed.
  bool ApplyNames(const PlatformNames& names, TimePoint now);
  // Applies the set that another host read at `version`, `age` ago. Ignored if
  // this host knows a newer version, or a later answer with the same version.
  // Returns whether the set changed.
  bool ApplyNews(const std::vector<std::string>& domains,
                 StoreVersion version,
                 std::chrono::milliseconds age,
                 TimePoint now);

  const std::set<std::string>& domains() const { return evacuated_; }
  // Version of the store that the set is known to hold for; not set if none is.
  StoreVersion version() const { return version_; }
  // Whether the set was read at least once. An empty store may have revision 0.
  bool is_known() const { return is_known_; }
  // When the store last confirmed the set.
  TimePoint confirmed_at() const { return confirmed_at_; }
  // Names of objects that are no failure domain of the deployment and appeared
  // since the last call, at most kMaxUnknownEvacuations of them.
  std::vector<std::string> TakeUnknownNames();

 private:
  // Adds the domain to `to` if the deployment has it, else to the unknown ones.
  void Add(const std::string& domain, std::set<std::string>& to);

  std::set<std::string> known_domains_;
  std::set<std::string> evacuated_;
  // Unknown names that exist, so that a list that is read again reports none of
  // them twice, and those that are still to be reported.
  std::set<std::string> unknown_names_;
  std::vector<std::string> new_unknown_names_;
  bool is_known_ = false;
  StoreVersion version_;
  TimePoint confirmed_at_{};
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_DOMAIN_EVACUATIONS_H_
