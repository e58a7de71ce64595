#include "apps/measure_capacity/measure.h"

#include <malloc.h>

#include <cstdio>
#include <ctime>

namespace turmericwinch {

namespace {

double ProcessorMicroseconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

}  // namespace

double MicrosecondsOf(int rounds, const std::function<void()>& action) {
  const double start = ProcessorMicroseconds();
  for (int n = 0; n < rounds; ++n)
    action();
  return (ProcessorMicroseconds() - start) / rounds;
}

std::size_t HeapBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

void PrintRow(std::string_view name,
              std::size_t size,
              double value,
              std::string_view unit) {
  std::printf("%-44.*s %8zu %14.2f %.*s\n", static_cast<int>(name.size()),
              name.data(), size, value, static_cast<int>(unit.size()),
              unit.data());
}

}  // namespace turmericwinch
