// The host list as it was over time, so that a stand-in can lag.

#ifndef SRC_LIBS_STANDIN_HOST_LIST_HISTORY_H_
#define SRC_LIBS_STANDIN_HOST_LIST_HISTORY_H_

#include <chrono>
#include <map>
#include <string>

namespace turmericwinch {

// Lists are JSON text. Used on one thread.
class HostListHistory {
 public:
  using Time = std::chrono::steady_clock::time_point;

  void Set(std::string list, Time now);
  // The list that stood at `time`; an empty one before the first.
  std::string At(Time time) const;

 private:
  std::map<Time, std::string> lists_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_STANDIN_HOST_LIST_HISTORY_H_
