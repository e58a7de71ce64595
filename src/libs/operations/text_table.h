// Formats tables for a terminal.

#ifndef SRC_LIBS_OPERATIONS_TEXT_TABLE_H_
#define SRC_LIBS_OPERATIONS_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace turmericwinch {

// Rows with the same number of cells each. The first row is the header.
using TextRows = std::vector<std::vector<std::string>>;

// Pads each column to its widest cell and separates columns by two blanks.
std::string FormatTable(const TextRows& rows);

}  // namespace turmericwinch

#endif  // SRC_LIBS_OPERATIONS_TEXT_TABLE_H_
