#include "radishmoor/jobs/commit_chain.h"

#include <algorithm>
#include <iterator>

#include "radishmoor/base/invariant.h"

namespace radishmoor {
namespace {

// Commits are at least this far apart, so that one commit contains several
// changes: each call to the store costs money, and a partition carries 200
// calls per second. Changes that fill a commit do not wait.
constexpr Duration kMinCommitInterval = Milliseconds(15);
// Without changes, a commit is sent this often to renew the lease.
constexpr Duration kRenewPeriod = Milliseconds(400);
// Other processes extend a lease by six times the largest latency of their
// reads; a commit takes up to three times as long as a read.
constexpr int64_t kSlowStoreFactor = 2;
// Limits of one commit. The store takes at most 100 entries and 1 MB in one
// transaction.
constexpr size_t kMaxEntries = 95;
// Number of these entries that are reserved for rows given to Write(), so that
// changed jobs do not crowd them out.
constexpr size_t kRowEntries = 10;
constexpr size_t kMaxBytes = 600 * 1024;
// A commit counts as lost if it is not answered within this multiple of the
// usual latency, limited to the range from kMinTimeout to kMaxTimeout.
constexpr int64_t kTimeoutFactor = 5;
constexpr Duration kMinTimeout = Milliseconds(400);
constexpr Duration kMaxTimeout = Milliseconds(2500);
// After a lost answer the assumed latency is multiplied by this factor and is
// at least kMinLatencyAfterLostAnswer.
constexpr int64_t kLostAnswerFactor = 4;
constexpr Duration kMinLatencyAfterLostAnswer = Milliseconds(320);
// Delay of the next commit if the store was unavailable, or if a conflict was
// not about the lease row.
constexpr Duration kUnavailableDelay = Milliseconds(100);
// The lease row names the servers that this owner was asked to empty within
// this time. Requests are repeated each 250 ms. The servers that it empties for
// its predecessor are not named again: owners that follow each other quickly
// would keep them empty for good.
constexpr Duration kRecentVacateRequest = Milliseconds(600);

bool HasNoProgress(const StoredProgress& progress) {
  return progress.state == JobState::kQueued && !progress.begun &&
         progress.finished_below == 0 &&
         std::all_of(progress.occurrences.begin(), progress.occurrences.end(),
                     [](const StoredOccurrence& occurrence) {
                       return occurrence.tasks.empty();
                     });
}

}  // namespace

void CommitChain::Release(const MemberId& successor) {
  releasing_ = true;
  successor_ = successor;
}

void CommitChain::OnProcessResumed(Duration pause) {
  set_renewed(renewed() - pause);
  commit_.pause += pause;
}

void CommitChain::Tick(Time now, Outbox& outbox) {
  next_wake_ = kTimeMax;
  if (commit_.tag != 0 || lost_ || released_)
    return;
  bool changed = !state_.jobs.dirty().empty() || !rows_.empty() || releasing_;
  Time due =
      changed ? last_sent_ + MinCommitInterval() : renewed() + kRenewPeriod;
  due = std::max(due, retry_not_before_);
  if (now < due) {
    next_wake_ = due;
    return;
  }
  Send(now, outbox);
}

Duration CommitChain::MinCommitInterval() const {
  bool full = state_.jobs.dirty().size() >= kMaxEntries / 2;
  return full ? Duration::zero() : kMinCommitInterval;
}

Time CommitChain::earliest_commit_at() const {
  if (commit_.tag != 0 || lost_ || released_)
    return kTimeMax;
  return std::max(last_sent_ + MinCommitInterval(), retry_not_before_);
}

void CommitChain::Send(Time now, Outbox& outbox) {
  commit_ = InFlight{};
  commit_.sent = now;
  commit_.sequence = sequence_ + 1;
  Transaction transaction;
  AddLease(now, commit_, transaction);
  AddJobs(commit_, transaction);
  AddRows(commit_, transaction);
  last_sent_ = now;
  ++state_.counters.commits;
  Duration timeout =
      std::clamp(latency_ * kTimeoutFactor, kMinTimeout, kMaxTimeout);
  commit_.tag = outbox.CallStore(CommitRows{std::move(transaction)}, timeout);
}

void CommitChain::AddLease(Time now,
                           InFlight& commit,
                           Transaction& transaction) {
  LeaseRow lease;
  lease.holder = options_.node;
  lease.address = options_.address;
  lease.token = state_.token;
  lease.sequence = commit.sequence;
  // The lease is released only when few jobs have changes left to store, so
  // that this commit can hold them.
  commit.released = releasing_ && state_.jobs.dirty().size() < kMaxEntries / 2;
  lease.released = commit.released;
  lease.successor = successor_;
  // The row holds whole milliseconds; adding one rounds up.
  lease.other_leases_remaining =
      std::max(Duration::zero(), OtherLeasesUntil() - now) + Milliseconds(1);
  if (store_clock_)
    lease.store_clock = *store_clock_ + (now - store_clock_at_);
  for (const auto& [id, server] : state_.servers.all()) {
    if (server.vacating && server.vacate_requested_at &&
        now - *server.vacate_requested_at <= kRecentVacateRequest)
      lease.vacating_servers.push_back(id);
  }
  std::string key = OwnerLeaseKey(state_.pool);
  transaction.expects.push_back({key, options_.lease_version});
  transaction.writes.push_back({std::move(key), EncodeLease(lease)});
}

Time CommitChain::OtherLeasesUntil() const {
  Time until = state_.earlier_leases_until;
  for (const auto& [id, server] : state_.servers.all()) {
    if (!server.runs.empty())
      until = std::max(until, server.doubt.other_leases_until);
  }
  return until;
}

void CommitChain::AddJobs(InFlight& commit, Transaction& transaction) {
  size_t bytes = 0;
  std::vector<JobId> dirty;
  for (const auto& [number, id] : state_.jobs.dirty()) {
    if (dirty.size() == std::min(kMaxEntries, max_items_))
      break;
    dirty.push_back(id);
  }
  for (const JobId& id : dirty) {
    if (!AddJob(*state_.jobs.Find(id), bytes, commit, transaction))
      break;
  }
}

bool CommitChain::AddJob(Job& job,
                         size_t& bytes,
                         InFlight& commit,
                         Transaction& transaction) {
  std::vector<RowWrite> writes;
  InFlight::JobSnapshot snapshot{job.id, job.state, job.changes};
  // A job that is stored for the first time and has not begun needs no progress
  // row, so that a commit holds twice as many new jobs.
  StoredProgress progress = state_.jobs.ProgressOf(job);
  if (job.definition_stored || !HasNoProgress(progress)) {
    std::vector<std::string> rows = EncodeProgressRows(
        std::move(progress), UsableRowBytes(state_.bounds.max_row_bytes),
        kMaxBytes);
    snapshot.further_progress_rows = static_cast<uint32_t>(rows.size() - 1);
    for (uint32_t i = 0; i < rows.size(); ++i) {
      writes.push_back({i == 0 ? ProgressKey(state_.pool, job.id)
                               : FurtherProgressKey(state_.pool, job.id, i),
                        std::move(rows[i])});
    }
  }
  for (uint32_t i = snapshot.further_progress_rows + 1;
       i <= job.further_progress_rows; ++i)
    writes.push_back({FurtherProgressKey(state_.pool, job.id, i), "", true});
  if (IsFinal(job.state) && !job.HasRuns() && !job.definition_dropped) {
    writes.push_back(
        {JobKey(state_.pool, job.id), std::string(kEndedJobTombstone)});
    snapshot.definition_dropped = true;
  } else if (!job.definition_stored) {
    writes.push_back({JobKey(state_.pool, job.id), EncodeJob(job.spec)});
    snapshot.definition_stored = true;
  }
  size_t job_bytes = 0;
  for (const RowWrite& write : writes)
    job_bytes += write.value.size();
  bool has_room =
      transaction.writes.size() + writes.size() <= kMaxEntries - kRowEntries &&
      bytes + job_bytes <= kMaxBytes;
  if (!has_room && !commit.jobs.empty())
    return false;
  bytes += job_bytes;
  std::move(writes.begin(), writes.end(),
            std::back_inserter(transaction.writes));
  job.further_progress_rows =
      std::max(job.further_progress_rows, snapshot.further_progress_rows);
  commit.jobs.push_back(snapshot);
  state_.jobs.ClearDirty(job);
  AddStarts(job.id, commit);
  return true;
}

void CommitChain::AddStarts(const JobId& job, InFlight& commit) {
  auto planned = state_.planned.extract(job);
  if (planned.empty())
    return;
  for (const RunRef& ref : planned.mapped()) {
    Run* run = state_.jobs.FindRun(ref);
    if (run == nullptr || run->phase != RunPhase::kPlanned)
      continue;
    run->commit = commit.sequence;
    commit.starts.push_back(ref);
  }
}

void CommitChain::Write(RowWrite write) {
  std::string key = write.key;
  rows_[key] = {std::move(write), ++changes_};
}

void CommitChain::AddRows(InFlight& commit, Transaction& transaction) {
  // A rejected commit shows what was wrong only if it holds one kind of rows.
  if (max_items_ < kUnlimitedItems && !commit.jobs.empty())
    return;
  for (const auto& [key, pending] : rows_) {
    if (transaction.writes.size() >= kMaxEntries ||
        commit.rows.size() == max_items_)
      break;
    transaction.writes.push_back(pending.write);
    commit.rows.emplace_back(key, pending.change);
  }
}

OwnerHeartbeat CommitChain::LeaseHeartbeat(Time now) const {
  OwnerHeartbeat heartbeat;
  heartbeat.pool = state_.pool;
  heartbeat.token = state_.token;
  heartbeat.lease_version = options_.lease_version;
  heartbeat.renewed_age = now - renewed();
  heartbeat.released = released_;
  return heartbeat;
}

bool CommitChain::OnAnswer(Time now,
                           const StoreAnswer& answer,
                           Stored* stored) {
  if (commit_.tag == 0 || answer.tag != commit_.tag)
    return false;
  if (const auto* done = std::get_if<CommittedReply>(&answer.reply)) {
    OnStored(now, *done, stored);
    return true;
  }
  InFlight answered = commit_;
  Revert();
  if (const auto* conflict = std::get_if<ConflictReply>(&answer.reply)) {
    OnConflict(now, conflict->rows);
  } else if (std::holds_alternative<RejectedReply>(answer.reply)) {
    OnRejected(now, answered);
  } else if (std::holds_alternative<UnknownReply>(answer.reply)) {
    ++state_.counters.commits_unknown;
    // A repeated commit waits in the partition's queue behind the lost one. The
    // store can become slower by a factor of 100 from one moment to the next,
    // so the timeout grows quickly and few commits are repeated.
    latency_ =
        std::clamp(latency_ * kLostAnswerFactor, kMinLatencyAfterLostAnswer,
                   kMaxTimeout / kTimeoutFactor);
  } else {
    retry_not_before_ = now + kUnavailableDelay;
  }
  return true;
}

void CommitChain::OnStored(Time now,
                           const CommittedReply& reply,
                           Stored* stored) {
  // Other processes wait longer while the store is slow. The answer to this
  // commit does not tell whether the store or this process was slow.
  state_.lease_length =
      std::min(kOwnerLeaseLength + kSlowStoreFactor * latency_,
               kMaxRenewalAgeForPlanning);
  latency_ += (now - commit_.sent - latency_) / 4;
  options_.lease_version = reply.versions.empty() ? 0 : reply.versions.front();
  store_clock_ = reply.clock;
  store_clock_at_ = now;
  sequence_ = commit_.sequence;
  set_renewed(commit_.sent - commit_.pause);
  for (const InFlight::JobSnapshot& snapshot : commit_.jobs) {
    Job* job = state_.jobs.Find(snapshot.job);
    if (job == nullptr)
      continue;
    job->reported_state = snapshot.state;
    job->further_progress_rows = snapshot.further_progress_rows;
    job->stored_changes = std::max(job->stored_changes, snapshot.changes);
    job->definition_stored = job->definition_stored ||
                             snapshot.definition_stored ||
                             snapshot.definition_dropped;
    job->definition_dropped =
        job->definition_dropped || snapshot.definition_dropped;
  }
  for (const auto& [key, change] : commit_.rows) {
    auto it = rows_.find(key);
    if (it == rows_.end() || it->second.change != change)
      continue;
    rows_.erase(it);
    stored->rows.push_back(key);
  }
  max_items_ = std::min(kUnlimitedItems, max_items_ * 2);
  stored->starts = std::move(commit_.starts);
  stored->released = commit_.released;
  released_ = commit_.released;
  commit_ = InFlight{};
}

void CommitChain::OnRejected(Time now, const InFlight& rejected) {
  ++state_.counters.commits_rejected;
  size_t items = std::max(rejected.jobs.size(), rejected.rows.size());
  if (items > 1 || (!rejected.jobs.empty() && !rejected.rows.empty())) {
    max_items_ = std::max<size_t>(1, items / 2);
    return;
  }
  if (!rejected.jobs.empty()) {
    const JobId& id = rejected.jobs.front().job;
    if (Job* job = state_.jobs.Find(id)) {
      job->unstorable = true;
      state_.jobs.ClearDirty(*job);
      state_.planned.erase(id);
    }
    unstorable_jobs_.push_back(id);
  } else if (!rejected.rows.empty()) {
    rows_.erase(rejected.rows.front().first);
  } else {
    retry_not_before_ = now + kUnavailableDelay;
  }
}

void CommitChain::Revert() {
  for (const InFlight::JobSnapshot& snapshot : commit_.jobs) {
    Job* job = state_.jobs.Find(snapshot.job);
    if (job != nullptr)
      state_.jobs.MarkChanged(*job);
  }
  for (const RunRef& ref : commit_.starts)
    state_.planned[ref.task.job].push_back(ref);
  commit_.tag = 0;
}

void CommitChain::OnConflict(Time now, const std::vector<Row>& rows) {
  std::string key = OwnerLeaseKey(state_.pool);
  for (const Row& row : rows) {
    if (row.key != key)
      continue;
    std::optional<LeaseRow> lease = DecodeLease(row.value);
    bool own = lease && lease->holder == options_.node &&
               lease->token == state_.token && !lease->released;
    // A commit of this process whose answer was lost has been carried out.
    if (own && lease->sequence >= sequence_) {
      options_.lease_version = row.version;
      sequence_ = lease->sequence;
      set_renewed(
          std::max(renewed(), commit_.sent - commit_.pause - kMaxTimeout));
      return;
    }
    lost_ = true;
    return;
  }
  // The reply does not contain the lease row, so the conflict is about another
  // row.
  retry_not_before_ = now + kUnavailableDelay;
}

}  // namespace radishmoor
