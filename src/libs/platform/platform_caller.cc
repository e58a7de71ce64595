#include "libs/platform/platform_caller.h"

#include <boost/asio.hpp>
#include <utility>

namespace turmericwinch {

namespace {

namespace asio = boost::asio;

}  // namespace

asio::awaitable<PlatformAnswer> MakeCall(PlatformClient& platform,
                                         PlatformDuty duty,
                                         PlatformCall call) {
  if (call.pause.count() > 0) {
    asio::steady_timer timer(co_await asio::this_coro::executor, call.pause);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  PlatformAnswer answer;
  std::optional<StoreVersion> version;
  switch (call.verb) {
    case PlatformVerb::kGet: {
      std::optional<PlatformObject> object =
          co_await platform.Get(duty, call.name, &answer.reason);
      if (!object)
        break;
      version = object->version;
      answer.value = std::move(object->value);
      break;
    }
    case PlatformVerb::kCreate:
      version =
          co_await platform.Create(duty, call.name, call.value, &answer.reason);
      break;
    case PlatformVerb::kUpdate: {
      PlatformObject object{call.name, call.version, std::move(call.value)};
      version =
          co_await platform.Update(duty, std::move(object), &answer.reason);
      break;
    }
    case PlatformVerb::kList: {
      std::optional<std::vector<PlatformObject>> objects =
          co_await platform.List(duty, call.name, &answer.reason);
      if (!objects)
        break;
      version.emplace();
      for (PlatformObject& it : *objects)
        answer.objects.push_back(
            {std::move(it.name), it.version, std::move(it.value)});
      break;
    }
  }
  if (version) {
    answer.reason = {};
    answer.version = *version;
  }
  co_return answer;
}

}  // namespace turmericwinch
