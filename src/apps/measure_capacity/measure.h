// Helpers of the measuring program: time, memory and rows of output.

#ifndef SRC_APPS_MEASURE_CAPACITY_MEASURE_H_
#define SRC_APPS_MEASURE_CAPACITY_MEASURE_H_

#include <cstddef>
#include <functional>
#include <string_view>

namespace turmericwinch {

// Processor time of `action` in microseconds, averaged over `rounds` runs.
double MicrosecondsOf(int rounds, const std::function<void()>& action);

// Bytes of this process's heap in use.
std::size_t HeapBytes();

// Prints "name size value unit" as one line.
void PrintRow(std::string_view name,
              std::size_t size,
              double value,
              std::string_view unit);

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_CAPACITY_MEASURE_H_
