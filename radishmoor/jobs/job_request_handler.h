// Handles callers' requests on one scheduler process: submissions, state
// queries, cancellations and queries for the length of a queue.
//
// A submission is accepted only after the store has acknowledged the job. It is
// refused as not accepted only if the job is certainly not stored. If an answer
// is lost in between, the insert is repeated; it expects that the job's row is
// absent, so a repeat finds a job that is already stored.
//
// A job stays in the pool in which it was stored when its queue moves to
// another pool. Before a submission is handed over or inserted, the queue's
// earlier pools are asked for the job; see queue_admission.h for why the answer
// still holds when the job is stored. Reads and cancellations look for the job
// in all pools that the queue has had.
//
// The state of a job comes from the pool's owner or, if the owner does not
// answer, from the store. Only the store can tell that a job does not exist.

#ifndef RADISHMOOR_JOBS_JOB_REQUEST_HANDLER_H_
#define RADISHMOOR_JOBS_JOB_REQUEST_HANDLER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "radishmoor/jobs/insert_limiter.h"
#include "radishmoor/jobs/outbox.h"
#include "radishmoor/jobs/pool_leases.h"
#include "radishmoor/jobs/pool_state.h"

namespace radishmoor {

class JobRequestHandler {
 public:
  // `incarnation` is that of this process. It is part of the request numbers,
  // so that answers to an earlier incarnation are not mistaken for answers to
  // this one. `leases` must outlive this object.
  JobRequestHandler(MemberId node,
                    uint64_t incarnation,
                    const PlatformBounds& bounds,
                    const PoolLeases& leases)
      : node_(std::move(node)),
        max_config_age_(bounds.config_apply),
        max_row_bytes_(bounds.max_row_bytes),
        leases_(leases),
        next_request_(incarnation << 20 | 1) {}

  // Applies a configuration unless a newer one is known.
  void OnConfig(const JobConfig& config);
  // Records that no newer configuration was accepted before `at`.
  void ConfirmConfig(Time at) { config_confirmed_at_ = at; }
  // Returns whether the configuration was confirmed lately. Otherwise calls for
  // queues that it does not have are refused, since a newer one may have them.
  bool IsConfigCurrent(Time now) const;
  // Tells whether this process runs its work late. It then refuses all calls
  // while its configuration is not confirmed: other processes have the newest.
  void SetOverloaded(bool overloaded) { overloaded_ = overloaded; }
  // Sets the number of live scheduler processes, this one included.
  void SetProcesses(size_t processes) {
    insert_limiter_.SetProcesses(processes);
  }
  void OnCall(Time now, WallMillis wall, JobCall call, Outbox& outbox);
  // Drops a call whose caller has disconnected; it gets no answer. The job of a
  // submission may still be stored.
  void OnAbandoned(JobCallId call);
  // Returns false if the request was not sent by this object.
  bool OnStoreAnswer(Time now, const StoreAnswer& answer, Outbox& outbox);
  // Handles the answer of a pool's owner.
  void OnJobAnswer(Time now, const JobAnswer& answer, Outbox& outbox);
  void Tick(Time now, Outbox& outbox);
  Time next_wake() const;

  // Refuses all open calls before the process ends. Submissions and
  // cancellations are refused as uncertain.
  void RefuseOpenCalls(Outbox& outbox);

  // Records the heartbeat of a pool that this process owns, or owned until now.
  void SetLocalHeartbeat(const OwnerHeartbeat& heartbeat, Time now);

  // While the store is lost, new submissions are refused at once, because no
  // job can be accepted without the store.
  void SetStoreLost(bool lost) { store_lost_ = lost; }

  size_t open_calls() const { return calls_.size(); }

  // Numbers of calls, counted since the start of the process.
  struct Counters {
    uint64_t accepted = 0;
    uint64_t repeated = 0;  // Submissions of jobs that were stored already.
    uint64_t refused = 0;   // All refusals, the uncertain ones included.
    // Submissions refused as uncertain because the store did not answer.
    uint64_t uncertain = 0;
    uint64_t states = 0;  // Reads answered with a job's state.
    // Reads and cancellations whose job was found in the store.
    uint64_t states_from_store = 0;
    uint64_t cancelled = 0;
    uint64_t unknown_queue = 0;
  };
  const Counters& counters() const { return counters_; }

 private:
  enum class Kind : uint8_t { kSubmit, kRead, kCancel };
  enum class Stage : uint8_t {
    // No pool is open for the queue, or it is not known which one is.
    kAwaitingAdmission,
    kReadingAdmission,
    kStoringJob,
    kAskingOwner,
    kReadingStore,
    kReadingQueuePools,
    kStoringCancellation
  };
  struct PendingRefusal {
    CallOutcome outcome = CallOutcome::kUnavailable;
    Duration retry_after{};
    std::string_view reason;
  };
  struct OpenCall {
    Kind kind = Kind::kRead;
    Stage stage = Stage::kReadingStore;
    JobId job;
    QueueId queue;
    PoolId pool;
    JobSpec spec;
    Time arrived;
    Time deadline;
    Time owner_timeout_at;  // When to stop waiting in kAskingOwner.
    Time retry_at = kTimeMax;
    bool may_be_stored = false;  // An insert or the owner did not answer.
    // Of a submission: the queue's QueueLoad::open_since in `pool`, since which
    // no earlier pool has had the job; 0 until that was looked up.
    ConfigVersion admitted_since = 0;
    // Other pools whose rows may hold the job and were not read yet.
    std::vector<PoolId> pools_to_read;
    bool queue_pools_read = false;  // `pools_to_read` holds all of them.
    // Of a submission: the answer if the job is not in the store.
    std::optional<PendingRefusal> refusal;
  };
  struct Route {
    const QueueConfig* queue = nullptr;
    std::string_view path_rest;  // The path after the queue's prefix.
  };

  // Returns the queue of the host with the longest matching path prefix.
  Route FindRoute(std::string_view host, std::string_view path) const;
  void StartCall(Time now, JobCallId id, OpenCall& call, Outbox& outbox);
  // Finds out whether the queue's pool is open for it.
  void StartSubmission(Time now, JobCallId id, OpenCall& call, Outbox& outbox);
  void ReadAdmission(JobCallId id, OpenCall& call, Outbox& outbox);
  void OnAdmissionRead(Time now,
                       JobCallId id,
                       const StoreReply& reply,
                       Outbox& outbox);
  // Starts the submission again after `delay`.
  void AwaitAdmission(Time now, OpenCall& call, Duration delay);
  // Looks for the job in the earlier pools before it is submitted.
  void LookUpInEarlierPools(Time now,
                            JobCallId id,
                            OpenCall& call,
                            ConfigVersion open_since,
                            std::vector<PoolId> earlier_pools,
                            Outbox& outbox);
  // Returns what the owner of the pool has last announced about the queue; null
  // if nothing. Sets `fresh` to whether that was so recent that the owner has
  // no successor yet.
  const QueueLoad* FindLoad(Time now,
                            const PoolId& pool,
                            const QueueId& queue,
                            bool* fresh) const;
  // Hands a submission over to the pool's owner or else stores it directly.
  void Submit(Time now, JobCallId id, OpenCall& call, Outbox& outbox);
  // Sends nothing if no owner of the pool is known.
  void SendToOwner(const PoolId& pool, JobPeerMessage message, Outbox& outbox);
  // Returns the time since the pool's owner last renewed its lease; a very long
  // time if no owner can be reached.
  Duration UnrenewedTime(Time now, const PoolId& pool) const;
  // Returns false if no owner of the pool is known to be renewing its lease.
  bool HandOverToOwner(Time now, JobCallId id, OpenCall& call, Outbox& outbox);
  void StoreJob(Time now, JobCallId id, OpenCall& call, Outbox& outbox);
  void OnAccepted(Time now, JobCallId id, bool repeat, Outbox& outbox);
  // Refuses a submission if its job is not in the store, where an earlier
  // request of the caller may have put it.
  void RefuseUnlessStored(JobCallId id,
                          OpenCall& call,
                          const PendingRefusal& refusal,
                          Outbox& outbox);
  // Reads the job's definition row in the partition of `pool`, and its progress
  // row unless the call is a submission.
  void ReadJobRows(JobCallId id,
                   OpenCall& call,
                   const PoolId& pool,
                   Outbox& outbox);
  // Reads the job's rows in its pool and, if absent, in all other pools that
  // the queue has had.
  void ReadFromStore(JobCallId id, OpenCall& call, Outbox& outbox);
  void ReadQueuePools(JobCallId id, OpenCall& call, Outbox& outbox);
  void OnQueuePoolsRead(Time now,
                        JobCallId id,
                        const StoreReply& reply,
                        Outbox& outbox);
  // Repeats a read of the store, or refuses the call if no time is left.
  void RetryStoreRead(Time now, JobCallId id, OpenCall& call, Outbox& outbox);
  // Continues a read or cancellation whose job is not in the pools read so far.
  void ReadNextPool(JobCallId id, OpenCall& call, Outbox& outbox);
  // Writes the cancellation to the pool's inbox, where the owner finds it.
  void StoreCancellation(JobCallId id, OpenCall& call, Outbox& outbox);
  void OnJobStored(Time now,
                   JobCallId id,
                   const StoreReply& reply,
                   Outbox& out);
  void OnJobRowsRead(Time now,
                     JobCallId id,
                     const StoreReply& reply,
                     Outbox& outbox);
  // Continues a submission whose job was read in one of the queue's pools.
  void OnSubmittedJobRead(Time now, JobCallId id, bool stored, Outbox& outbox);
  void OnCancellationStored(Time now,
                            JobCallId id,
                            const StoreReply& reply,
                            Outbox& out);
  void AnswerPending(Time now,
                     JobCallId id,
                     const QueueConfig& queue,
                     Outbox& outbox);
  void AnswerState(JobCallId id, JobState state, Outbox& outbox);
  void Finish(JobCallId id, JobCallAnswer answer, Outbox& outbox);
  // Refuses a call that has no answer yet: a read as unavailable, and a
  // submission or cancellation as uncertain.
  void RefuseUnanswered(JobCallId id, std::string_view reason, Outbox& outbox);
  void Refuse(JobCallId id,
              CallOutcome outcome,
              Duration retry_after,
              std::string_view reason,
              Outbox& outbox);

  MemberId node_;
  Duration max_config_age_;
  size_t max_row_bytes_;
  const PoolLeases& leases_;
  // An open admission of a queue as this process has read it. An insert that
  // expects the row shows whether it is current.
  struct KnownAdmission {
    ConfigVersion open_since = 0;
    RowVersion row_version = 0;
  };

  JobConfig config_;
  Time config_confirmed_at_;
  bool overloaded_ = false;
  std::map<std::pair<PoolId, QueueId>, KnownAdmission> admissions_;
  std::map<JobCallId, OpenCall> calls_;
  std::map<uint64_t, JobCallId> store_calls_;  // By the tag of the request.
  std::map<uint64_t, JobCallId> owner_calls_;  // By the request number.
  // The latest heartbeat of each pool that this process owns, and its time.
  std::map<PoolId, std::pair<OwnerHeartbeat, Time>> local_heartbeats_;
  uint64_t next_request_;
  Counters counters_;
  InsertLimiter insert_limiter_;
  bool store_lost_ = false;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_JOB_REQUEST_HANDLER_H_
