#include "libs/load/svg_plot.h"

#include <algorithm>
#include <cstdio>
#include <map>

#include "libs/load/latency_report.h"

namespace turmericwinch {

namespace {

constexpr int kWidth = 800;
constexpr int kPanelHeight = 240;
constexpr int kMargin = 50;
constexpr const char* kColours[] = {"#1f5fa8", "#c05a1a", "#2f8f4e"};
constexpr std::size_t kColourCount = 3;

std::string FormatNumber(double n) {
  char buf[32];
  std::snprintf(buf, sizeof(buf), "%.1f", n);
  return buf;
}

std::string EscapeXml(const std::string& text) {
  std::string out;
  for (char it : text) {
    if (it == '<')
      out += "&lt;";
    else if (it == '&')
      out += "&amp;";
    else
      out += it;
  }
  return out;
}

std::string TextElement(double x, double y, const std::string& text) {
  return "<text x=\"" + FormatNumber(x) + "\" y=\"" + FormatNumber(y) +
         "\" font-family=\"sans-serif\" font-size=\"12\">" + EscapeXml(text) +
         "</text>\n";
}

double LargestValue(const PlotPanel& panel) {
  double max_value = 1e-9;
  for (const PlotLine& it : panel.lines) {
    for (double point : it.points)
      max_value = std::max(max_value, point);
  }
  return max_value;
}

std::string RenderLine(const PlotLine& line,
                       double top,
                       double max_value,
                       const char* colour) {
  const double width = kWidth - 2 * kMargin;
  const double height = kPanelHeight - 2 * kMargin;
  const double steps =
      std::max<double>(1, static_cast<double>(line.points.size()) - 1);
  std::string points;
  for (std::size_t n = 0; n < line.points.size(); ++n) {
    points += FormatNumber(kMargin + width * static_cast<double>(n) / steps) +
              "," +
              FormatNumber(top + kMargin +
                           height * (1 - line.points[n] / max_value)) +
              " ";
  }
  return std::string("<polyline fill=\"none\" stroke=\"") + colour +
         "\" stroke-width=\"1.5\" points=\"" + points + "\"/>\n";
}

std::string RenderPanel(const PlotPanel& panel,
                        double top,
                        const std::string& step) {
  const double max_value = LargestValue(panel);
  const double bottom = top + kPanelHeight - kMargin;
  std::string svg = TextElement(kMargin, top + 20, panel.title);
  svg += "<rect fill=\"none\" stroke=\"#999\" x=\"" + FormatNumber(kMargin) +
         "\" y=\"" + FormatNumber(top + kMargin) + "\" width=\"" +
         FormatNumber(kWidth - 2 * kMargin) + "\" height=\"" +
         FormatNumber(kPanelHeight - 2 * kMargin) + "\"/>\n";
  svg += TextElement(4, top + kMargin + 4, FormatNumber(max_value));
  svg += TextElement(4, bottom, "0");
  svg += TextElement(kWidth - 2 * kMargin, bottom + 18, step);
  for (std::size_t n = 0; n < panel.lines.size(); ++n) {
    const char* colour = kColours[n % kColourCount];
    svg += RenderLine(panel.lines[n], top, max_value, colour);
    svg += std::string("<g fill=\"") + colour + "\">" +
           TextElement(kMargin + 120.0 * static_cast<double>(n), bottom + 18,
                       panel.lines[n].label) +
           "</g>\n";
  }
  return svg;
}

}  // namespace

std::string PlotSvg(const std::vector<PlotPanel>& panels,
                    const std::string& step) {
  const std::size_t height = kPanelHeight * panels.size();
  std::string svg =
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" +
      std::to_string(kWidth) + "\" height=\"" + std::to_string(height) +
      "\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  for (std::size_t n = 0; n < panels.size(); ++n)
    svg += RenderPanel(panels[n], static_cast<double>(kPanelHeight * n), step);
  return svg + "</svg>\n";
}

std::vector<PlotPanel> BuildPanels(const std::vector<CallRecord>& records,
                                   std::int64_t call_tokens) {
  std::map<std::int64_t, LatencyHistogram> latency;
  std::map<std::int64_t, std::int64_t> tokens;
  std::int64_t seconds = 0;
  for (const CallRecord& it : records) {
    const std::int64_t second =
        std::chrono::duration_cast<std::chrono::seconds>(it.start +
                                                         it.total_time)
            .count();
    seconds = std::max(seconds, second + 1);
    if (it.outcome != CallOutcome::kAnswered)
      continue;
    latency[second].AddLatency(it.total_time);
    tokens[second] += IsChat(it.kind) ? it.tokens : call_tokens;
  }
  PlotPanel times{"time to the whole answer, ms", {{"p50", {}}, {"p95", {}}}};
  PlotPanel spend{"tokens spent since the start", {{"tokens", {}}}};
  double spent = 0;
  for (std::int64_t n = 0; n < seconds; ++n) {
    const auto ms = [&](double percent) {
      return static_cast<double>(latency[n].Percentile(percent).count()) / 1e3;
    };
    times.lines[0].points.push_back(ms(50));
    times.lines[1].points.push_back(ms(95));
    spent += static_cast<double>(tokens[n]);
    spend.lines[0].points.push_back(spent);
  }
  return {std::move(times), std::move(spend)};
}

}  // namespace turmericwinch
