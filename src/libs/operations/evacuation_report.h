// What daemons know of the evacuations of failure domains, as a table.

#ifndef SRC_LIBS_OPERATIONS_EVACUATION_REPORT_H_
#define SRC_LIBS_OPERATIONS_EVACUATION_REPORT_H_

#include <boost/json/array.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/store_version.h"

namespace turmericwinch {

// One daemon. `state` says whether it knows the evacuations.
struct EvacuationRow {
  std::string address;
  std::string host;
  std::vector<std::string> domains;
  StoreVersion version;
  std::optional<std::int64_t> age_ms;
  std::string state;
};

// Reads the evacuations from the state dump of the gateway at `address`.
EvacuationRow ParseEvacuations(std::string address, const std::string& dump);

std::string FormatEvacuations(const std::vector<EvacuationRow>& rows);
boost::json::array EvacuationsJson(const std::vector<EvacuationRow>& rows);

}  // namespace turmericwinch

#endif  // SRC_LIBS_OPERATIONS_EVACUATION_REPORT_H_
