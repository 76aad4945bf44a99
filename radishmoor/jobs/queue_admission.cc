#include "radishmoor/jobs/queue_admission.h"

#include <algorithm>
#include <utility>

namespace radishmoor {
namespace {

// Time until a step is tried again that failed or waits for another owner.
constexpr Duration kRetryDelay = Milliseconds(60);
// Time until an owner checks again whether its accepted jobs are stored.
constexpr Duration kCloseRetryDelay = Milliseconds(20);

}  // namespace

void QueueAdmission::LoadRow(const QueueAdmissionRow& row) {
  Entry& entry = entries_[row.queue];
  entry.stored = row;
  entry.is_stored = true;
  ApplyConfig(row.queue, entry);
}

void QueueAdmission::OnConfig(const JobConfig& config) {
  config_version_ = config.version;
  configured_pools_.clear();
  for (const QueueConfig& queue : config.queues) {
    configured_pools_[queue.id] = queue.pool;
    if (queue.pool == state_.pool)
      entries_.try_emplace(queue.id);
  }
  for (auto& [queue, entry] : entries_)
    ApplyConfig(queue, entry);
}

void QueueAdmission::ApplyConfig(const QueueId& queue, Entry& entry) {
  auto pool = configured_pools_.find(queue);
  bool configured = pool != configured_pools_.end();
  bool here = configured && pool->second == state_.pool;
  if (!here)
    entry.here_since = 0;
  else if (entry.here_since == 0)
    entry.here_since = config_version_;
  entry.elsewhere_as_of = configured && !here ? config_version_ : 0;
  next_wake_ = kTimeZero;
}

std::vector<PoolId> QueueAdmission::OtherPools(const Entry& entry) const {
  std::vector<PoolId> others = entry.pools;
  std::erase(others, state_.pool);
  return others;
}

void QueueAdmission::Tick(Time now, Outbox& outbox) {
  if (now < next_wake_)
    return;
  next_wake_ = kTimeMax;
  for (auto& [queue, entry] : entries_)
    TickEntry(now, queue, entry, outbox);
}

void QueueAdmission::TickEntry(Time now,
                               const QueueId& queue,
                               Entry& entry,
                               Outbox& outbox) {
  if (entry.writing || entry.tag != 0)
    return;
  if (now < entry.retry_at) {
    Wake(entry.retry_at);
    return;
  }
  // A row of a later configuration stays: this process gets that one too.
  bool closes =
      entry.is_stored && entry.elsewhere_as_of > entry.stored.config_version;
  if (entry.here_since != 0 && !entry.stored.open)
    Open(now, queue, entry, outbox);
  else if (closes)
    Close(now, queue, entry);
}

void QueueAdmission::Open(Time now,
                          const QueueId& queue,
                          Entry& entry,
                          Outbox& outbox) {
  // The queue has been elsewhere in a configuration that this process skipped.
  if (entry.stored.config_version > entry.here_since)
    entry.here_since = config_version_;
  if (entry.stored.config_version > entry.here_since) {
    // An owner with a newer configuration has closed the pool.
    entry.retry_at = now + kRetryDelay;
    Wake(entry.retry_at);
    return;
  }
  if (!entry.is_stored) {
    Write(entry, {queue, false, 0, {}});
    return;
  }
  if (!entry.pools_read) {
    entry.request = Entry::Request::kReadPools;
    entry.tag = outbox.CallStore(ReadRows{{QueuePoolsKey(queue)}});
    return;
  }
  if (std::find(entry.pools.begin(), entry.pools.end(), state_.pool) ==
      entry.pools.end()) {
    std::vector<PoolId> pools = entry.pools;
    pools.push_back(state_.pool);
    Transaction transaction;
    transaction.expects.push_back({QueuePoolsKey(queue), entry.pools_version});
    transaction.writes.push_back(
        {QueuePoolsKey(queue), EncodeQueuePools(pools)});
    entry.request = Entry::Request::kAddPool;
    entry.tag = outbox.CallStore(CommitRows{std::move(transaction)});
    return;
  }
  ReadRows read;
  for (const PoolId& pool : OtherPools(entry))
    read.keys.push_back(QueueAdmissionKey(pool, queue));
  if (read.keys.empty()) {
    Write(entry, {queue, true, entry.here_since, {}});
    return;
  }
  entry.request = Entry::Request::kReadOthers;
  entry.tag = outbox.CallStore(std::move(read));
}

void QueueAdmission::Close(Time now, const QueueId& queue, Entry& entry) {
  // Jobs that were accepted while the pool was open are stored first: the owner
  // accepts no more of them now.
  if (state_.jobs.HasUnstoredJobs(queue)) {
    entry.retry_at = now + kCloseRetryDelay;
    Wake(entry.retry_at);
    return;
  }
  Write(entry, {queue, false, entry.elsewhere_as_of, {}});
}

void QueueAdmission::Write(Entry& entry, QueueAdmissionRow row) {
  chain_.Write(
      {QueueAdmissionKey(state_.pool, row.queue), EncodeQueueAdmission(row)});
  entry.writing = std::move(row);
}

void QueueAdmission::OnStored(std::span<const std::string> keys) {
  for (auto& [queue, entry] : entries_) {
    if (!entry.writing ||
        std::find(keys.begin(), keys.end(),
                  QueueAdmissionKey(state_.pool, queue)) == keys.end())
      continue;
    entry.stored = std::move(*entry.writing);
    entry.writing.reset();
    entry.is_stored = true;
    ++changes_;
    // The pools may have changed by the time the queue comes back.
    entry.pools_read = entry.pools_read && !entry.stored.open;
    next_wake_ = kTimeZero;
  }
}

void QueueAdmission::OnPoolsRow(Time now, Entry& entry, const Row& row) {
  std::optional<std::vector<PoolId>> pools = DecodeQueuePools(row.value);
  entry.pools_read = row.version == 0 || pools;
  if (!entry.pools_read) {
    entry.retry_at = now + kRetryDelay;
    return;
  }
  entry.pools_version = row.version;
  entry.pools = std::move(pools).value_or(std::vector<PoolId>());
}

void QueueAdmission::OnOthersRead(Time now,
                                  const QueueId& queue,
                                  Entry& entry,
                                  const std::vector<Row>& rows) {
  bool all_closed = entry.here_since != 0 &&
                    std::all_of(rows.begin(), rows.end(), [&](const Row& row) {
                      std::optional<QueueAdmissionRow> other =
                          DecodeQueueAdmission(row.value);
                      return row.version != 0 && other && !other->open &&
                             other->config_version >= entry.here_since;
                    });
  if (all_closed) {
    Write(entry, {queue, true, entry.here_since, OtherPools(entry)});
    return;
  }
  // The other pools may have become more while they were waited for.
  entry.pools_read = false;
  entry.retry_at = now + kRetryDelay;
}

bool QueueAdmission::OnStoreAnswer(Time now, const StoreAnswer& answer) {
  for (auto& [queue, entry] : entries_) {
    if (entry.tag == 0 || entry.tag != answer.tag)
      continue;
    entry.tag = 0;
    next_wake_ = kTimeZero;
    const auto* rows = std::get_if<RowsReply>(&answer.reply);
    const auto* conflict = std::get_if<ConflictReply>(&answer.reply);
    if (entry.request == Entry::Request::kReadPools && rows != nullptr &&
        !rows->rows.empty()) {
      OnPoolsRow(now, entry, rows->rows.front());
    } else if (entry.request == Entry::Request::kReadOthers &&
               rows != nullptr) {
      OnOthersRead(now, queue, entry, rows->rows);
    } else if (entry.request == Entry::Request::kAddPool &&
               conflict != nullptr && !conflict->rows.empty()) {
      OnPoolsRow(now, entry, conflict->rows.front());
    } else {
      // After the pool was added, and after a lost answer, the row is read.
      entry.pools_read = false;
      if (!std::holds_alternative<CommittedReply>(answer.reply))
        entry.retry_at = now + kRetryDelay;
    }
    return true;
  }
  return false;
}

ConfigVersion QueueAdmission::OpenSince(const QueueId& queue) const {
  auto entry = entries_.find(queue);
  // From the moment at which the queue is known to have moved away, no job may
  // be stored after the row that closes the pool.
  if (entry == entries_.end() || !entry->second.stored.open ||
      entry->second.writing || entry->second.elsewhere_as_of != 0)
    return 0;
  return entry->second.stored.config_version;
}

std::vector<PoolId> QueueAdmission::EarlierPools(const QueueId& queue) const {
  auto entry = entries_.find(queue);
  if (entry == entries_.end())
    return {};
  return entry->second.stored.open ? entry->second.stored.earlier_pools
                                   : OtherPools(entry->second);
}

std::vector<QueueId> QueueAdmission::Queues() const {
  std::vector<QueueId> queues;
  for (const auto& [queue, entry] : entries_)
    queues.push_back(queue);
  return queues;
}

}  // namespace radishmoor
