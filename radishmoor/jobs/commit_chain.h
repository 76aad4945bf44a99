// Stores the progress of a pool's jobs, and keeps the pool's lease, in one
// chain of transactions.
//
// Each commit expects the lease row as the one before left it, and rewrites it
// with the next sequence number. A commit that is carried out late, or one of a
// former owner, therefore fails as a whole. After a lost answer the next commit
// is sent with the same expectation and the lost one's content: whichever of
// the two is carried out first, the other one fails, and the row that comes
// back tells which it was.
//
// Nothing that a commit holds back may happen before it is stored: starts of
// tasks, acknowledgements of ends, and states shown to callers.

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
    MemberId node;
    std::string address;
    RowVersion lease_version = 0;
    // Leases that earlier owners gave have lapsed by then.
    Time earlier_leases_until;
  };

  // What a stored commit allows.
  struct Stored {
    std::vector<RunRef> starts;
    std::vector<std::string> rows;  // Keys of other rows.
    bool released = false;
  };

  CommitChain(JobPoolState& state, Options options)
      : state_(state), options_(std::move(options)) {}

  // Sends a commit if one is due: something changed, or the lease needs to be
  // renewed. One commit is in flight at a time.
  void Tick(Time now, Outbox& outbox);
  Time next_wake() const { return next_wake_; }
  // When a commit with changes could be sent; kTimeMax while one is in flight.
  Time ready_at() const;

  // True if the answer belonged to this chain. `stored` is filled when a commit
  // was stored.
  bool OnAnswer(Time now, const StoreAnswer& answer, Stored* stored);

  // Another row of the partition, written with one of the next commits. A later
  // write of the same key replaces an earlier one that is not stored yet.
  void Write(RowWrite write);

  // The next commit gives the lease up.
  void Release(const MemberId& successor);
  bool released() const { return released_; }
  // The lease may have been given up already: nothing may be ordered.
  bool release_sent() const { return commit_.released; }
  // Another process has the lease.
  bool lost() const { return lost_; }

  // When the last stored renewal was sent.
  Time renewed() const { return renewed_; }
  void set_renewed(Time at) { renewed_ = at; }
  // What an owner announces of its lease; the rest is left empty.
  OwnerHeartbeat LeaseHeartbeat(Time now) const;

 private:
  struct InFlight {
    uint64_t tag = 0;
    Time sent;
    uint64_t sequence = 0;
    struct JobPart {
      JobId job;
      JobState state = JobState::kQueued;
      uint64_t changes = 0;
      bool definition_stored = false;
      bool definition_dropped = false;
    };
    std::vector<JobPart> jobs;
    std::vector<RunRef> starts;
    std::vector<std::pair<std::string, uint64_t>> rows;  // Key, change.
    bool released = false;
  };

  Duration Gap() const;
  void Send(Time now, Outbox& outbox);
  void AddLease(Time now, InFlight& commit, Transaction& transaction);
  void AddJobs(InFlight& commit, Transaction& transaction);
  void AddStarts(const JobId& job, InFlight& commit);
  void AddRows(InFlight& commit, Transaction& transaction);
  void OnStored(Time now, const CommittedReply& reply, Stored* stored);
  void OnConflict(Time now, const std::vector<Row>& rows);
  // Takes the content of the commit in flight back.
  void Revert();

  JobPoolState& state_;
  Options options_;
  InFlight commit_;
  struct PendingRow {
    RowWrite write;
    uint64_t change = 0;
  };
  std::map<std::string, PendingRow> rows_;
  uint64_t changes_ = 0;
  Time renewed_;
  Time last_sent_;
  Time not_before_;
  Time next_wake_ = kTimeMax;
  Duration latency_ = kFirstLatency;
  // The store's clock as the last stored commit showed it, and when it did.
  std::optional<Duration> store_clock_;
  Time store_clock_at_;
  uint64_t sequence_ = 0;  // Of the last commit that is known to be stored.
  bool lost_ = false;
  bool releasing_ = false;
  bool released_ = false;
  MemberId successor_;

  static constexpr Duration kFirstLatency = Milliseconds(30);
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_COMMIT_CHAIN_H_
