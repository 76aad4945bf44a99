// Decides which pools this process takes over, and when.
//
// A pool's owner rewrites its lease row with each commit and announces itself
// to all processes. A process that has not heard of the owner for a while reads
// the row; when the row has not changed for the length of the lease, as
// measured by the reader's own clock, it takes the lease with a transaction
// that expects the row as it was read. Processes stand back by their rank for
// the pool and by the number of pools that they own already, so that pools
// spread out.

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

struct PoolOwner {
  MemberId node;
  std::string address;
  Time last_heartbeat_at;  // Its last announcement.
  OwnerHeartbeat heartbeat;
};

struct AcquiredLease {
  PoolId pool;
  FencingToken token = 0;
  RowVersion version = 0;
  Time sent;
  bool first_owner = false;
  bool released = false;  // The earlier owner gave it up.
  // The earlier owner sent its last renewal before.
  Time renewed_before;
  // From then on: leases that owners before it gave may last this long.
  Duration earlier_leases{};
};

// A process that may own pools.
struct LeaseCandidate {
  MemberId node;
  uint32_t capacity = 0;  // Of its host; larger ones come first.
};

class PoolLeases {
 public:
  PoolLeases(MemberId node, std::string address, uint32_t capacity)
      : node_(std::move(node)),
        address_(std::move(address)),
        capacity_(capacity) {}

  // The pools that need an owner, and the live processes that may own them.
  void Watch(Time now, std::span<const PoolId> pools);
  void SetNodes(std::span<const LeaseCandidate> nodes);

  void OnOwnerHeartbeat(Time now,
                        const MemberId& from,
                        const std::string& address,
                        const OwnerHeartbeat& heartbeat);
  // True if the answer was meant for this object.
  bool OnStoreAnswer(Time now, const StoreAnswer& answer, Outbox& outbox);
  void Tick(Time now, Outbox& outbox);
  Time next_wake() const { return next_wake_; }

  // Leases taken since the last call.
  std::vector<AcquiredLease> TakeAcquired();
  // This process owns the pool, or does so no longer.
  void SetOwned(Time now, const PoolId& pool, bool owned);
  // No lease is taken any more.
  void StopAcquiring() { stopped_ = true; }

  // Who owned the pool last, as far as known.
  const PoolOwner* OwnerOf(const PoolId& pool) const;

 private:
  struct Watched {
    bool owned = false;
    std::optional<PoolOwner> owner;
    // The row as last read or announced, and since when it has not changed.
    RowVersion version = 0;
    std::optional<LeaseRow> row;
    bool read = false;
    Time unchanged_since;
    // From this time on the owner has not renewed the row, as its own account
    // of the store's clock shows. Not after `unchanged_since`.
    Time renewed_at;
    // The store's clock at the last reading, and when it was read.
    std::optional<Duration> store_clock;
    Time store_clock_at;
    Time watched_since;
    Time next_read;
    // The last reading failed. After an outage the owner renews as soon as
    // others can read, so the lease is not taken before `hold_until`.
    bool read_failed = false;
    Time hold_until;
    uint64_t read_tag = 0;
    Time read_sent;
    uint64_t take_tag = 0;
    Time take_sent;
    FencingToken take_token = 0;
    bool take_first = false;
    bool take_released = false;
    Time take_renewed_before;
    Duration take_earlier_leases{};
    Time take_after;  // Stands back until then.
  };

  void TickPool(Time now, const PoolId& pool, Watched& watched, Outbox& out);
  void Take(Time now, const PoolId& pool, Watched& watched, Outbox& outbox);
  void OnRead(Time now,
              const PoolId& pool,
              Watched& watched,
              const Row& row,
              std::optional<Duration> store_clock);
  void OnTaken(Time now, const PoolId& pool, Watched& watched, RowVersion v);
  Duration StandBack(const PoolId& pool) const;
  size_t OwnedCount() const;
  void Wake(Time at) { next_wake_ = std::min(next_wake_, at); }

  MemberId node_;
  std::string address_;
  uint32_t capacity_;
  std::vector<LeaseCandidate> nodes_;
  std::map<PoolId, Watched> pools_;
  std::vector<AcquiredLease> acquired_;
  Duration read_latency_{};
  Time next_wake_ = kTimeMax;
  bool stopped_ = false;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_POOL_LEASES_H_
