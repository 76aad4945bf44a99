#include "radishmoor/membership/member.h"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>

#include "radishmoor/base/invariant.h"

namespace radishmoor {
namespace {

constexpr char kFormat[] = "member1";
constexpr uint32_t kScanLimit = 500;
// Limits the memory that the list of a damaged row can make the decoder use.
constexpr size_t kMaxListSize = 100'000;

void WriteList(std::ostream& out, const std::vector<std::string>& items) {
  out << ' ' << items.size();
  for (const std::string& item : items)
    out << ' ' << std::quoted(item);
}

bool ReadList(std::istream& in, std::vector<std::string>& items) {
  size_t count = 0;
  if (!(in >> count) || count > kMaxListSize)
    return false;
  std::string item;
  while (items.size() < count && in >> std::quoted(item))
    items.push_back(item);
  return items.size() == count;
}

bool SharesAddress(const MemberRecord& a, const MemberRecord& b) {
  return std::any_of(
      a.addresses.begin(), a.addresses.end(), [&](const std::string& address) {
        return std::find(b.addresses.begin(), b.addresses.end(), address) !=
               b.addresses.end();
      });
}

}  // namespace

std::string MemberKey(const MemberId& id) {
  return kMemberPrefix + id.str();
}

std::string EncodeMember(const MemberRecord& r) {
  std::ostringstream out;
  out << kFormat << ' ' << std::quoted(r.id.str()) << ' ' << r.incarnation.value
      << ' ' << r.token << ' ' << r.operation.value << ' '
      << static_cast<int>(r.role) << ' ' << std::quoted(r.zone.str()) << ' '
      << std::quoted(r.host) << ' ' << r.host_instance << ' ' << r.version;
  WriteList(out, r.addresses);
  std::vector<std::string> busy;
  for (const HostId& host : r.busy_hosts)
    busy.push_back(host.str());
  WriteList(out, busy);
  return out.str();
}

std::optional<MemberRecord> DecodeMember(const std::string& text) {
  std::istringstream in(text);
  std::string format;
  std::string id;
  std::string zone;
  int role = 0;
  MemberRecord r;
  std::vector<std::string> busy;
  in >> format >> std::quoted(id) >> r.incarnation.value >> r.token >>
      r.operation.value >> role >> std::quoted(zone) >> std::quoted(r.host) >>
      r.host_instance >> r.version;
  if (!in || format != kFormat || !ReadList(in, r.addresses) ||
      !ReadList(in, busy) || role < 0 || role > 1) {
    return std::nullopt;
  }
  r.id = MemberId(std::move(id));
  r.zone = ZoneId(std::move(zone));
  r.role = static_cast<MemberRole>(role);
  for (std::string& host : busy)
    r.busy_hosts.emplace_back(std::move(host));
  return r;
}

bool IsKnownEnded(const MemberRecord& record,
                  std::span<const HostListEntry> hosts,
                  std::span<const MemberRecord> all) {
  for (const HostListEntry& host : hosts) {
    if (record.host_instance == 0 || host.name != record.host)
      continue;
    if (host.instance > record.host_instance)
      return true;
    if (host.instance == record.host_instance &&
        host.state == HostListState::kTerminated) {
      return true;
    }
  }
  return std::any_of(all.begin(), all.end(), [&](const MemberRecord& other) {
    return other.incarnation > record.incarnation &&
           (other.id == record.id || SharesAddress(other, record));
  });
}

Member::Member(MemberOptions options) : random_(options.seed) {
  record_.id = std::move(options.id);
  record_.incarnation = options.incarnation;
  record_.token = random_.Next();
  record_.role = options.role;
  record_.zone = std::move(options.zone);
  record_.addresses = std::move(options.addresses);
  record_.host = std::move(options.host);
  record_.host_instance = options.host_instance;
}

void Member::SetDrainAcknowledgement(ConfigVersion version,
                                     std::vector<HostId> busy_hosts) {
  std::sort(busy_hosts.begin(), busy_hosts.end());
  // A truncated list would acknowledge hosts that still have requests in
  // flight, so the row keeps its previous acknowledgement.
  if (busy_hosts.size() > kMaxBusyHosts)
    return;
  record_.version = std::max(record_.version, version);
  record_.busy_hosts = std::move(busy_hosts);
}

void Member::Leave() {
  leaving_ = true;
}

bool Member::HasUnwrittenChanges() const {
  return registered_ && (leaving_ || record_.version != written_version_ ||
                         record_.busy_hosts != written_busy_hosts_);
}

std::vector<MemberAction> Member::Tick(Time now) {
  Actions out;
  UpdateLease(now, out);
  if (superseded_ || left_)
    return out;
  if (call_ != CallKind::kNone) {
    if (now - call_sent_at_ < kCallTimeout)
      return out;
    call_ = CallKind::kNone;
    next_write_ = now;
  }
  if (leaving_ && !registered_ && !write_unresolved_) {
    left_ = true;
    out.push_back(MemberLeft{});
    return out;
  }
  if (now < earliest_call_at_ || (now < next_write_ && !HasUnwrittenChanges()))
    return out;
  if (write_unresolved_)
    ReadBack(now, out);
  else if (!scanned_)
    Scan(now, out);
  else
    Write(now, out);
  return out;
}

Time Member::next_wake() const {
  if (superseded_ || left_)
    return lease_reported_ ? lease_until() : kTimeMax;
  Time wake = call_ != CallKind::kNone ? call_sent_at_ + kCallTimeout
              : HasUnwrittenChanges()
                  ? earliest_call_at_
                  : std::max(earliest_call_at_, next_write_);
  return lease_reported_ ? std::min(wake, lease_until()) : wake;
}

void Member::Call(Time now, CallKind kind, StoreRequest request, Actions& out) {
  call_ = kind;
  call_sent_at_ = now;
  call_tag_ = next_tag_++;
  out.push_back(StoreCall{call_tag_, std::move(request)});
}

void Member::Scan(Time now, Actions& out) {
  Call(now, CallKind::kScan, ScanRows{kMemberPrefix, scan_after_, kScanLimit},
       out);
}

void Member::Write(Time now, Actions& out) {
  write_ = record_;
  write_.operation = {random_.Next()};
  write_removes_row_ = leaving_;
  write_sent_at_ = now;
  write_unresolved_ = true;
  earliest_call_at_ = now + kMinWriteGap;
  next_write_ = now + random_.Between(kRenewPeriod * 9 / 10, kRenewPeriod);
  ++counters_.writes;
  std::string key = MemberKey(record_.id);
  Transaction t{.operation = write_.operation};
  t.expects.push_back({key, row_version_});
  t.writes.push_back({key, leaving_ ? "" : EncodeMember(write_), leaving_});
  Call(now, CallKind::kWrite, CommitRows{std::move(t)}, out);
}

void Member::ReadBack(Time now, Actions& out) {
  ++counters_.read_backs;
  earliest_call_at_ = now + kMinWriteGap;
  Call(now, CallKind::kReadBack, ReadRows{{MemberKey(record_.id)}}, out);
}

std::vector<MemberAction> Member::Handle(Time now, const StoreAnswer& answer) {
  Actions out;
  if (call_ == CallKind::kNone || answer.tag != call_tag_)
    return out;
  CallKind kind = std::exchange(call_, CallKind::kNone);
  const auto* rows = std::get_if<RowsReply>(&answer.reply);
  const auto* committed = std::get_if<CommittedReply>(&answer.reply);
  const auto* conflict = std::get_if<ConflictReply>(&answer.reply);
  if (kind == CallKind::kScan && rows) {
    OnScan(now, rows->rows, out);
  } else if (kind == CallKind::kReadBack && rows && rows->rows.size() == 1) {
    OnCurrentRow(now, rows->rows[0], out);
  } else if (kind == CallKind::kWrite && committed &&
             committed->versions.size() == 1) {
    OnWritten(committed->versions[0], out);
  } else if (kind == CallKind::kWrite && conflict &&
             conflict->rows.size() == 1) {
    ++counters_.conflicts;
    OnCurrentRow(now, conflict->rows[0], out);
  } else {
    // After UnavailableReply the write did not take effect. After any other
    // reply its outcome is unknown, so the row is read back.
    if (kind == CallKind::kWrite &&
        std::holds_alternative<UnavailableReply>(answer.reply)) {
      write_unresolved_ = false;
    }
    Retry(now);
  }
  UpdateLease(now, out);
  return out;
}

void Member::Retry(Time now) {
  next_write_ = now + random_.Between(Milliseconds(250), Milliseconds(1000));
}

// Raises the incarnation above those of all rows with the same id or a shared
// address, even if the wall clock was behind: other processes regard the
// largest incarnation as the running one.
void Member::OnScan(Time now, const std::vector<Row>& rows, Actions& out) {
  for (const Row& row : rows) {
    std::optional<MemberRecord> other = DecodeMember(row.value);
    if (!other || other->token == record_.token)
      continue;
    if (other->id == record_.id)
      row_version_ = row.version;
    if (other->id == record_.id || SharesAddress(*other, record_)) {
      record_.incarnation.value =
          std::max(record_.incarnation.value, other->incarnation.value + 1);
    }
  }
  if (rows.size() >= kScanLimit) {
    scan_after_ = rows.back().key;
    Scan(now, out);
    return;
  }
  scan_after_.clear();
  scanned_ = true;
  next_write_ = now;
  Write(now, out);
}

void Member::OnWritten(RowVersion version, Actions& out) {
  RADISHMOOR_INVARIANT("membership.row_version_grows", version > row_version_);
  write_unresolved_ = false;
  row_version_ = version;
  if (write_removes_row_) {
    registered_ = false;
    lease_started_at_.reset();
    next_write_ = earliest_call_at_;
    return;
  }
  lease_started_at_ = write_sent_at_;
  next_write_ = std::max(next_write_, write_sent_at_ + kRenewPeriod * 9 / 10);
  written_version_ = write_.version;
  written_busy_hosts_ = write_.busy_hosts;
  if (!registered_) {
    registered_ = true;
    out.push_back(MemberRegistered{record_.incarnation});
  }
}

void Member::OnCurrentRow(Time now, const Row& row, Actions& out) {
  if (row.version == 0) {
    OnAbsentRow(now, out);
    return;
  }
  std::optional<MemberRecord> current = DecodeMember(row.value);
  if (!current || current->token != record_.token) {
    OnForeignRow(now, row, current ? current->incarnation : Incarnation{}, out);
    return;
  }
  if (current->operation == write_.operation) {
    OnWritten(row.version, out);
    return;
  }
  // The row is from an earlier write of this process, so the last write has not
  // taken effect. It can no longer take effect after the next write, since that
  // write changes the row version that the last write expects.
  row_version_ = row.version;
  write_unresolved_ = false;
  next_write_ = now;
  if (!registered_) {
    registered_ = true;
    out.push_back(MemberRegistered{record_.incarnation});
  }
}

void Member::OnAbsentRow(Time now, Actions& out) {
  write_unresolved_ = false;
  row_version_ = 0;
  next_write_ = now;
  if (!registered_)
    return;
  registered_ = false;
  lease_started_at_.reset();
  if (leaving_)
    return;
  ++counters_.evictions;
  out.push_back(MemberEvicted{});
  ++record_.incarnation.value;
  record_.token = random_.Next();
  scanned_ = false;
}

void Member::OnForeignRow(Time now,
                          const Row& row,
                          Incarnation other,
                          Actions& out) {
  write_unresolved_ = false;
  if (registered_) {
    registered_ = false;
    superseded_ = true;
    lease_started_at_.reset();
    out.push_back(MemberSuperseded{});
    return;
  }
  row_version_ = row.version;
  record_.incarnation.value =
      std::max(record_.incarnation.value, other.value + 1);
  next_write_ = now;
}

Time Member::lease_until() const {
  return lease_started_at_ ? *lease_started_at_ + kLeaseTerm : kTimeZero;
}

bool Member::HoldsLease(Time now) const {
  return registered_ && lease_started_at_ &&
         now < *lease_started_at_ + kLeaseTerm;
}

void Member::UpdateLease(Time now, Actions& out) {
  bool held = HoldsLease(now);
  if (held == lease_reported_)
    return;
  lease_reported_ = held;
  if (held) {
    out.push_back(MemberLeaseAcquired{});
  } else {
    ++counters_.lease_losses;
    out.push_back(MemberLeaseLost{});
  }
}

std::optional<RowExpectation> Member::Expectation(Time now) const {
  if (!HoldsLease(now) || write_unresolved_)
    return std::nullopt;
  return RowExpectation{MemberKey(record_.id), row_version_};
}

}  // namespace radishmoor
