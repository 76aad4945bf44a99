// Text with aligned columns for a terminal.
//
//   TextTable table({"host", "pool"});
//   table.Add({host.str(), pool.str()});
//   out << table.str();

#ifndef RADISHMOOR_CTL_TEXT_TABLE_H_
#define RADISHMOOR_CTL_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace radishmoor {

class TextTable {
 public:
  explicit TextTable(std::vector<std::string> titles);

  // Adds a row. Missing cells and empty cells show as "-". Control characters
  // show as "?", because cells hold text from rows and files that may contain
  // terminal escape codes.
  void Add(std::vector<std::string> cells);

  std::string str() const;

 private:
  std::vector<std::vector<std::string>> rows_;  // The first holds the titles.
};

}  // namespace radishmoor

#endif  // RADISHMOOR_CTL_TEXT_TABLE_H_
