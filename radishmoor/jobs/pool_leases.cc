#include "radishmoor/jobs/pool_leases.h"

#include <algorithm>
#include <utility>

#include "radishmoor/base/hash.h"

namespace radishmoor {
namespace {

// An owner renews at least every 400 ms; a lease that has not changed for three
// times as long has no owner that can store anything.
constexpr Duration kLeaseLength = Milliseconds(1200);
// A slow store makes renewals late by the time that its answers take.
constexpr int64_t kLatencyFactor = 6;
// Announcements come every 300 ms; without two of them the row is read.
constexpr Duration kQuietOwner = Milliseconds(700);
// An owner that is heard but has not renewed for this long may be cut off from
// the store.
constexpr Duration kUnrenewedOwner = Milliseconds(1000);
constexpr Duration kReadPeriod = Milliseconds(300);
constexpr Duration kReadTimeout = Milliseconds(800);
constexpr Duration kTakeTimeout = Milliseconds(1200);
// An owner repeats a failed commit within this time.
constexpr Duration kReturnGrace = Milliseconds(500);
// Of the processes that could take a lease, each waits for those before it.
constexpr Duration kRankDelay = Milliseconds(60);
constexpr Duration kMaxRankDelay = Milliseconds(420);
// A host that is smaller than others leaves them this time.
constexpr Duration kSmallerDelay = Milliseconds(900);
constexpr Duration kOwnedDelay = Milliseconds(250);

}  // namespace

void PoolLeases::Watch(Time now, std::span<const PoolId> pools) {
  for (const PoolId& pool : pools) {
    auto [it, inserted] = pools_.try_emplace(pool);
    if (inserted)
      it->second.watched_since = now;
  }
}

void PoolLeases::SetNodes(std::span<const LeaseCandidate> nodes) {
  nodes_.assign(nodes.begin(), nodes.end());
}

void PoolLeases::OnOwnerHeartbeat(Time now,
                                  const MemberId& from,
                                  const std::string& address,
                                  const OwnerHeartbeat& heartbeat) {
  auto it = pools_.find(heartbeat.pool);
  if (it == pools_.end() || it->second.owned)
    return;
  Watched& watched = it->second;
  if (watched.owner && watched.owner->heartbeat.token > heartbeat.token)
    return;  // From an earlier owner.
  watched.owner = PoolOwner{from, address, now, heartbeat};
  if (heartbeat.lease_version > watched.version) {
    watched.version = heartbeat.lease_version;
    watched.unchanged_since = now - heartbeat.renewed_age;
    watched.renewed_at = watched.unchanged_since;
    watched.row.reset();
    watched.read = false;
  }
  if (heartbeat.released) {
    watched.next_read = now;
    watched.owner->last_heartbeat_at = now - kQuietOwner;
  }
}

bool PoolLeases::OnStoreAnswer(Time now,
                               const StoreAnswer& answer,
                               Outbox& outbox) {
  for (auto& [pool, watched] : pools_) {
    if (watched.read_tag != 0 && answer.tag == watched.read_tag) {
      watched.read_tag = 0;
      if (const auto* rows = std::get_if<RowsReply>(&answer.reply)) {
        read_latency_ = now - watched.read_sent;
        if (watched.read_failed)
          watched.hold_until = now + kReturnGrace;
        watched.read_failed = false;
        if (!rows->rows.empty())
          OnRead(now, pool, watched, rows->rows.front(), rows->clock);
      } else {
        watched.read_failed = true;
      }
      return true;
    }
    if (watched.take_tag == 0 || answer.tag != watched.take_tag)
      continue;
    watched.take_tag = 0;
    if (const auto* done = std::get_if<CommittedReply>(&answer.reply)) {
      outbox.LogDecision("pool-taken",
                         {{"pool", pool.str()},
                          {"token", static_cast<int64_t>(watched.take_token)}});
      OnTaken(now, pool, watched,
              done->versions.empty() ? 0 : done->versions.front());
    } else {
      // The next read tells who has it.
      watched.next_read = now;
      watched.read = false;
    }
    return true;
  }
  return false;
}

void PoolLeases::OnRead(Time now,
                        const PoolId& pool,
                        Watched& watched,
                        const Row& row,
                        std::optional<Duration> store_clock) {
  if (watched.owned)
    return;
  std::optional<LeaseRow> lease = DecodeLease(row.value);
  if (!watched.read || row.version != watched.version) {
    bool same = row.version == watched.version && row.version != 0;
    if (!same)
      watched.unchanged_since = now;
    watched.version = row.version;
    watched.take_after = now + StandBack(pool);
    watched.renewed_at = watched.unchanged_since;
    if (store_clock && lease && lease->store_clock > Duration::zero()) {
      Time stamped = now - (*store_clock - lease->store_clock);
      watched.renewed_at = std::min(watched.renewed_at, stamped);
    }
  }
  watched.store_clock = store_clock;
  watched.store_clock_at = now;
  watched.read = true;
  watched.row = lease;
  // A lease that this process took, with the answer lost.
  bool own = lease && lease->holder == node_ && !lease->released &&
             watched.take_token != 0 && lease->token == watched.take_token &&
             lease->sequence == 0;
  if (own)
    OnTaken(now, pool, watched, row.version);
}

void PoolLeases::OnTaken(Time now,
                         const PoolId& pool,
                         Watched& watched,
                         RowVersion version) {
  watched.version = version;
  watched.unchanged_since = now;
  acquired_.push_back({pool, watched.take_token, version, watched.take_sent,
                       watched.take_first, watched.take_released,
                       watched.take_renewed_before,
                       watched.take_earlier_leases});
  SetOwned(now, pool, true);
}

std::vector<AcquiredLease> PoolLeases::TakeAcquired() {
  return std::exchange(acquired_, {});
}

void PoolLeases::SetOwned(Time now, const PoolId& pool, bool owned) {
  auto it = pools_.find(pool);
  if (it == pools_.end())
    return;
  Watched& watched = it->second;
  watched.owned = owned;
  watched.owner.reset();
  watched.read = false;
  watched.unchanged_since = now;
  watched.renewed_at = now;
  watched.watched_since = now;
  watched.take_token = 0;
}

const PoolOwner* PoolLeases::OwnerOf(const PoolId& pool) const {
  auto it = pools_.find(pool);
  if (it == pools_.end() || !it->second.owner)
    return nullptr;
  return &*it->second.owner;
}

size_t PoolLeases::OwnedCount() const {
  return static_cast<size_t>(
      std::count_if(pools_.begin(), pools_.end(),
                    [](const auto& entry) { return entry.second.owned; }));
}

Duration PoolLeases::StandBack(const PoolId& pool) const {
  uint64_t own = RendezvousWeight(pool.str(), node_.str());
  int64_t rank = 0;
  bool smaller = false;
  for (const LeaseCandidate& other : nodes_) {
    smaller = smaller || other.capacity > capacity_;
    bool same = other.capacity == capacity_ && other.node != node_;
    if (same && RendezvousWeight(pool.str(), other.node.str()) > own)
      ++rank;
  }
  return std::min(kRankDelay * rank, kMaxRankDelay) +
         kOwnedDelay * static_cast<int64_t>(OwnedCount()) +
         (smaller ? kSmallerDelay : Duration::zero());
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
                          Watched& watched,
                          Outbox& outbox) {
  if (watched.owner && !watched.owner->heartbeat.released) {
    Duration quiet = now - watched.owner->last_heartbeat_at;
    Duration unrenewed = quiet + watched.owner->heartbeat.renewed_age;
    if (quiet < kQuietOwner && unrenewed < kUnrenewedOwner) {
      watched.next_read = now;
      Wake(now + std::min(kQuietOwner - quiet, kUnrenewedOwner - unrenewed));
      return;
    }
  }
  if (watched.take_tag != 0)
    return;
  if (watched.read && watched.read_tag == 0) {
    bool vacant = watched.version == 0;
    bool released = watched.row && watched.row->released;
    Time due =
        watched.renewed_at + kLeaseLength + kLatencyFactor * read_latency_;
    if (vacant)
      due = watched.take_after;
    if (released)
      due = watched.row->successor == node_ ? now : watched.take_after;
    else if (!vacant)
      due = std::max(due, watched.hold_until) + StandBack(pool);
    if (now >= due) {
      Take(now, pool, watched, outbox);
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
  watched.read_sent = now;
  watched.read_tag =
      outbox.CallStore(ReadRows{{OwnerLeaseKey(pool)}}, kReadTimeout);
  Wake(watched.next_read);
}

void PoolLeases::Take(Time now,
                      const PoolId& pool,
                      Watched& watched,
                      Outbox& outbox) {
  LeaseRow lease;
  lease.holder = node_;
  lease.address = address_;
  lease.token = (watched.row ? watched.row->token : 0) + 1;
  if (watched.store_clock)
    lease.store_clock = *watched.store_clock + (now - watched.store_clock_at);
  watched.take_token = lease.token;
  watched.take_first = watched.version == 0;
  watched.take_released = watched.row && watched.row->released;
  watched.take_renewed_before = watched.unchanged_since;
  watched.take_earlier_leases =
      watched.row ? watched.row->earlier_leases : Duration::zero();
  watched.take_sent = now;
  Transaction transaction;
  transaction.expects.push_back({OwnerLeaseKey(pool), watched.version});
  transaction.writes.push_back({OwnerLeaseKey(pool), EncodeLease(lease)});
  watched.take_tag =
      outbox.CallStore(CommitRows{std::move(transaction)}, kTakeTimeout);
  outbox.LogDecision(
      "pool-lease-expired",
      {{"pool", pool.str()},
       {"version", static_cast<int64_t>(watched.version)},
       {"unchanged_ms", WholeMilliseconds(now - watched.unchanged_since)},
       {"holder", watched.row ? watched.row->holder.str() : ""}});
}

}  // namespace radishmoor
