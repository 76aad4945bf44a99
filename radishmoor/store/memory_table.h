// Linearizable in-memory table service and object store. It never fails; random
// tests and the platform stand-in inject faults in front of it.
//
//   MemoryTable table;
//   StoreReply reply = table.Handle(CommitRows{transaction});
//
// Cost: O(log rows) for each row read or written.

#ifndef RADISHMOOR_STORE_MEMORY_TABLE_H_
#define RADISHMOOR_STORE_MEMORY_TABLE_H_

#include <map>
#include <string>
#include <vector>

#include "radishmoor/store/table.h"

namespace radishmoor {

class MemoryTable {
 public:
  StoreReply Handle(const StoreRequest& request);

  // Limits the size of a value. Transactions with larger ones are rejected, and
  // so are those with more entries or bytes than the platform's store takes.
  void SetRowLimit(size_t bytes) { row_limit_ = bytes; }
  uint64_t rejections() const { return rejections_; }

  void SetHostList(std::vector<HostListEntry> hosts);

  size_t row_count() const { return rows_.size(); }
  uint64_t commits() const { return commits_; }
  uint64_t conflicts() const { return conflicts_; }

 private:
  StoreReply Read(const ReadRows& request) const;
  StoreReply Scan(const ScanRows& request) const;
  StoreReply Commit(const Transaction& transaction);
  bool ExceedsLimits(const Transaction& transaction) const;
  StoreReply List(const ListObjects& request) const;

  Row Current(const std::string& key) const;

  std::map<std::string, Row> rows_;
  std::map<std::string, std::string> objects_;
  std::vector<HostListEntry> hosts_;
  // Last version assigned to any row. All rows share one sequence, so that a
  // row that is removed and inserted again never reuses a version.
  RowVersion last_version_ = 0;
  uint64_t commits_ = 0;
  uint64_t conflicts_ = 0;
  size_t row_limit_ = 0;  // 0: no limits.
  uint64_t rejections_ = 0;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_STORE_MEMORY_TABLE_H_
