#include "libs/load/svg_plot.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

TEST_GROUP(SvgPlot){};

TEST(SvgPlot, DrawsOneLineForEachSeries) {
  CallRecord record;
  record.outcome = CallOutcome::kAnswered;
  record.total_time = std::chrono::microseconds(1'500'000);
  const std::string svg = PlotSvg(BuildPanels({record, record}, 5), "seconds");
  std::size_t lines = 0;
  for (std::size_t at = svg.find("<polyline"); at != std::string::npos;
       at = svg.find("<polyline", at + 1))
    ++lines;
  LONGS_EQUAL(3, lines);
  CHECK_TRUE(svg.starts_with("<svg") && svg.ends_with("</svg>\n"));
}

TEST(SvgPlot, SpendIsCumulative) {
  CallRecord read;
  read.outcome = CallOutcome::kAnswered;
  CallRecord chat = read;
  chat.kind = CallKind::kStreamedChat;
  chat.tokens = 20;
  chat.start = std::chrono::microseconds(2'100'000);
  const std::vector<PlotPanel> panels = BuildPanels({read, chat}, 5);
  const std::vector<double>& spent = panels[1].lines[0].points;
  LONGS_EQUAL(3, spent.size());
  DOUBLES_EQUAL(5, spent[0], 0);
  DOUBLES_EQUAL(25, spent[2], 0);
}

}  // namespace turmericwinch
