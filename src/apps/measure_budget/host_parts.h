// Inputs of a simulated host.

#ifndef SRC_APPS_MEASURE_BUDGET_HOST_PARTS_H_
#define SRC_APPS_MEASURE_BUDGET_HOST_PARTS_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "apps/measure_budget/event_queue.h"
#include "apps/measure_budget/fleet_size.h"
#include "apps/measure_budget/platform_model.h"
#include "libs/budget/bucket_sync.h"

namespace turmericwinch {

class PeerModel;

// The pointed-to objects must outlive the host. `holder` names its incarnation.
struct HostParts {
  EventQueue* queue = nullptr;
  PlatformModel* platform = nullptr;
  PeerModel* peers = nullptr;
  FleetSize size;
  std::size_t host = 0;
  std::string holder;
  const std::vector<std::string>* names = nullptr;
  // The setting of a budget in the host's configuration.
  std::function<std::optional<BudgetSetting>(const std::string&)> setting_of;

  std::string DomainName() const {
    return "d" + std::to_string(size.DomainOf(host));
  }
};

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_BUDGET_HOST_PARTS_H_
