// What happened to a request, for people.

#ifndef SRC_LIBS_OPERATIONS_EXPLANATION_TEXT_H_
#define SRC_LIBS_OPERATIONS_EXPLANATION_TEXT_H_

#include <boost/json/array.hpp>
#include <string>

namespace turmericwinch {

// `records` as daemons answer them at /requests, a paragraph each.
std::string ExplanationText(const boost::json::array& records);

}  // namespace turmericwinch

#endif  // SRC_LIBS_OPERATIONS_EXPLANATION_TEXT_H_
