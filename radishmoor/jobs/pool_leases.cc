#include "radishmoor/jobs/pool_leases.h"

#include <algorithm>
#include <utility>

#include "radishmoor/base/hash.h"
#include "radishmoor/jobs/pool_state.h"
#include "radishmoor/jobs/queue_loads.h"

namespace radishmoor {
namespace {

// A slow store delays renewals. The lease length is therefore extended by this
// multiple of the largest latency of a read within kReadLatencyMemory. A
// renewal that was sent while the store was slow may still be under way.
constexpr int64_t kReadLatencyFactor = 6;
constexpr Duration kReadLatencyMemory = Seconds(2);
// Owners send heartbeats every 300 ms. After two missed ones the row is read.
constexpr Duration kOwnerSilenceLimit = Milliseconds(700);
// An owner that sends heartbeats but has not renewed its lease for this long
// may be cut off from the store, so the row is read.
constexpr Duration kOwnerUnrenewedLimit = Milliseconds(1000);
constexpr Duration kReadPeriod = Milliseconds(300);
constexpr Duration kReadTimeout = Milliseconds(800);
constexpr Duration kAcquireTimeout = Milliseconds(1200);
// An acquisition that failed is repeated after this time plus a random share of
// kRetrySpreadPerCandidate for each candidate, so that all processes together
// leave most of a partition's 200 transactions a second to its owner.
constexpr Duration kFailedAcquireDelay = Milliseconds(300);
constexpr Duration kRetrySpreadPerCandidate = Milliseconds(40);
// After a store outage an owner repeats its failed commit, which renews the
// lease, within this time.
constexpr Duration kStoreRecoveryGrace = Milliseconds(500);
// Candidates acquire a lease in the order of their rank for the pool; each
// waits this long for each candidate of a higher rank, so that few of them try
// before one has succeeded.
constexpr Duration kRankDelay = Milliseconds(60);
// A process waits this much longer if another candidate has a larger processor
// share.
constexpr Duration kSmallerShareDelay = Milliseconds(900);
constexpr Duration kDelayPerOwnedPool = Milliseconds(250);
// The lease of a new pool is not acquired for this long. By then, all processes
// of a new site have registered, so that the leases go to the candidates with
// the highest ranks and not to the process that was first.
constexpr Duration kNewPoolDelay = Milliseconds(1000);

}  // namespace

void PoolLeases::WatchPools(Time now, std::span<const PoolId> pools) {
  for (const PoolId& pool : pools) {
    auto [it, inserted] = pools_.try_emplace(pool);
    if (inserted)
      it->second.watched_since = now;
  }
}

void PoolLeases::SetCandidates(std::span<const LeaseCandidate> candidates) {
  candidates_.assign(candidates.begin(), candidates.end());
}

void PoolLeases::OnOwnerHeartbeat(Time now,
                                  const MemberId& from,
                                  const std::string& address,
                                  const OwnerHeartbeat& heartbeat) {
  auto it = pools_.find(heartbeat.pool);
  if (it == pools_.end() || it->second.owned)
    return;
  WatchedPool& watched = it->second;
  if (watched.owner && watched.owner->heartbeat.token > heartbeat.token)
    return;  // From an earlier owner.
  std::vector<QueueLoad> complete_queues;
  if (watched.owner && watched.owner->heartbeat.token == heartbeat.token)
    complete_queues = std::move(watched.owner->complete_queues);
  watched.owner = PoolOwner{from, address, now, heartbeat, {}};
  if (heartbeat.partial_queues)
    watched.owner->heartbeat.queues =
        MergeLoads(complete_queues, heartbeat.queues);
  else
    complete_queues = heartbeat.queues;
  watched.owner->complete_queues = std::move(complete_queues);
  if (heartbeat.lease_version > watched.version) {
    watched.version = heartbeat.lease_version;
    watched.unchanged_since = now - heartbeat.renewed_age;
    watched.renewed_at = watched.unchanged_since;
    watched.row.reset();
    watched.row_read = false;
  }
  if (heartbeat.released) {
    watched.next_read = now;
    watched.owner->last_heartbeat_at = now - kOwnerSilenceLimit;
  }
}

bool PoolLeases::OnStoreAnswer(Time now,
                               const StoreAnswer& answer,
                               Outbox& outbox) {
  for (auto& [pool, watched] : pools_) {
    if (watched.read_tag != 0 && answer.tag == watched.read_tag) {
      watched.read_tag = 0;
      if (const auto* rows = std::get_if<RowsReply>(&answer.reply)) {
        Duration latency = now - watched.read_sent_at;
        if (latency >= read_latency_ ||
            now - read_latency_at_ >= kReadLatencyMemory) {
          read_latency_ = latency;
          read_latency_at_ = now;
        }
        if (watched.read_failed)
          watched.hold_until = now + kStoreRecoveryGrace;
        watched.read_failed = false;
        if (!rows->rows.empty())
          OnRowRead(now, pool, watched, rows->rows.front(), rows->clock);
      } else {
        watched.read_failed = true;
      }
      return true;
    }
    if (watched.acquire_tag == 0 || answer.tag != watched.acquire_tag)
      continue;
    watched.acquire_tag = 0;
    if (const auto* done = std::get_if<CommittedReply>(&answer.reply)) {
      outbox.LogDecision(
          "pool-taken",
          {{"pool", pool.str()},
           {"token", static_cast<int64_t>(watched.acquire_token)}});
      OnLeaseAcquired(now, pool, watched,
                      done->versions.empty() ? 0 : done->versions.front());
    } else {
      // The commit failed or its outcome is unknown. The next read shows who
      // holds the lease.
      watched.next_read = now;
      if (!std::holds_alternative<ConflictReply>(answer.reply))
        watched.next_read += RetryDelay(pool, watched);
      watched.row_read = false;
    }
    return true;
  }
  return false;
}

void PoolLeases::OnRowRead(Time now,
                           const PoolId& pool,
                           WatchedPool& watched,
                           const Row& row,
                           std::optional<Duration> store_clock) {
  if (watched.owned)
    return;
  std::optional<LeaseRow> lease = DecodeLease(row.value);
  if (!watched.row_read || row.version != watched.version) {
    bool same = row.version == watched.version && row.version != 0;
    if (!same)
      watched.unchanged_since = now;
    watched.version = row.version;
    watched.acquire_not_before = now + AcquireDelay(pool);
    watched.renewed_at = watched.unchanged_since;
    if (store_clock && lease && lease->store_clock > Duration::zero()) {
      Time renewal_sent_at = now - (*store_clock - lease->store_clock);
      watched.renewed_at = std::min(watched.renewed_at, renewal_sent_at);
    }
  }
  watched.store_clock = store_clock;
  watched.store_clock_at = now;
  watched.row_read = true;
  watched.row = lease;
  // This process has acquired the lease by a commit whose answer was lost.
  bool acquired_here = lease && lease->holder == node_ && !lease->released &&
                       watched.acquire_token != 0 &&
                       lease->token == watched.acquire_token &&
                       lease->sequence == 0;
  if (acquired_here)
    OnLeaseAcquired(now, pool, watched, row.version);
}

void PoolLeases::OnLeaseAcquired(Time now,
                                 const PoolId& pool,
                                 WatchedPool& watched,
                                 RowVersion version) {
  watched.version = version;
  watched.unchanged_since = now;
  acquired_.push_back(
      {pool, watched.acquire_token, version, watched.acquire_sent_at,
       watched.acquire_as_first_owner, watched.acquire_was_released,
       watched.acquire_renewed_before, watched.acquire_other_leases_remaining,
       watched.acquire_vacating_servers});
  SetOwned(now, pool, true);
}

std::vector<AcquiredLease> PoolLeases::TakeAcquiredLeases() {
  return std::exchange(acquired_, {});
}

void PoolLeases::SetOwned(Time now, const PoolId& pool, bool owned) {
  auto it = pools_.find(pool);
  if (it == pools_.end())
    return;
  WatchedPool& watched = it->second;
  watched.owned = owned;
  watched.owner.reset();
  watched.row_read = false;
  watched.unchanged_since = now;
  watched.renewed_at = now;
  watched.watched_since = now;
  watched.acquire_token = 0;
}

const PoolOwner* PoolLeases::OwnerOf(const PoolId& pool) const {
  auto it = pools_.find(pool);
  if (it == pools_.end() || !it->second.owner)
    return nullptr;
  return &*it->second.owner;
}

std::map<MemberId, uint32_t> PoolLeases::LeasesOfOthers(Time now) const {
  std::map<MemberId, uint32_t> leases;
  for (const auto& [pool, watched] : pools_) {
    if (!watched.owned && watched.owner &&
        now - watched.owner->last_heartbeat_at < kOwnerSilenceLimit)
      ++leases[watched.owner->node];
  }
  return leases;
}

size_t PoolLeases::OwnedCount() const {
  return static_cast<size_t>(
      std::count_if(pools_.begin(), pools_.end(), [](const auto& entry) {
        return entry.second.owned || entry.second.acquire_tag != 0;
      }));
}

Duration PoolLeases::RetryDelay(const PoolId& pool,
                                WatchedPool& watched) const {
  std::string attempt =
      pool.str() + "#" + std::to_string(++watched.failed_acquisitions);
  double share = static_cast<double>(RendezvousWeight(attempt, node_.str())) /
                 static_cast<double>(UINT64_MAX);
  auto spread =
      kRetrySpreadPerCandidate * static_cast<int64_t>(candidates_.size());
  return kFailedAcquireDelay +
         Duration(
             static_cast<int64_t>(share * static_cast<double>(spread.count())));
}

Duration PoolLeases::AcquireDelay(const PoolId& pool) const {
  uint64_t own = RendezvousWeight(pool.str(), node_.str());
  int64_t rank = 0;
  bool has_smaller_share = false;
  for (const LeaseCandidate& other : candidates_) {
    has_smaller_share = has_smaller_share || other.capacity > capacity_;
    bool same = other.capacity == capacity_ && other.node != node_;
    if (same && RendezvousWeight(pool.str(), other.node.str()) > own)
      ++rank;
  }
  return kRankDelay * rank +
         kDelayPerOwnedPool * static_cast<int64_t>(OwnedCount()) +
         (has_smaller_share ? kSmallerShareDelay : Duration::zero());
}

void PoolLeases::Tick(Time now, Outbox& outbox) {
  next_wake_ = kTimeMax;
  if (stopped_)
    return;
  for (auto& [pool, watched] : pools_) {
    if (!watched.owned)
      TickPool(now, pool, watched, outbox);
  }
}

void PoolLeases::TickPool(Time now,
                          const PoolId& pool,
                          WatchedPool& watched,
                          Outbox& outbox) {
  if (watched.owner && !watched.owner->heartbeat.released) {
    Duration silence = now - watched.owner->last_heartbeat_at;
    Duration unrenewed = silence + watched.owner->heartbeat.renewed_age;
    if (silence < kOwnerSilenceLimit && unrenewed < kOwnerUnrenewedLimit) {
      watched.next_read = now;
      Wake(now + std::min(kOwnerSilenceLimit - silence,
                          kOwnerUnrenewedLimit - unrenewed));
      return;
    }
  }
  if (watched.acquire_tag != 0)
    return;
  if (watched.row_read && watched.read_tag == 0) {
    bool vacant = watched.version == 0;
    bool released = watched.row && watched.row->released;
    Time due = watched.renewed_at + kOwnerLeaseLength +
               kReadLatencyFactor * read_latency_;
    if (vacant)
      due = watched.watched_since + kNewPoolDelay + AcquireDelay(pool);
    if (released)
      due = watched.row->successor == node_ ? now : watched.acquire_not_before;
    else if (!vacant)
      due = std::max(due, watched.hold_until) + AcquireDelay(pool);
    if (now >= due) {
      AcquireLease(now, pool, watched, outbox);
      return;
    }
    Wake(due);
  }
  if (watched.read_tag != 0)
    return;
  if (now < watched.next_read) {
    Wake(watched.next_read);
    return;
  }
  watched.next_read = now + kReadPeriod;
  watched.read_sent_at = now;
  watched.read_tag =
      outbox.CallStore(ReadRows{{OwnerLeaseKey(pool)}}, kReadTimeout);
  Wake(watched.next_read);
}

void PoolLeases::AcquireLease(Time now,
                              const PoolId& pool,
                              WatchedPool& watched,
                              Outbox& outbox) {
  LeaseRow lease;
  lease.holder = node_;
  lease.address = address_;
  lease.token = (watched.row ? watched.row->token : 0) + 1;
  if (watched.store_clock)
    lease.store_clock = *watched.store_clock + (now - watched.store_clock_at);
  watched.acquire_token = lease.token;
  watched.acquire_as_first_owner = watched.version == 0;
  watched.acquire_was_released = watched.row && watched.row->released;
  watched.acquire_renewed_before = watched.unchanged_since;
  watched.acquire_other_leases_remaining =
      watched.row ? watched.row->other_leases_remaining : Duration::zero();
  // A process that takes the lease from this one before its first commit needs
  // them too.
  if (watched.row)
    lease.vacating_servers = watched.row->vacating_servers;
  watched.acquire_vacating_servers = lease.vacating_servers;
  watched.acquire_sent_at = now;
  Transaction transaction;
  transaction.expects.push_back({OwnerLeaseKey(pool), watched.version});
  transaction.writes.push_back({OwnerLeaseKey(pool), EncodeLease(lease)});
  watched.acquire_tag =
      outbox.CallStore(CommitRows{std::move(transaction)}, kAcquireTimeout);
  outbox.LogDecision(
      "pool-lease-expired",
      {{"pool", pool.str()},
       {"version", static_cast<int64_t>(watched.version)},
       {"unchanged_ms", WholeMilliseconds(now - watched.unchanged_since)},
       {"holder", watched.row ? watched.row->holder.str() : ""}});
}

}  // namespace radishmoor
