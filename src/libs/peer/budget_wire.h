// Converts messages about the fleet account to and from Thrift structures;
// internal to the library.

#ifndef SRC_LIBS_PEER_BUDGET_WIRE_H_
#define SRC_LIBS_PEER_BUDGET_WIRE_H_

#include <peer_types.h>

#include <optional>

#include "libs/budget/loan_message.h"
#include "libs/peer/peer_frame.h"

namespace turmericwinch {

wire::BudgetAsk ToWire(const LoanRequest& request);
wire::BudgetAnswer ToWire(const LoanResponse& response);
wire::HostIntroduction ToWire(const HostIntroduction& introduction);

// Return nothing if a value is out of range.
std::optional<LoanRequest> LoanRequestOf(const wire::BudgetAsk& wire);
std::optional<LoanResponse> LoanResponseOf(const wire::BudgetAnswer& wire);
std::optional<HostIntroduction> HostIntroductionOf(
    const wire::HostIntroduction& wire);

}  // namespace turmericwinch

#endif  // SRC_LIBS_PEER_BUDGET_WIRE_H_
