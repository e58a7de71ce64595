// Runs the handlers of an io_context until a condition holds.

#ifndef TESTS_SUPPORT_RUN_UNTIL_H_
#define TESTS_SUPPORT_RUN_UNTIL_H_

#include <boost/asio/io_context.hpp>
#include <functional>

namespace turmericwinch {

// A test that never gets there is ended by the timeout of the test runner.
inline void RunUntil(boost::asio::io_context& context,
                     const std::function<bool()>& is_done) {
  while (!is_done())
    context.run_one();
}

}  // namespace turmericwinch

#endif  // TESTS_SUPPORT_RUN_UNTIL_H_
