// Renders line plots over time as SVG.

#ifndef SRC_LIBS_LOAD_SVG_PLOT_H_
#define SRC_LIBS_LOAD_SVG_PLOT_H_

#include <string>
#include <vector>

#include "libs/load/call_record.h"

namespace turmericwinch {

// One line of a plot. `points` are its values at equal time steps.
struct PlotLine {
  std::string label;
  std::vector<double> points;
};

// One panel of a plot with its own vertical scale.
struct PlotPanel {
  std::string title;
  std::vector<PlotLine> lines;
};

// Renders `panels` below one another. `step` names the unit of the time axis.
std::string PlotSvg(const std::vector<PlotPanel>& panels,
                    const std::string& step);

// Builds a panel with the time to the whole answer (p50, p95) and one with the
// tokens spent, both by second of the run.
std::vector<PlotPanel> BuildPanels(const std::vector<CallRecord>& records,
                                   std::int64_t call_tokens);

}  // namespace turmericwinch

#endif  // SRC_LIBS_LOAD_SVG_PLOT_H_
