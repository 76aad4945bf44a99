#include "radishmoor/membership/lease.h"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>

#include "radishmoor/base/hash.h"

namespace radishmoor {
namespace {

constexpr char kFormat[] = "lease1";

}  // namespace

std::string LeaseKey(const PoolId& pool) {
  return kLeasePrefix + pool.str();
}

std::string EncodeLease(const LeaseRecord& r) {
  std::ostringstream out;
  out << kFormat << ' ' << std::quoted(r.holder.str()) << ' ' << r.token;
  return out.str();
}

std::optional<LeaseRecord> DecodeLease(const std::string& text) {
  std::istringstream in(text);
  std::string format;
  std::string holder;
  LeaseRecord r;
  in >> format >> std::quoted(holder) >> r.token;
  if (!in || format != kFormat)
    return std::nullopt;
  r.holder = MemberId(std::move(holder));
  return r;
}

Leases::Leases(uint64_t seed, const Member* member, const Peers* peers)
    : random_(seed), member_(member), peers_(peers) {}

void Leases::SetPools(std::set<PoolId> pools) {
  pools_ = std::move(pools);
}

std::vector<LeaseAction> Leases::Tick(Time now) {
  Actions out;
  if (!member_->HoldsLease(now)) {
    for (auto& [pool, lease] : leases_)
      StopHolding(pool, lease, out);
  }
  if (scan_tag_ != 0 && now - scan_sent_at_ >= kCallTimeout)
    scan_tag_ = 0;
  if (write_tag_ != 0 && now - write_sent_at_ >= kCallTimeout) {
    write_tag_ = 0;
    // The write's outcome is unknown; a scan shows whether it took effect.
    next_scan_ = now;
  }
  if (scan_tag_ == 0 && now >= next_scan_) {
    scan_after_.clear();
    scan_bytes_ = 0;
    scanned_pools_.clear();
    written_since_scan_.clear();
    Scan(now, out);
  }
  ReconcileLeases(now, out);
  return out;
}

Time Leases::next_wake() const {
  Time wake = scan_tag_ != 0 ? scan_sent_at_ + kCallTimeout : next_scan_;
  if (write_tag_ != 0)
    wake = std::min(wake, write_sent_at_ + kCallTimeout);
  else if (next_write_ > last_reconciled_at_)
    wake = std::min(wake, next_write_);
  for (const auto& [pool, lease] : leases_) {
    if (lease.held)
      return std::min(wake, member_->lease_until());
  }
  return wake;
}

void Leases::Scan(Time now, Actions& out) {
  scan_tag_ = next_tag_++;
  scan_sent_at_ = now;
  out.push_back(
      StoreCall{scan_tag_, ScanRows{kLeasePrefix, scan_after_, kScanLimit}});
}

std::vector<LeaseAction> Leases::Handle(Time now, const StoreAnswer& answer) {
  Actions out;
  if (scan_tag_ != 0 && answer.tag == scan_tag_) {
    scan_tag_ = 0;
    if (const auto* rows = std::get_if<RowsReply>(&answer.reply))
      OnRows(now, rows->rows, out);
    else
      next_scan_ = now + random_.Between(kScanPeriod / 2, kScanPeriod);
  } else if (write_tag_ != 0 && answer.tag == write_tag_) {
    write_tag_ = 0;
    const auto* committed = std::get_if<CommittedReply>(&answer.reply);
    if (committed && committed->versions.size() == 1) {
      OnWritten(now, committed->versions[0], out);
    } else {
      if (std::holds_alternative<ConflictReply>(answer.reply))
        ++counters_.conflicts;
      // Either this process's view of the rows was outdated or the store
      // failed. Scans again before the next attempt.
      next_scan_ = std::min(
          next_scan_,
          now + random_.Between(Milliseconds(250), Milliseconds(1000)));
      next_write_ = next_scan_ + Milliseconds(1);
    }
  }
  ReconcileLeases(now, out);
  return out;
}

void Leases::OnRows(Time now, const std::vector<Row>& rows, Actions& out) {
  for (const Row& row : rows) {
    scan_bytes_ += static_cast<int64_t>(row.key.size() + row.value.size());
    OnRow(row, out);
  }
  if (rows.size() < kScanLimit) {
    EndScan(now, out);
    return;
  }
  scan_after_ = rows.back().key;
  Scan(now, out);
}

void Leases::OnRow(const Row& row, Actions& out) {
  PoolId pool(row.key.substr(sizeof(kLeasePrefix) - 1));
  std::optional<LeaseRecord> record = DecodeLease(row.value);
  scanned_pools_.insert(pool);
  Lease& lease = leases_[pool];
  if (written_since_scan_.contains(pool) || row.version <= lease.version)
    return;
  StopHolding(pool, lease, out);
  lease.version = row.version;
  lease.record = record.value_or(LeaseRecord{});
}

void Leases::EndScan(Time now, Actions& out) {
  ++counters_.scans;
  counters_.scan_bytes += static_cast<uint64_t>(scan_bytes_);
  scanned_ = true;
  Duration by_bytes =
      Seconds(1) * scan_bytes_ / Peers::kControlScanBytesPerSecond;
  next_scan_ = now + std::max(by_bytes, random_.Between(kScanPeriod * 4 / 5,
                                                        kScanPeriod));
  for (auto& [pool, lease] : leases_) {
    if (scanned_pools_.contains(pool) || written_since_scan_.contains(pool))
      continue;
    StopHolding(pool, lease, out);
    lease.version = 0;
    lease.record = {};
  }
  std::erase_if(leases_, [this](const auto& entry) {
    return entry.second.version == 0 && !pools_.contains(entry.first);
  });
}

void Leases::StopHolding(const PoolId& pool, Lease& lease, Actions& out) {
  if (!lease.held)
    return;
  lease.held = false;
  out.push_back(LeaseEnded{pool});
}

void Leases::ReconcileLeases(Time now, Actions& out) {
  last_reconciled_at_ = now;
  if (!scanned_ || !peers_->scanned() || !member_->HoldsLease(now))
    return;
  for (const PoolId& pool : pools_)
    leases_.try_emplace(pool);
  for (auto& [pool, lease] : leases_) {
    if (ReconcileLease(now, pool, lease, out))
      return;
  }
}

bool Leases::ReconcileLease(Time now,
                            const PoolId& pool,
                            Lease& lease,
                            Actions& out) {
  bool may_write = write_tag_ == 0 && now >= next_write_;
  bool own =
      lease.version != 0 && lease.record.token == member_->record().token;
  std::vector<MemberId> ranked = LiveMembersByWeight(pool);
  if (lease.preferred_holder != ranked.front()) {
    lease.preferred_holder = ranked.front();
    lease.preferred_holder_since = now;
  }
  bool wanted = pools_.contains(pool) && !releasing_;
  bool hand_back =
      lease.preferred_holder != member_->record().id &&
      now - lease.preferred_holder_since >= kPreferredHolderStableTime &&
      now >= lease.hand_back_after;
  if (own) {
    lease.takeover_possible_since.reset();
    if ((!wanted || hand_back) && may_write) {
      counters_.handed_back += wanted ? 1 : 0;
      lease.hand_back_after = now + kHandBackPeriod;
      Remove(now, pool, lease, out);
      return true;
    }
    bool removing = write_tag_ != 0 && write_.pool == pool;
    if (!lease.held && !removing && wanted) {
      lease.held = true;
      out.push_back(LeaseAcquired{pool});
    }
    return false;
  }
  if (!TakeoverExpectations(lease)) {
    lease.takeover_possible_since.reset();
    return false;
  }
  if (!lease.takeover_possible_since)
    lease.takeover_possible_since = now;
  auto rank = std::find(ranked.begin(), ranked.end(), member_->record().id) -
              ranked.begin();
  if (!may_write || now - *lease.takeover_possible_since < kRankDelay * rank)
    return false;
  if (wanted) {
    Take(now, pool, lease, out);
    return true;
  }
  if (!pools_.contains(pool) && lease.version != 0 && !releasing_) {
    Remove(now, pool, lease, out);  // The pool is retired.
    return true;
  }
  return false;
}

std::optional<std::vector<RowExpectation>> Leases::TakeoverExpectations(
    const Lease& lease) const {
  std::vector<RowExpectation> expects;
  // If the holder is an earlier incarnation of this process, it can no longer
  // write: this incarnation has replaced its member row.
  if (lease.version == 0 || lease.record.holder == member_->record().id)
    return expects;
  const PeerInfo* peer = peers_->Find(lease.record.holder);
  RowVersion version = peer ? peer->row_version : 0;
  if (version != 0 && peer->record.token == lease.record.token &&
      !Peers::RowExpired(*peer)) {
    return std::nullopt;
  }
  expects.push_back({MemberKey(lease.record.holder), version});
  return expects;
}

std::vector<MemberId> Leases::LiveMembersByWeight(const PoolId& pool) const {
  std::vector<std::pair<uint64_t, MemberId>> weights;
  auto add = [&](const MemberId& id) {
    weights.emplace_back(RendezvousWeight(pool.str(), id.str()), id);
  };
  add(member_->record().id);
  for (const PeerInfo* peer : peers_->KnownPeers()) {
    if (peer->record.role == MemberRole::kControl && peer->row_version != 0 &&
        !Peers::RowExpired(*peer)) {
      add(peer->record.id);
    }
  }
  std::sort(weights.rbegin(), weights.rend());
  std::vector<MemberId> ranked;
  ranked.reserve(weights.size());
  for (auto& [weight, id] : weights)
    ranked.push_back(std::move(id));
  return ranked;
}

void Leases::Take(Time now, const PoolId& pool, Lease& lease, Actions& out) {
  std::optional<RowExpectation> own = member_->Expectation(now);
  if (!own)
    return;
  Transaction t{.expects = *TakeoverExpectations(lease)};
  t.expects.push_back({LeaseKey(pool), lease.version});
  t.expects.push_back(*own);
  t.writes.push_back({LeaseKey(pool), EncodeLease({member_->record().id,
                                                   member_->record().token})});
  Commit(now, Write{pool, true, lease.version != 0}, std::move(t), out);
}

void Leases::Remove(Time now, const PoolId& pool, Lease& lease, Actions& out) {
  std::optional<RowExpectation> own = member_->Expectation(now);
  if (!own)
    return;
  // Work under the lease must stop before other processes can take it.
  StopHolding(pool, lease, out);
  Transaction t{.expects = {{LeaseKey(pool), lease.version}, *own}};
  t.writes.push_back({LeaseKey(pool), "", true});
  Commit(now, Write{pool, false, false}, std::move(t), out);
}

void Leases::Commit(Time now,
                    Write write,
                    Transaction transaction,
                    Actions& out) {
  transaction.operation = {random_.Next()};
  write_ = std::move(write);
  write_sent_at_ = now;
  write_tag_ = next_tag_++;
  next_write_ = now + kMinWriteGap;
  out.push_back(StoreCall{write_tag_, CommitRows{std::move(transaction)}});
}

void Leases::OnWritten(Time now, RowVersion version, Actions& out) {
  Lease& lease = leases_[write_.pool];
  lease.takeover_possible_since.reset();
  if (version < lease.version)
    return;  // A scan has already returned a later version of the row.
  written_since_scan_.insert(write_.pool);
  if (!write_.take) {
    lease.version = 0;
    lease.record = {};
    return;
  }
  ++(write_.takes_over ? counters_.taken_over : counters_.acquired);
  lease.version = version;
  lease.record = {member_->record().id, member_->record().token};
  if (member_->HoldsLease(now)) {
    lease.held = true;
    out.push_back(LeaseAcquired{write_.pool});
  }
}

bool Leases::HoldsPoolLease(Time now, const PoolId& pool) const {
  auto it = leases_.find(pool);
  return it != leases_.end() && it->second.held && member_->HoldsLease(now) &&
         it->second.record.token == member_->record().token;
}

std::vector<PoolId> Leases::HeldPools(Time now) const {
  std::vector<PoolId> held;
  for (const auto& [pool, lease] : leases_) {
    if (HoldsPoolLease(now, pool))
      held.push_back(pool);
  }
  return held;
}

std::optional<std::vector<RowExpectation>> Leases::Expectations(
    Time now,
    const PoolId& pool) const {
  std::optional<RowExpectation> own = member_->Expectation(now);
  if (!own || !HoldsPoolLease(now, pool))
    return std::nullopt;
  return std::vector<RowExpectation>{{LeaseKey(pool), leases_.at(pool).version},
                                     *own};
}

}  // namespace radishmoor
