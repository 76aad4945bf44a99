// Stores the progress of a pool's jobs and renews the pool's lease in one chain
// of commits (transactions).
//
// Each commit expects the lease row as the previous commit wrote it, and
// rewrites it with the next sequence number. A commit that is carried out late,
// or one of an earlier owner, therefore fails as a whole. If the answer to a
// commit is lost, the next commit is sent with the same expectation and also
// contains the changes of the lost one. Whichever of the two is carried out
// first, the other one fails, and the lease row in the conflict reply tells
// which one succeeded.
//
// If the store rejects a commit as invalid, later ones contain fewer jobs until
// the one that it does not take is found; see TakeUnstorableJobs(). The others,
// and the lease, do not depend on it.
//
// Three kinds of actions wait until the commit with their cause is stored:
// starting tasks, acknowledging ends of runs, and showing states to callers.

#ifndef RADISHMOOR_JOBS_COMMIT_CHAIN_H_
#define RADISHMOOR_JOBS_COMMIT_CHAIN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "radishmoor/jobs/pool_state.h"

namespace radishmoor {

class CommitChain {
 public:
  struct Options {
    MemberId node;        // Name of this scheduler process.
    std::string address;  // Address of this process for its peers.
    RowVersion lease_version = 0;
  };

  // Content of a stored commit on which other actions wait.
  struct Stored {
    std::vector<RunRef> starts;     // Planned runs, which may be started now.
    std::vector<std::string> rows;  // Keys of rows given to Write().
    bool released = false;          // The lease was released.
  };

  CommitChain(JobPoolState& state, Options options)
      : state_(state), options_(std::move(options)) {}

  // Sends a commit if one is due because something changed or the lease needs
  // to be renewed. At most one commit is in flight.
  void Tick(Time now, Outbox& outbox);
  Time next_wake() const { return next_wake_; }
  // Returns the earliest time at which a commit with changes can be sent;
  // kTimeMax while one is in flight and after the lease was lost or released.
  Time earliest_commit_at() const;

  // Returns true if the answer belongs to the commit in flight. Fills `stored`
  // if that commit was stored.
  bool OnAnswer(Time now, const StoreAnswer& answer, Stored* stored);

  // Returns the jobs that the store has rejected since the last call. They are
  // not committed any more.
  std::vector<JobId> TakeUnstorableJobs() {
    return std::exchange(unstorable_jobs_, {});
  }

  // Adds a write of another row of the partition to one of the next commits. A
  // later write of the same key replaces an earlier one that is not stored yet.
  void Write(RowWrite write);

  // Releases the lease with the first commit that can hold all changes, and
  // names `successor` as the process that should acquire it.
  void Release(const MemberId& successor);
  // Returns true once Release() was called.
  bool releasing() const { return releasing_; }
  bool released() const { return released_; }
  // Returns true if a commit in flight releases the lease. The release may have
  // been carried out already, so no more orders may be sent.
  bool release_sent() const { return commit_.released; }
  // Returns true if another process has acquired the lease.
  bool lost() const { return lost_; }

  // Returns when the commit that last renewed the lease was sent.
  Time renewed() const { return state_.lease_renewed_at; }
  void set_renewed(Time at) { state_.lease_renewed_at = at; }
  // Makes the last renewal, and one in flight, count as sent earlier by
  // `pause`, which the clock has not counted.
  void OnProcessResumed(Duration pause);
  // Returns a heartbeat with the fields that describe the lease; the others are
  // left empty.
  OwnerHeartbeat LeaseHeartbeat(Time now) const;

 private:
  // A commit that was sent and is not answered yet.
  struct InFlight {
    uint64_t tag = 0;  // 0: no commit is in flight.
    Time sent;
    Duration pause{};  // Of the process, since `sent`; see OnProcessResumed().
    uint64_t sequence = 0;
    // State of a job as the commit contains it.
    struct JobSnapshot {
      JobId job;
      JobState state = JobState::kQueued;
      uint64_t changes = 0;             // Job::changes.
      bool definition_stored = false;   // The commit writes the definition.
      bool definition_dropped = false;  // The commit writes the tombstone.
      uint32_t further_progress_rows = 0;
    };
    std::vector<JobSnapshot> jobs;
    std::vector<RunRef> starts;
    // Key and change number (PendingRow::change) of each other row.
    std::vector<std::pair<std::string, uint64_t>> rows;
    bool released = false;
  };

  // Minimum time between two commits.
  Duration MinCommitInterval() const;
  void Send(Time now, Outbox& outbox);
  void AddLease(Time now, InFlight& commit, Transaction& transaction);
  // Returns the latest ServerState::other_leases_until of servers with runs, or
  // the end of earlier owners' leases.
  Time OtherLeasesUntil() const;
  void AddJobs(InFlight& commit, Transaction& transaction);
  // Adds the rows of a changed job. Returns false, with nothing added, if the
  // commit has no room for them.
  bool AddJob(Job& job,
              size_t& bytes,
              InFlight& commit,
              Transaction& transaction);
  void AddStarts(const JobId& job, InFlight& commit);
  void AddRows(InFlight& commit, Transaction& transaction);
  void OnStored(Time now, const CommittedReply& reply, Stored* stored);
  void OnConflict(Time now, const std::vector<Row>& rows);
  void OnRejected(Time now, const InFlight& rejected);
  // Marks the content of the commit in flight as not stored, so that the next
  // commits contain it again.
  void Revert();

  JobPoolState& state_;
  Options options_;
  InFlight commit_;
  struct PendingRow {
    RowWrite write;
    uint64_t change = 0;  // Tells this write from later ones of the same key.
  };
  std::map<std::string, PendingRow> rows_;  // Other rows to write, by key.
  uint64_t changes_ = 0;                    // Number of calls of Write().
  // Maximum number of jobs or other rows in one commit; lowered while the store
  // rejects commits.
  size_t max_items_ = kUnlimitedItems;
  std::vector<JobId> unstorable_jobs_;
  Time last_sent_;
  Time retry_not_before_;  // No commit is sent before this time.
  Time next_wake_ = kTimeMax;
  // Moving average of the time that the store takes to answer a commit.
  Duration latency_ = kInitialLatency;
  // Reading of the store's clock in the answer to the last stored commit, and
  // when that answer arrived.
  std::optional<Duration> store_clock_;
  Time store_clock_at_;
  // Sequence number of the last commit that is known to be stored.
  uint64_t sequence_ = 0;
  bool lost_ = false;
  bool releasing_ = false;
  bool released_ = false;
  MemberId successor_;

  static constexpr Duration kInitialLatency = Milliseconds(30);
  static constexpr size_t kUnlimitedItems = 100;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_COMMIT_CHAIN_H_
