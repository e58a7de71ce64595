// Plots lines over time as SVG text.

#ifndef SRC_LIBS_LOAD_SVG_PLOT_H_
#define SRC_LIBS_LOAD_SVG_PLOT_H_

#include <string>
#include <vector>

#include "libs/load/call_record.h"

namespace turmericwinch {

// One line; `points` are its values at equal steps of time.
struct PlotLine {
  std::string label;
  std::vector<double> points;
};

// One panel with a scale of its own.
struct PlotPanel {
  std::string title;
  std::vector<PlotLine> lines;
};

// Panels below one another; `step` says what one step of time is.
std::string PlotSvg(const std::vector<PlotPanel>& panels,
                    const std::string& step);

// Latency of whole answers (p50, p95) and tokens spent, by second of the run.
std::vector<PlotPanel> PanelsOf(const std::vector<CallRecord>& records,
                                std::int64_t call_tokens);

}  // namespace turmericwinch

#endif  // SRC_LIBS_LOAD_SVG_PLOT_H_
