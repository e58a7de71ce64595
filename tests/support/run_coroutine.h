// Runs a coroutine to its end on an io_context of one thread.

#ifndef TESTS_SUPPORT_RUN_COROUTINE_H_
#define TESTS_SUPPORT_RUN_COROUTINE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <optional>
#include <utility>

namespace turmericwinch {

// The coroutine's result. What else waits on `context` stays there.
template <typename T>
T RunCoroutine(boost::asio::io_context& context,
               boost::asio::awaitable<T> coroutine) {
  std::optional<T> result;
  std::exception_ptr error;
  bool done = false;
  boost::asio::co_spawn(context, std::move(coroutine),
                        [&](std::exception_ptr thrown, T value) {
                          error = thrown;
                          result = std::move(value);
                          done = true;
                        });
  context.restart();
  while (!done && context.run_one() > 0) {
  }
  if (error)
    std::rethrow_exception(error);
  return std::move(*result);
}

}  // namespace turmericwinch

#endif  // TESTS_SUPPORT_RUN_COROUTINE_H_
