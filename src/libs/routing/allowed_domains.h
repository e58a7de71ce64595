// Failure domains whose targets a request may reach.

#ifndef SRC_LIBS_ROUTING_ALLOWED_DOMAINS_H_
#define SRC_LIBS_ROUTING_ALLOWED_DOMAINS_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace turmericwinch {

// Returns the failure domains in a region of each list that is not empty; null
// if both are empty, so that all domains are allowed. `domain_regions` has the
// region of each domain; a domain with an empty region is in none.
std::shared_ptr<const std::set<std::string>> AllowedDomains(
    const std::vector<std::string>& route_regions,
    const std::vector<std::string>& team_regions,
    const std::map<std::string, std::string>& domain_regions);

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_ALLOWED_DOMAINS_H_
