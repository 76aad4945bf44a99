// Registration of one process: its row `member/<id>`, its lease and the fencing
// of its writes. Performs no I/O.
//
//   Member member(options);
//   for (MemberAction& a : member.Tick(now)) ...   // At next_wake() or later.
//   member.Handle(now, store_answer);
//   member.SetAcknowledgement(config_version, busy_hosts);
//   if (member.HoldsLease(now)) ...
//
// The lease runs on the own monotonic clock from the sending of the renewal.
// Every write expects the row version that the last write produced, so a
// process that lost its row cannot write again. A lost answer is resolved by
// reading the row back and comparing the operation id.
//
// Cost: one write each kRenewPeriod, at most one each kMinWriteGap.

#ifndef RADISHMOOR_MEMBERSHIP_MEMBER_H_
#define RADISHMOOR_MEMBERSHIP_MEMBER_H_

#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "radishmoor/base/ids.h"
#include "radishmoor/base/random.h"
#include "radishmoor/base/time.h"
#include "radishmoor/store/table.h"

namespace radishmoor {

// The value of the row `member/<id>`.
struct MemberRecord {
  MemberId id;
  Incarnation incarnation;
  uint64_t token = 0;     // Random; tells two processes of one id apart.
  OperationId operation;  // Of the write that produced the row.
  MemberRole role = MemberRole::kEntry;
  ZoneId zone;
  std::vector<std::string> addresses;  // "ip:port"; the first is for peers.
  // Instance in the platform's host list; 0 when the settings do not say.
  std::string host;
  uint64_t host_instance = 0;
  // Drain acknowledgement: no new request is sent under an older version, and
  // requests are in flight on these draining hosts only.
  ConfigVersion version = 0;
  std::vector<HostId> busy_hosts;

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

inline constexpr char kMemberPrefix[] = "member/";
std::string MemberKey(const MemberId& id);
std::string EncodeMember(const MemberRecord& record);
// Absent when the text was not written by EncodeMember.
std::optional<MemberRecord> DecodeMember(const std::string& text);

// Whether the process is known to have ended: the host list marks its host
// instance as terminated or replaced, or a newer incarnation is bound to one of
// its addresses. A record without a host instance cannot be matched with the
// lagging host list.
bool KnownEnded(const MemberRecord& record,
                std::span<const HostListEntry> hosts,
                std::span<const MemberRecord> all);

// The row exists and belongs to this process.
struct MemberRegistered {
  Incarnation incarnation;
};
// The lease ran out or the row was lost: whatever depends on it must stop.
struct MemberLeaseLost {};
struct MemberLeaseHeld {};
// The row was removed although this process runs; it registers again.
struct MemberEvicted {};
// A newer incarnation holds the row: this process must end.
struct MemberSuperseded {};
// The own row is removed after Leave().
struct MemberLeft {};

using MemberAction = std::variant<StoreCall,
                                  MemberRegistered,
                                  MemberLeaseHeld,
                                  MemberLeaseLost,
                                  MemberEvicted,
                                  MemberSuperseded,
                                  MemberLeft>;

struct MemberOptions {
  MemberId id;
  // Proposal, for example wall-clock milliseconds at start. Registration takes
  // a larger one when a row of the same id or address has it already.
  Incarnation incarnation;
  MemberRole role = MemberRole::kEntry;
  ZoneId zone;
  std::vector<std::string> addresses;
  std::string host;
  uint64_t host_instance = 0;
  uint64_t seed = 1;  // Must differ between processes and starts.
};

class Member {
 public:
  static constexpr Duration kRenewPeriod = Seconds(3);
  static constexpr Duration kLeaseTerm = Seconds(10);
  // Others take over after this long without a change of the row, by their own
  // clock: the lease term and a margin of 2 s for clock drift.
  static constexpr Duration kTakeoverDelay = Seconds(12);
  static constexpr Duration kMinWriteGap = Milliseconds(200);
  // An answer that takes longer counts as lost.
  static constexpr Duration kCallTimeout = Seconds(2);
  static constexpr size_t kMaxBusyHosts = 1024;

  struct Counters {
    uint64_t writes = 0;
    uint64_t read_backs = 0;
    uint64_t conflicts = 0;
    uint64_t lease_losses = 0;
    uint64_t evictions = 0;
  };

  explicit Member(MemberOptions options);

  std::vector<MemberAction> Tick(Time now);
  std::vector<MemberAction> Handle(Time now, const StoreAnswer& answer);
  Time next_wake() const;

  // What the row must show. A change is written within kMinWriteGap while the
  // store answers.
  void SetAcknowledgement(ConfigVersion version,
                          std::vector<HostId> busy_hosts);

  // Removes the own row. The caller must have no request in flight and must
  // not send any more.
  void Leave();

  bool registered() const { return registered_; }
  bool HoldsLease(Time now) const;
  // End of the lease; kTimeZero without one.
  Time lease_until() const;

  // What a fenced write must expect of the own row. Absent without the lease
  // and while a write of the row is in flight, since its version is then about
  // to change.
  std::optional<RowExpectation> Expectation(Time now) const;

  const MemberRecord& record() const { return record_; }
  RowVersion row_version() const { return row_version_; }
  const Counters& counters() const { return counters_; }

 private:
  enum class CallKind : uint8_t { kNone, kScan, kWrite, kReadBack };
  using Actions = std::vector<MemberAction>;

  void Call(Time now, CallKind kind, StoreRequest request, Actions& out);
  void Scan(Time now, Actions& out);
  void Write(Time now, Actions& out);
  void ReadBack(Time now, Actions& out);
  void OnScan(Time now, const std::vector<Row>& rows, Actions& out);
  void OnWritten(RowVersion version, Actions& out);
  void OnCurrentRow(Time now, const Row& row, Actions& out);
  void OnAbsentRow(Time now, Actions& out);
  void OnForeignRow(Time now, const Row& row, Incarnation other, Actions& out);
  void Retry(Time now);
  void UpdateLease(Time now, Actions& out);
  bool Dirty() const;

  MemberRecord record_;  // Wanted value; id, role, zone and addresses fixed.
  Random random_;

  bool scanned_ = false;
  std::string scan_after_;
  bool registered_ = false;
  bool superseded_ = false;
  bool leaving_ = false;
  bool left_ = false;
  bool lease_reported_ = false;

  RowVersion row_version_ = 0;
  ConfigVersion written_version_ = 0;
  std::vector<HostId> written_busy_;
  std::optional<Time> lease_from_;

  CallKind call_ = CallKind::kNone;
  uint64_t next_tag_ = 1;
  uint64_t tag_ = 0;
  Time call_sent_;
  // The last write: its operation, sending and content.
  MemberRecord write_;
  Time write_sent_;
  bool write_removes_ = false;
  bool write_unresolved_ = false;
  Time next_write_;  // Renewal or retry.
  Time gap_until_;   // No write before.

  Counters counters_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_MEMBERSHIP_MEMBER_H_
