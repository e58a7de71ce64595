// Prints the slopes that docs/CAPACITY.md is worked out from.

#include <cstdio>

#include "apps/measure_capacity/slopes.h"

int main() {
  std::printf("%-44s %8s %14s\n", "what", "size", "value");
  turmericwinch::MeasureConfig();
  turmericwinch::MeasureBudget();
  turmericwinch::MeasureHostList();
  turmericwinch::MeasureRouting();
  return 0;
}
