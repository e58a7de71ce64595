// Template parts of memory_platform.h.

#ifndef TESTS_SUPPORT_MEMORY_PLATFORM_INL_H_
#define TESTS_SUPPORT_MEMORY_PLATFORM_INL_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

namespace turmericwinch {

template <typename T>
T RunToEnd(boost::asio::awaitable<T> action) {
  boost::asio::io_context context(1);
  auto result = boost::asio::co_spawn(context, std::move(action),
                                      boost::asio::use_future);
  context.run();
  return result.get();
}

}  // namespace turmericwinch

#endif  // TESTS_SUPPORT_MEMORY_PLATFORM_INL_H_
