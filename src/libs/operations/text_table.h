// Tables for terminals.

#ifndef SRC_LIBS_OPERATIONS_TEXT_TABLE_H_
#define SRC_LIBS_OPERATIONS_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace turmericwinch {

// Rows of the same number of cells, the first one being the header.
using TextRows = std::vector<std::vector<std::string>>;

// Columns padded to their widest cell, two blanks apart.
std::string FormatTable(const TextRows& rows);

}  // namespace turmericwinch

#endif  // SRC_LIBS_OPERATIONS_TEXT_TABLE_H_
