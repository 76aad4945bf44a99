// Decides, for a pool's owner, for which queues the pool stores new jobs, and
// records it in the store, so that a job is never stored in two pools.
//
// A job is stored in the pool that its queue belongs to at its submission, and
// stays there when the queue moves to another pool. A submission that is
// repeated after the move must find it, whatever the process that gets it has
// seen of the configuration. Two kinds of rows make that certain:
//
//   queues/<pool>/<queue>  an admission: open or closed, and the configuration
//                          that made it so. Only the pool's owner writes it, in
//                          its commit chain. Only an open pool stores jobs: the
//                          owner's commits depend on its lease, and an insert
//                          by another process expects this row as it read it.
//   queues//<queue>        all pools that may ever have been open for the queue
//
// The owner of a pool opens it for a queue with these steps. Each can be
// repeated by a successor, and each waits until the one before is stored:
// 1. write a closed admission, so that later owners know about the queue;
// 2. add the pool to the queue's pools;
// 3. wait until each other one of these pools is closed by the configuration
//    that moved the queue here, or by a later one; such a pool is opened again
//    by a still later configuration only;
// 4. write the open admission, with the other pools.
// An owner closes its pool for a queue when its configuration names another
// pool, after it has stored the jobs that it has accepted, and repeats that for
// each later configuration. A queue that is only removed stays open: none of
// its jobs are submitted until a configuration names a pool for it again.
//
// So at most one pool is open for a queue at any time, and whoever knows that a
// pool has been open from a look-up in its earlier pools until the insert knows
// that these do not hold the job. Cost: two commits and two calls for each
// queue of a new site, and nothing after that until the queue moves.

#ifndef RADISHMOOR_JOBS_QUEUE_ADMISSION_H_
#define RADISHMOOR_JOBS_QUEUE_ADMISSION_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "radishmoor/jobs/commit_chain.h"
#include "radishmoor/jobs/job_rows.h"

namespace radishmoor {

class QueueAdmission {
 public:
  // `state` and `chain` must outlive this object.
  QueueAdmission(const JobPoolState& state, CommitChain& chain)
      : state_(state), chain_(chain) {}

  // Loads a row of the pool, as a new owner finds it.
  void LoadRow(const QueueAdmissionRow& row);
  void OnConfig(const JobConfig& config);
  // Returns whether the answer belongs to a request of this object.
  bool OnStoreAnswer(Time now, const StoreAnswer& answer);
  // Handles the stored rows of a commit (CommitChain::Stored::rows).
  void OnStored(std::span<const std::string> keys);
  // Sends the requests and writes the rows that are due. Must not be called
  // before all rows of the pool are loaded.
  void Tick(Time now, Outbox& outbox);
  Time next_wake() const { return next_wake_; }

  // Returns the configuration since which the pool has been open for the queue;
  // 0 if it is closed or is about to be.
  ConfigVersion OpenSince(const QueueId& queue) const;
  // Returns the other pools that may hold jobs of the queue. Complete if the
  // pool is open.
  std::vector<PoolId> EarlierPools(const QueueId& queue) const;
  // Returns the number of rows that were stored by this owner. Other processes
  // need to hear of each.
  uint64_t changes() const { return changes_; }
  // Returns the queues that this pool may hold jobs of or is to be opened for.
  std::vector<QueueId> Queues() const;

 private:
  struct Entry {
    QueueAdmissionRow stored;
    bool is_stored = false;
    // The row that was given to the chain and is not stored yet.
    std::optional<QueueAdmissionRow> writing;
    // The configuration since which this owner has seen the queue in this pool;
    // 0 while the queue is elsewhere or nowhere.
    ConfigVersion here_since = 0;
    // The configuration by which the queue belongs to another pool; 0 if none.
    ConfigVersion elsewhere_as_of = 0;
    std::vector<PoolId> pools;  // The row queues//<queue> as last read.
    RowVersion pools_version = 0;
    bool pools_read = false;
    uint64_t tag = 0;  // Of the request in flight; 0: none.
    enum class Request : uint8_t { kReadPools, kAddPool, kReadOthers };
    Request request = Request::kReadPools;
    Time retry_at;
  };

  void ApplyConfig(const QueueId& queue, Entry& entry);
  void TickEntry(Time now, const QueueId& queue, Entry& entry, Outbox& outbox);
  void Open(Time now, const QueueId& queue, Entry& entry, Outbox& outbox);
  void Close(Time now, const QueueId& queue, Entry& entry);
  void Write(Entry& entry, QueueAdmissionRow row);
  void OnPoolsRow(Time now, Entry& entry, const Row& row);
  void OnOthersRead(Time now,
                    const QueueId& queue,
                    Entry& entry,
                    const std::vector<Row>& rows);
  std::vector<PoolId> OtherPools(const Entry& entry) const;
  void Wake(Time at) { next_wake_ = std::min(next_wake_, at); }

  const JobPoolState& state_;
  CommitChain& chain_;
  std::map<QueueId, Entry> entries_;
  ConfigVersion config_version_ = 0;
  std::map<QueueId, PoolId> configured_pools_;
  uint64_t changes_ = 0;
  Time next_wake_ = kTimeZero;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_QUEUE_ADMISSION_H_
