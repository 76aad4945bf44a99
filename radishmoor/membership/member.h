// Registers one process with the row `member/<id>`, keeps its member lease by
// renewing the row, and provides the expectation that fences its writes.
// Performs no I/O.
//
//   Member member(options);
//   for (MemberAction& a : member.Tick(now)) ...   // Call at next_wake().
//   member.Handle(now, store_answer);
//   member.SetDrainAcknowledgement(config_version, busy_hosts);
//   if (member.HoldsLease(now)) ...
//
// The lease term is measured on the process's monotonic clock and starts when
// the renewal is sent. Every write expects the row version that the previous
// write produced, so a process that has lost its row cannot write again. If the
// answer to a write is lost, the row is read back and its operation id shows
// whether the write took effect.
//
// Cost: one write per kRenewPeriod, plus writes of changes, at most one per
// kMinWriteGap.

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
  uint64_t token = 0;     // Random; distinguishes two processes with one id.
  OperationId operation;  // The write that produced the row.
  MemberRole role = MemberRole::kEntry;
  ZoneId zone;
  std::vector<std::string> addresses;  // "ip:port"; peers use the first.
  // Name and instance of the entry host in the platform's host list. The
  // instance is 0 if the settings do not name it.
  std::string host;
  uint64_t host_instance = 0;
  // Drain acknowledgement: the process sends no new request under a
  // configuration older than `version`. Of the hosts that drain, only those in
  // `busy_hosts` have requests of the process in flight.
  ConfigVersion version = 0;
  std::vector<HostId> busy_hosts;

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

inline constexpr char kMemberPrefix[] = "member/";
std::string MemberKey(const MemberId& id);
std::string EncodeMember(const MemberRecord& record);
// Returns nothing if EncodeMember did not write the text.
std::optional<MemberRecord> DecodeMember(const std::string& text);

// Returns whether the process has certainly ended: the host list shows its host
// instance as terminated or replaced, or a member of `all` with a newer
// incarnation has the same id or one of its addresses. The host list lags
// behind and may describe another instance, so it proves nothing about a record
// without a host instance.
bool IsKnownEnded(const MemberRecord& record,
                  std::span<const HostListEntry> hosts,
                  std::span<const MemberRecord> all);

// The process's row exists and belongs to this incarnation.
struct MemberRegistered {
  Incarnation incarnation;
};
// The lease expired or the row was lost. All work that needs the lease must
// stop.
struct MemberLeaseLost {};
struct MemberLeaseAcquired {};
// Another process removed the row although this process still runs. Member
// registers again with a new incarnation and token.
struct MemberEvicted {};
// A newer incarnation has replaced the row: this process must end.
struct MemberSuperseded {};
// The row is removed after Leave().
struct MemberLeft {};

using MemberAction = std::variant<StoreCall,
                                  MemberRegistered,
                                  MemberLeaseAcquired,
                                  MemberLeaseLost,
                                  MemberEvicted,
                                  MemberSuperseded,
                                  MemberLeft>;

struct MemberOptions {
  MemberId id;
  // Proposed incarnation, for example the wall-clock milliseconds at start.
  // Registration uses a larger one if another row with the same id or a shared
  // address has reached this value.
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
  // Other processes may take over leases once the row has not changed for this
  // long on their clocks. This is the lease term and 2 s for clock drift.
  static constexpr Duration kTakeoverDelay = Seconds(12);
  static constexpr Duration kMinWriteGap = Milliseconds(200);
  // A store answer that takes longer counts as lost.
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

  // Sets the drain acknowledgement that the row must show (see MemberRecord). A
  // change is written within kMinWriteGap as long as the store answers. Ignored
  // if there are more than kMaxBusyHosts hosts; the row then keeps the previous
  // acknowledgement.
  void SetDrainAcknowledgement(ConfigVersion version,
                               std::vector<HostId> busy_hosts);

  // Starts the removal of the row, which ends with MemberLeft. The caller must
  // have no request in flight and must not send any more.
  void Leave();

  bool registered() const { return registered_; }
  bool HoldsLease(Time now) const;
  // Returns when the lease expires, or kTimeZero without a lease.
  Time lease_until() const;

  // Returns the expectation on the member row that a fenced write must include.
  // Absent without the lease and while the outcome of a write of the row is
  // unknown, since that write may change the row version.
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
  bool HasUnwrittenChanges() const;

  // The value that the row should have. The id, role, zone and addresses never
  // change.
  MemberRecord record_;
  Random random_;

  bool scanned_ = false;
  std::string scan_after_;
  bool registered_ = false;
  bool superseded_ = false;
  bool leaving_ = false;
  bool left_ = false;
  bool lease_reported_ = false;  // The last lease action reported it as held.

  RowVersion row_version_ = 0;
  ConfigVersion written_version_ = 0;
  std::vector<HostId> written_busy_hosts_;
  std::optional<Time> lease_started_at_;

  CallKind call_ = CallKind::kNone;
  uint64_t next_tag_ = 1;
  uint64_t call_tag_ = 0;
  Time call_sent_at_;
  // The last write of the row.
  MemberRecord write_;
  Time write_sent_at_;
  bool write_removes_row_ = false;
  bool write_unresolved_ = false;
  Time next_write_;        // Next renewal or retry.
  Time earliest_call_at_;  // kMinWriteGap after a write or read-back.

  Counters counters_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_MEMBERSHIP_MEMBER_H_
