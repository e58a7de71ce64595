#include "libs/load/latency_report.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

using std::chrono::microseconds;

TEST_GROUP(LatencyHistogram){};

TEST(LatencyHistogram, PercentilesAreExactToOneBin) {
  LatencyHistogram latency;
  LONGS_EQUAL(0, latency.Percentile(50).count());
  for (int n = 1; n <= 1000; ++n)
    latency.AddLatency(microseconds(n * 100));
  const struct {
    double percent;
    double microseconds;
  } cases[] = {{50, 50'000}, {95, 95'000}, {99, 99'000}};
  for (const auto& it : cases) {
    DOUBLES_EQUAL(it.microseconds,
                  static_cast<double>(latency.Percentile(it.percent).count()),
                  it.microseconds * 0.011);
  }
}

}  // namespace turmericwinch
