#include "libs/config/config_error.h"

#include <algorithm>

namespace turmericwinch {

namespace {

// Levenshtein distance.
std::size_t EditDistance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> row(right.size() + 1);
  for (std::size_t n = 0; n <= right.size(); ++n)
    row[n] = n;
  for (std::size_t i = 1; i <= left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= right.size(); ++j) {
      const std::size_t substituted =
          diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
    }
  }
  return row.back();
}

}  // namespace

std::string ToText(const ConfigError& error) {
  std::string text = error.file;
  text += ": ";
  text += error.object;
  if (!error.field.empty())
    text += "." + error.field;
  text += ": " + error.message;
  if (!error.suggestion.empty())
    text += " (" + error.suggestion + ")";
  return text;
}

std::string SuggestCorrection(std::string_view word,
                              const std::vector<std::string>& candidates) {
  const std::string* best = nullptr;
  std::size_t best_distance = word.size() / 3 + 2;
  for (const std::string& it : candidates) {
    const std::size_t distance = EditDistance(word, it);
    if (distance < best_distance) {
      best_distance = distance;
      best = &it;
    }
  }
  return best ? "did you mean '" + *best + "'?" : std::string();
}

}  // namespace turmericwinch
