// Decides when this process acquires the lease of a pool, and so becomes the
// pool's owner.
//
// A pool's owner rewrites the pool's lease row with each commit and sends
// heartbeats to all scheduler processes. A process that has received no
// heartbeat for a while polls the row. When the row has not changed for the
// length of the lease, as measured by the reader's own clock, the process
// acquires the lease with a transaction that expects the row's version as read.
// Each process waits for a delay that grows with its rank for the pool and with
// the number of pools it already owns, so that pools spread over the processes.

#ifndef RADISHMOOR_JOBS_POOL_LEASES_H_
#define RADISHMOOR_JOBS_POOL_LEASES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "radishmoor/jobs/job_rows.h"
#include "radishmoor/jobs/outbox.h"

namespace radishmoor {

// The process that last announced itself as a pool's owner.
struct PoolOwner {
  MemberId node;
  std::string address;
  Time last_heartbeat_at;
  OwnerHeartbeat heartbeat;  // The last one, with all queues.
  // The queues of the last heartbeat with a complete list.
  std::vector<QueueLoad> complete_queues;
};

struct AcquiredLease {
  PoolId pool;
  FencingToken token = 0;
  RowVersion version = 0;     // Of the lease row as this process wrote it.
  Time sent_at;               // When the acquiring transaction was sent.
  bool first_owner = false;   // The pool had no lease row before.
  bool was_released = false;  // The previous owner released the lease.
  // The previous owner sent its last renewal before this time.
  Time last_renewed_before;
  // LeaseRow::other_leases_remaining, counted from `last_renewed_before`.
  Duration other_leases_remaining{};
  // Servers that the previous owner was emptying.
  std::vector<ServerId> vacating_servers;
};

// A scheduler process that may own pools.
struct LeaseCandidate {
  MemberId node;
  // Processor share in thousandths of a core. Processes with larger shares
  // acquire leases first.
  uint32_t capacity = 0;
};

class PoolLeases {
 public:
  PoolLeases(MemberId node, std::string address, uint32_t capacity)
      : node_(std::move(node)),
        address_(std::move(address)),
        capacity_(capacity) {}

  // Adds pools that need an owner. Pools are never removed.
  void WatchPools(Time now, std::span<const PoolId> pools);
  // Sets the live processes that may own pools, including this one.
  void SetCandidates(std::span<const LeaseCandidate> candidates);

  void OnOwnerHeartbeat(Time now,
                        const MemberId& from,
                        const std::string& address,
                        const OwnerHeartbeat& heartbeat);
  // Returns whether the answer belongs to a request of this object.
  bool OnStoreAnswer(Time now, const StoreAnswer& answer, Outbox& outbox);
  void Tick(Time now, Outbox& outbox);
  Time next_wake() const { return next_wake_; }

  // Returns the leases acquired since the last call.
  std::vector<AcquiredLease> TakeAcquiredLeases();
  // Records whether this process owns the pool.
  void SetOwned(Time now, const PoolId& pool, bool owned);
  // Ends the acquisition of leases for good, for example at shutdown.
  void StopAcquiring() { stopped_ = true; }

  // Returns the owner whose heartbeat came last, or null if none came since
  // this process last owned the pool.
  const PoolOwner* OwnerOf(const PoolId& pool) const;
  // Returns the number of leases of each other process that has announced
  // itself as an owner lately.
  std::map<MemberId, uint32_t> LeasesOfOthers(Time now) const;

 private:
  struct WatchedPool {
    bool owned = false;
    std::optional<PoolOwner> owner;
    // Version of the lease row as last read or announced by its owner; 0 if
    // there is no row.
    RowVersion version = 0;
    // The row as last read. Current if `row_read` is set: no newer version was
    // announced since.
    std::optional<LeaseRow> row;
    bool row_read = false;
    // Since when `version` has not changed.
    Time unchanged_since;
    // The owner has not renewed the row since this time, computed from the
    // store's clock that the owner wrote into the row. Never later than
    // `unchanged_since`.
    Time renewed_at;
    // The store's clock in the answer to the last read, and the local time of
    // that answer.
    std::optional<Duration> store_clock;
    Time store_clock_at;
    Time watched_since;
    Time next_read;
    // An owner that could not renew its lease during a store outage can do so
    // again as soon as this process can read the row again. To leave the owner
    // time for that, the first successful read after failed ones sets
    // `hold_until`, and the lease is not acquired before that time.
    bool read_failed = false;
    Time hold_until;
    uint64_t read_tag = 0;  // 0: no read is in flight.
    Time read_sent_at;
    // The transaction that acquires the lease; a tag of 0 means that none is in
    // flight. The other fields become those of the AcquiredLease.
    uint64_t acquire_tag = 0;
    uint32_t failed_acquisitions = 0;
    Time acquire_sent_at;
    FencingToken acquire_token = 0;
    bool acquire_as_first_owner = false;
    bool acquire_was_released = false;
    Time acquire_renewed_before;
    Duration acquire_other_leases_remaining{};
    std::vector<ServerId> acquire_vacating_servers;
    // A lease that was released or has no row yet is not acquired before this
    // time.
    Time acquire_not_before;
  };

  void TickPool(Time now,
                const PoolId& pool,
                WatchedPool& watched,
                Outbox& out);
  void AcquireLease(Time now,
                    const PoolId& pool,
                    WatchedPool& watched,
                    Outbox& outbox);
  void OnRowRead(Time now,
                 const PoolId& pool,
                 WatchedPool& watched,
                 const Row& row,
                 std::optional<Duration> store_clock);
  void OnLeaseAcquired(Time now,
                       const PoolId& pool,
                       WatchedPool& watched,
                       RowVersion version);
  // Returns the time until the next attempt after a failed acquisition. It is
  // random, but the same in each run with the same names.
  Duration RetryDelay(const PoolId& pool, WatchedPool& watched) const;
  // Returns how long this process lets other candidates acquire the lease
  // first.
  Duration AcquireDelay(const PoolId& pool) const;
  // Returns the number of leases that this process holds or is acquiring.
  size_t OwnedCount() const;
  void Wake(Time at) { next_wake_ = std::min(next_wake_, at); }

  MemberId node_;
  std::string address_;
  uint32_t capacity_;
  std::vector<LeaseCandidate> candidates_;
  std::map<PoolId, WatchedPool> pools_;
  std::vector<AcquiredLease> acquired_;
  Duration read_latency_{};  // The largest of the latest reads of lease rows.
  Time read_latency_at_;
  Time next_wake_ = kTimeMax;
  bool stopped_ = false;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_POOL_LEASES_H_
