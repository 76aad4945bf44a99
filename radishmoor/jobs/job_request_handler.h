// Callers' requests on one process: submissions, states, cancellations and the
// length of queues.
//
// A submission is answered with success only after the store has acknowledged
// it, and refused as not accepted only when it surely is not stored. In
// between, when answers of the store are lost, it is repeated: the insert
// expects that the job is absent, so a repeat finds the stored job.
//
// States come from the pool's owner; where it does not answer, from the store.
// Only the store can say that a job does not exist.

#ifndef RADISHMOOR_JOBS_JOB_REQUEST_HANDLER_H_
#define RADISHMOOR_JOBS_JOB_REQUEST_HANDLER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "radishmoor/jobs/outbox.h"
#include "radishmoor/jobs/pool_leases.h"

namespace radishmoor {

class JobRequestHandler {
 public:
  // `incarnation`: of the process, so that answers to an earlier one are not
  // taken for its own.
  JobRequestHandler(MemberId node,
                    uint64_t incarnation,
                    const PoolLeases& leases)
      : node_(std::move(node)),
        leases_(leases),
        next_request_(incarnation << 20 | 1) {}

  // The newest configuration; versions only grow.
  void OnConfig(Time now, const JobConfig& config);
  void OnCall(Time now, WallMillis wall, JobCall call, Outbox& outbox);
  // The caller has gone: nothing is answered any more. A submission under way
  // may still be stored.
  void OnAbandoned(JobCallId call);
  bool OnStoreAnswer(Time now, const StoreAnswer& answer, Outbox& outbox);
  void OnJobAnswer(Time now, const JobAnswer& answer, Outbox& outbox);
  void Tick(Time now, Outbox& outbox);
  Time next_wake() const;

  // Answers all open calls before the process ends.
  void EndCalls(Outbox& outbox);

  // Announcement of a pool that this process owns itself.
  void SetLocalHeartbeat(const OwnerHeartbeat& heartbeat, Time now);

  // Without the store nothing can be accepted: submissions are refused at once.
  void SetStoreLost(bool lost) { store_lost_ = lost; }

  size_t open_calls() const { return calls_.size(); }

  struct Counters {
    uint64_t accepted = 0;
    uint64_t repeated = 0;
    uint64_t refused = 0;
    uint64_t uncertain = 0;
    uint64_t states = 0;
    uint64_t states_from_store = 0;
    uint64_t cancelled = 0;
    uint64_t unknown_queue = 0;
  };
  const Counters& counters() const { return counters_; }

 private:
  enum class Kind : uint8_t { kSubmit, kRead, kCancel };
  enum class Stage : uint8_t { kStoring, kAskingOwner, kReading, kMarking };
  struct OpenCall {
    Kind kind = Kind::kRead;
    Stage stage = Stage::kReading;
    JobId job;
    QueueId queue;
    PoolId pool;
    JobSpec spec;
    Time arrived;
    Time deadline;
    Time timeout;  // Of the owner's answer.
    Time retry_at = kTimeMax;
    bool uncertain = false;  // A submission may have been stored.
    std::vector<PoolId> pools_to_read;
  };
  struct Route {
    const QueueConfig* queue = nullptr;
    std::string_view rest;  // Of the path, after the prefix.
  };

  Route FindRoute(std::string_view host, std::string_view path) const;
  void Start(Time now, JobCallId id, OpenCall& call, Outbox& outbox);
  // Hands a submission to the pool's owner; false if none is known to be well.
  void Submit(Time now, JobCallId id, OpenCall& call, Outbox& outbox);
  // Nothing is sent if no owner is known.
  void SendToOwner(const PoolId& pool, JobPeerMessage message, Outbox& outbox);
  bool HandOver(Time now, JobCallId id, OpenCall& call, Outbox& outbox);
  void Store(Time now, JobCallId id, OpenCall& call, Outbox& outbox);
  void OnAccepted(Time now, JobCallId id, bool repeat, Outbox& outbox);
  void ReadPool(JobCallId id,
                OpenCall& call,
                const PoolId& pool,
                Outbox& outbox);
  void Read(JobCallId id, OpenCall& call, Outbox& outbox);
  void Mark(JobCallId id, OpenCall& call, Outbox& outbox);
  void OnStored(Time now, JobCallId id, const StoreReply& reply, Outbox& out);
  void OnRead(Time now, JobCallId id, const StoreReply& reply, Outbox& outbox);
  void OnMarked(Time now, JobCallId id, const StoreReply& reply, Outbox& out);
  void AnswerPending(Time now,
                     JobCallId id,
                     const QueueConfig& queue,
                     Outbox& outbox);
  void AnswerState(JobCallId id, JobState state, Outbox& outbox);
  void Finish(JobCallId id, JobCallAnswer answer, Outbox& outbox);
  // Refuses a call that gets no other answer in time.
  void GiveUp(JobCallId id, std::string_view why, Outbox& outbox);
  void Refuse(JobCallId id,
              CallOutcome outcome,
              Duration retry_after,
              std::string_view why,
              Outbox& outbox);

  MemberId node_;
  const PoolLeases& leases_;
  // Queues that went to another pool lately: a repeated submission may have
  // been stored for the earlier one.
  struct MovedQueue {
    PoolId earlier;
    Time at;
  };

  JobConfig config_;
  std::map<QueueId, MovedQueue> moved_;
  std::map<JobCallId, OpenCall> calls_;
  std::map<uint64_t, JobCallId> store_calls_;
  std::map<uint64_t, JobCallId> owner_calls_;
  std::map<PoolId, std::pair<OwnerHeartbeat, Time>> local_heartbeats_;
  uint64_t next_request_;
  Counters counters_;
  bool store_lost_ = false;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_JOB_REQUEST_HANDLER_H_
