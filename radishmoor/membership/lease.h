// Control leases: the row `lease/<pool>` gives one control process the right to
// change the hosts of a pool. A lease is held under the member row of its
// holder, so it needs no renewal of its own. Performs no I/O.
//
//   Leases leases(options, &member, &peers);
//   leases.SetPools(pools);
//   for (LeaseAction& a : leases.Tick(now)) ...
//   if (auto expects = leases.Expectations(now, pool)) {
//     // Every control transaction of the pool must include them (fencing).
//   }
//
// A lease may be taken when its row is absent, or when the member row of its
// holder is gone, belongs to a later start or did not change for
// Member::kTakeoverDelay by the own clock. The taking transaction expects that
// member row as observed, so a holder that renews first keeps the lease.
//
// Cost: one scan of `lease/` each 3 s, less often when it exceeds
// Peers::kControlScanBytesPerSecond; one write for each change of holder.

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
  uint64_t token = 0;  // MemberRecord::token of the holder.

  friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

inline constexpr char kLeasePrefix[] = "lease/";
std::string LeaseKey(const PoolId& pool);
std::string EncodeLease(const LeaseRecord& record);
std::optional<LeaseRecord> DecodeLease(const std::string& text);

struct LeaseAcquired {
  PoolId pool;
};
// Lost, or given up because another process should hold it.
struct LeaseEnded {
  PoolId pool;
};

using LeaseAction = std::variant<StoreCall, LeaseAcquired, LeaseEnded>;

class Leases {
 public:
  static constexpr Duration kScanPeriod = Seconds(3);
  static constexpr Duration kCallTimeout = Seconds(2);
  static constexpr Duration kMinWriteGap = Milliseconds(20);
  // A process that is not the owner by weight takes a free lease only after
  // this long for each process that precedes it, so that the owner is first
  // and a lease is not left free when the views of the members differ.
  static constexpr Duration kRankDelay = Seconds(5);
  // The owner by weight must be the same for this long before a lease is
  // handed back, and a pool is handed back at most once in kHandBackPeriod: a
  // process that starts and fails in a loop does not move leases each time.
  static constexpr Duration kStableOwner = Seconds(10);
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

  // All pools of the accepted configuration.
  void SetPools(std::set<PoolId> pools);

  std::vector<LeaseAction> Tick(Time now);
  std::vector<LeaseAction> Handle(Time now, const StoreAnswer& answer);
  Time next_wake() const;

  // Gives up all leases and takes no more; for a planned stop.
  void ReleaseAll() { releasing_ = true; }

  bool HoldsPoolLease(Time now, const PoolId& pool) const;
  std::vector<PoolId> HeldPools(Time now) const;

  // What each control transaction of the pool must expect. Absent while the
  // lease is not held and for the moments in which the member row is written.
  std::optional<std::vector<RowExpectation>> Expectations(
      Time now,
      const PoolId& pool) const;

  const Counters& counters() const { return counters_; }

 private:
  struct Lease {
    RowVersion version = 0;  // 0: no row, the lease is free.
    LeaseRecord record;
    bool held = false;
    std::optional<Time> available_since;
    MemberId owner;  // By weight.
    Time owner_since;
    Time hand_back_after;
  };
  struct Write {
    PoolId pool;
    bool take = false;
    bool over = false;  // Takes over from another holder.
  };
  using Actions = std::vector<LeaseAction>;

  void Scan(Time now, Actions& out);
  void OnRows(Time now, const std::vector<Row>& rows, Actions& out);
  void OnRow(const Row& row, Actions& out);
  void EndScan(Time now, Actions& out);
  void OnWritten(Time now, RowVersion version, Actions& out);
  void Decide(Time now, Actions& out);
  // True when it emitted a write.
  bool Consider(Time now, const PoolId& pool, Lease& lease, Actions& out);
  void Take(Time now, const PoolId& pool, Lease& lease, Actions& out);
  void Remove(Time now, const PoolId& pool, Lease& lease, Actions& out);
  void Commit(Time now, Write write, Transaction transaction, Actions& out);
  void End(const PoolId& pool, Lease& lease, Actions& out);
  // What the taking transaction must expect of the holder's member row; absent
  // while the holder may still be running.
  std::optional<std::vector<RowExpectation>> Available(
      const Lease& lease) const;
  std::vector<MemberId> LiveByWeight(const PoolId& pool) const;

  Random random_;
  const Member* member_;
  const Peers* peers_;
  std::set<PoolId> pools_;
  std::map<PoolId, Lease> leases_;
  bool releasing_ = false;
  bool scanned_ = false;

  Time next_scan_;
  Time next_write_;
  Time decided_;  // Last run of Decide().
  uint64_t next_tag_ = 1;
  uint64_t scan_tag_ = 0;  // 0: none under way.
  Time scan_sent_;
  std::string scan_after_;
  int64_t scan_bytes_ = 0;
  std::set<PoolId> seen_;
  // Changed by own writes after the scan was sent; its rows are older.
  std::set<PoolId> written_;
  uint64_t write_tag_ = 0;  // 0: none under way.
  Time write_sent_;
  Write write_;

  Counters counters_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_MEMBERSHIP_LEASE_H_
