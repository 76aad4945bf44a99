#include "radishmoor/ctl/text_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace radishmoor {

TextTable::TextTable(std::vector<std::string> titles)
    : rows_{std::move(titles)} {}

void TextTable::Add(std::vector<std::string> cells) {
  cells.resize(rows_.front().size());
  for (std::string& cell : cells) {
    if (cell.empty())
      cell.assign(1, '-');
    std::replace_if(
        cell.begin(), cell.end(),
        [](unsigned char c) { return std::iscntrl(c) != 0; }, '?');
  }
  rows_.push_back(std::move(cells));
}

std::string TextTable::str() const {
  std::vector<size_t> widths(rows_.front().size(), 0);
  for (const auto& row : rows_) {
    for (size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const auto& row : rows_) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] + 2 - row[i].size(), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

}  // namespace radishmoor
