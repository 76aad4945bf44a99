// Pool leases: the row `lease/<pool>` gives one control process the right to
// change the hosts of a pool. A pool lease is valid as long as the holder keeps
// the lease on its member row (class Member), so it is not renewed separately.
// Performs no I/O.
//
//   Leases leases(options, &member, &peers);
//   leases.SetPools(pools);
//   for (LeaseAction& a : leases.Tick(now)) ...
//   if (auto expects = leases.Expectations(now, pool)) {
//     // Every control transaction of the pool must include `expects`, so that
//     // the store rejects it once the lease is lost (fencing).
//   }
//
// A process may take a lease if its row is absent, or if the member row of its
// holder is absent, belongs to a later incarnation, or has not changed for
// Member::kTakeoverDelay on the clock of the process that takes the lease. The
// transaction that takes the lease expects the member row in the observed
// version, so a holder that renews first keeps the lease.
//
// Cost: one scan of `lease/` every 3 s, less often if the scans would read more
// than Peers::kControlScanBytesPerSecond; one write per change of holder.

#ifndef RADISHMOOR_MEMBERSHIP_LEASE_H_
#define RADISHMOOR_MEMBERSHIP_LEASE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "radishmoor/base/ids.h"
#include "radishmoor/base/random.h"
#include "radishmoor/base/time.h"
#include "radishmoor/membership/member.h"
#include "radishmoor/membership/peers.h"
#include "radishmoor/store/table.h"

namespace radishmoor {

// The value of the row `lease/<pool>`.
struct LeaseRecord {
  MemberId holder;
  uint64_t token = 0;  // The holder's MemberRecord::token.

  friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

inline constexpr char kLeasePrefix[] = "lease/";
std::string LeaseKey(const PoolId& pool);
std::string EncodeLease(const LeaseRecord& record);
std::optional<LeaseRecord> DecodeLease(const std::string& text);

struct LeaseAcquired {
  PoolId pool;
};
// The lease was lost, or this process released it: because another process is
// the preferred holder, the pool is retired, or ReleaseAll() was called.
struct LeaseEnded {
  PoolId pool;
};

using LeaseAction = std::variant<StoreCall, LeaseAcquired, LeaseEnded>;

class Leases {
 public:
  static constexpr Duration kScanPeriod = Seconds(3);
  static constexpr Duration kCallTimeout = Seconds(2);
  static constexpr Duration kMinWriteGap = Milliseconds(20);
  // Control processes are ranked per pool by their rendezvous weight; the
  // preferred holder has rank 0. A process of rank n takes a free lease only
  // after the lease was free for n times this delay. So the preferred holder
  // comes first, and the lease does not stay free if the processes see
  // different members.
  static constexpr Duration kRankDelay = Seconds(5);
  // A holder hands a lease back only after another process has been the
  // preferred holder for kPreferredHolderStableTime, and at most once per pool
  // in kHandBackPeriod. Otherwise a process that starts and fails in a loop
  // would move leases each time.
  static constexpr Duration kPreferredHolderStableTime = Seconds(10);
  static constexpr Duration kHandBackPeriod = Seconds(30);
  static constexpr uint32_t kScanLimit = 500;

  struct Counters {
    uint64_t scans = 0;
    uint64_t scan_bytes = 0;
    uint64_t acquired = 0;
    uint64_t taken_over = 0;
    uint64_t handed_back = 0;
    uint64_t conflicts = 0;
  };

  // `member` and `peers` must outlive this object.
  Leases(uint64_t seed, const Member* member, const Peers* peers);

  // Sets the pools to lease: all pools of the accepted configuration.
  void SetPools(std::set<PoolId> pools);

  std::vector<LeaseAction> Tick(Time now);
  std::vector<LeaseAction> Handle(Time now, const StoreAnswer& answer);
  Time next_wake() const;

  // Releases all leases and takes no more. Used for a planned stop.
  void ReleaseAll() { releasing_ = true; }

  bool HoldsPoolLease(Time now, const PoolId& pool) const;
  std::vector<PoolId> HeldPools(Time now) const;

  // Returns the row expectations that every control transaction of the pool
  // must include. Absent while the lease is not held and while a write of the
  // member row is in flight, since that write changes the row version.
  std::optional<std::vector<RowExpectation>> Expectations(
      Time now,
      const PoolId& pool) const;

  const Counters& counters() const { return counters_; }

 private:
  struct Lease {
    RowVersion version = 0;  // 0: the row is absent and the lease is free.
    LeaseRecord record;
    bool held = false;
    std::optional<Time> takeover_possible_since;
    // The control process with the highest rendezvous weight for the pool.
    MemberId preferred_holder;
    Time preferred_holder_since;
    Time hand_back_after;
  };
  struct Write {
    PoolId pool;
    bool take = false;
    bool takes_over = false;  // The lease row of an earlier holder exists.
  };
  using Actions = std::vector<LeaseAction>;

  void Scan(Time now, Actions& out);
  void OnRows(Time now, const std::vector<Row>& rows, Actions& out);
  void OnRow(const Row& row, Actions& out);
  void EndScan(Time now, Actions& out);
  void OnWritten(Time now, RowVersion version, Actions& out);
  void ReconcileLeases(Time now, Actions& out);
  // Takes, releases or reports one lease as needed. Returns whether a write was
  // tried, in which case the same ReconcileLeases() call writes no other lease.
  bool ReconcileLease(Time now, const PoolId& pool, Lease& lease, Actions& out);
  void Take(Time now, const PoolId& pool, Lease& lease, Actions& out);
  void Remove(Time now, const PoolId& pool, Lease& lease, Actions& out);
  void Commit(Time now, Write write, Transaction transaction, Actions& out);
  void StopHolding(const PoolId& pool, Lease& lease, Actions& out);
  // Returns what a transaction that takes the lease must expect of the holder's
  // member row. Absent while the holder may still be running.
  std::optional<std::vector<RowExpectation>> TakeoverExpectations(
      const Lease& lease) const;
  std::vector<MemberId> LiveMembersByWeight(const PoolId& pool) const;

  Random random_;
  const Member* member_;
  const Peers* peers_;
  std::set<PoolId> pools_;
  std::map<PoolId, Lease> leases_;
  bool releasing_ = false;
  bool scanned_ = false;

  Time next_scan_;
  Time next_write_;
  Time last_reconciled_at_;
  uint64_t next_tag_ = 1;
  uint64_t scan_tag_ = 0;  // 0: no scan is in flight.
  Time scan_sent_at_;
  std::string scan_after_;
  int64_t scan_bytes_ = 0;
  std::set<PoolId> scanned_pools_;
  // Pools whose lease this process wrote after it started the scan. The rows of
  // the scan are older and are ignored for these pools.
  std::set<PoolId> written_since_scan_;
  uint64_t write_tag_ = 0;  // 0: no write is in flight.
  Time write_sent_at_;
  Write write_;

  Counters counters_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_MEMBERSHIP_LEASE_H_
