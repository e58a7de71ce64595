// A host that may lend tokens.

#ifndef SRC_LIBS_BUDGET_LENDER_ENDPOINT_H_
#define SRC_LIBS_BUDGET_LENDER_ENDPOINT_H_

#include <string>

namespace turmericwinch {

// `holder` is the incarnation that lends, and `address` (IP:PORT) where other
// hosts reach it.
struct LenderEndpoint {
  std::string holder;
  std::string address;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_BUDGET_LENDER_ENDPOINT_H_
