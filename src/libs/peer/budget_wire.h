// Budget messages in Thrift's structures; internal to the library.

#ifndef SRC_LIBS_PEER_BUDGET_WIRE_H_
#define SRC_LIBS_PEER_BUDGET_WIRE_H_

#include <peer_types.h>

#include <optional>

#include "libs/budget/loan_message.h"

namespace turmericwinch {

wire::BudgetAsk ToWire(const LoanRequest& ask);
wire::BudgetAnswer ToWire(const LoanResponse& answer);

// Nothing if a value is out of range.
std::optional<LoanRequest> LoanAskOf(const wire::BudgetAsk& wire);
std::optional<LoanResponse> LoanAnswerOf(const wire::BudgetAnswer& wire);

}  // namespace turmericwinch

#endif  // SRC_LIBS_PEER_BUDGET_WIRE_H_
