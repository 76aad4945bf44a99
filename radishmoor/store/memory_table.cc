#include "radishmoor/store/memory_table.h"

#include <type_traits>
#include <utility>

namespace radishmoor {
namespace {

// Limits of the platform's store.
constexpr size_t kMaxTransactionEntries = 100;
constexpr size_t kMaxTransactionBytes = 1'000'000;

}  // namespace

StoreReply MemoryTable::Handle(const StoreRequest& request) {
  return std::visit(
      [this](const auto& r) -> StoreReply {
        using T = std::decay_t<decltype(r)>;
        if constexpr (std::is_same_v<T, ReadRows>) {
          return Read(r);
        } else if constexpr (std::is_same_v<T, ScanRows>) {
          return Scan(r);
        } else if constexpr (std::is_same_v<T, CommitRows>) {
          return Commit(r.transaction);
        } else if constexpr (std::is_same_v<T, PutObject>) {
          objects_[r.key] = r.data;
          return CommittedReply{};
        } else if constexpr (std::is_same_v<T, ReadObject>) {
          auto it = objects_.find(r.key);
          if (it == objects_.end())
            return ObjectReply{};
          return ObjectReply{true, it->second};
        } else if constexpr (std::is_same_v<T, ListObjects>) {
          return List(r);
        } else {
          return HostListReply{hosts_};
        }
      },
      request);
}

void MemoryTable::SetHostList(std::vector<HostListEntry> hosts) {
  hosts_ = std::move(hosts);
}

StoreReply MemoryTable::Read(const ReadRows& request) const {
  RowsReply reply;
  for (const std::string& key : request.keys)
    reply.rows.push_back(Current(key));
  return reply;
}

StoreReply MemoryTable::Scan(const ScanRows& request) const {
  RowsReply reply;
  auto it = request.after < request.prefix ? rows_.lower_bound(request.prefix)
                                           : rows_.upper_bound(request.after);
  for (; it != rows_.end() && reply.rows.size() < request.limit; ++it) {
    if (!it->first.starts_with(request.prefix))
      break;
    reply.rows.push_back(it->second);
  }
  reply.more = reply.rows.size() >= request.limit;
  return reply;
}

bool MemoryTable::ExceedsLimits(const Transaction& transaction) const {
  if (row_limit_ == 0)
    return false;
  size_t bytes = 0;
  for (const RowWrite& write : transaction.writes) {
    if (write.value.size() > row_limit_)
      return true;
    // Values are sent in base64.
    bytes += write.key.size() + write.value.size() * 4 / 3;
  }
  return bytes > kMaxTransactionBytes ||
         transaction.writes.size() + transaction.expects.size() >
             kMaxTransactionEntries;
}

StoreReply MemoryTable::Commit(const Transaction& transaction) {
  if (ExceedsLimits(transaction)) {
    ++rejections_;
    return RejectedReply{"too large"};
  }
  ConflictReply conflict;
  for (const RowExpectation& expected : transaction.expects) {
    Row row = Current(expected.key);
    if (row.version != expected.version)
      conflict.rows.push_back(std::move(row));
  }
  if (!conflict.rows.empty()) {
    ++conflicts_;
    return conflict;
  }
  CommittedReply reply;
  for (const RowWrite& write : transaction.writes) {
    ++last_version_;
    reply.versions.push_back(last_version_);
    if (write.remove) {
      rows_.erase(write.key);
    } else {
      rows_[write.key] = Row{write.key, last_version_, write.value};
    }
  }
  ++commits_;
  return reply;
}

StoreReply MemoryTable::List(const ListObjects& request) const {
  ObjectListReply reply;
  for (auto it = objects_.lower_bound(request.prefix);
       it != objects_.end() && it->first.starts_with(request.prefix); ++it) {
    reply.keys.push_back(it->first);
  }
  return reply;
}

Row MemoryTable::Current(const std::string& key) const {
  auto it = rows_.find(key);
  return it == rows_.end() ? Row{key, 0, ""} : it->second;
}

}  // namespace radishmoor
