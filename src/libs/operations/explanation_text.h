// Formats the records of a request for a terminal.

#ifndef SRC_LIBS_OPERATIONS_EXPLANATION_TEXT_H_
#define SRC_LIBS_OPERATIONS_EXPLANATION_TEXT_H_

#include <boost/json/array.hpp>
#include <string>

namespace turmericwinch {

// One paragraph for each of `records`, which have the form that daemons return
// at /requests.
std::string ExplanationText(const boost::json::array& records);

}  // namespace turmericwinch

#endif  // SRC_LIBS_OPERATIONS_EXPLANATION_TEXT_H_
