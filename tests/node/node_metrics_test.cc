#include "libs/node/node_metrics.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

TEST_GROUP(NodeMetrics) {
  bool HasLine(const char* line) {
    return ("\n" + metrics.Exposition())
               .find("\n" + std::string(line) + "\n") != std::string::npos;
  }

  NodeMetrics metrics;
};

TEST(NodeMetrics, CountsResultsByName) {
  metrics.CountResult(ResultCode::kBudgetExhausted);
  metrics.CountResult(ResultCode::kBudgetExhausted);
  CHECK_TRUE(
      HasLine("turmericwinch_requests_total{result=\"budget_exhausted\"} 2"));
}

TEST(NodeMetrics, HistogramsCountAndSumAllLatencies) {
  metrics.RecordFirstByte(std::chrono::microseconds(1));
  metrics.RecordFirstByte(std::chrono::milliseconds(500));
  metrics.RecordFirstByte(std::chrono::hours(1));
  CHECK_TRUE(HasLine("turmericwinch_first_byte_seconds_count 3"));
  CHECK_TRUE(HasLine("turmericwinch_first_byte_seconds_sum 3600.500001"));
  CHECK_TRUE(HasLine("turmericwinch_first_byte_seconds_bucket{le=\"+Inf\"} 3"));
  CHECK_TRUE(
      HasLine("turmericwinch_first_byte_seconds_bucket{le=\"600.000000\"} 2"));
  CHECK_TRUE(HasLine("turmericwinch_whole_answer_seconds_count 0"));
}

}  // namespace turmericwinch
