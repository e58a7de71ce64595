#include "libs/operations/text_table.h"

#include <algorithm>

namespace turmericwinch {

std::string FormatTable(const TextRows& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t n = 0; n < row.size(); ++n)
      widths[n] = std::max(widths[n], row[n].size());
  }
  std::string text;
  for (const auto& row : rows) {
    for (std::size_t n = 0; n < row.size(); ++n) {
      text += row[n];
      if (n + 1 < row.size())
        text.append(widths[n] - row[n].size() + 2, ' ');
    }
    text += '\n';
  }
  return text;
}

}  // namespace turmericwinch
