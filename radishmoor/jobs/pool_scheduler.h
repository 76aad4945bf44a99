// Owns the jobs of one pool: takes them up, starts their tasks on the pool's
// backend servers, follows them to their end and stores what must survive this
// process.
//
//   PoolScheduler scheduler(options, outbox);   // After the lease was taken.
//   scheduler.OnServers(now, listings, outbox);
//   scheduler.OnStoreAnswer(now, wall, answer, outbox);
//   scheduler.Tick(now, wall, outbox);
//
// Guarantees: a task runs once at a time and never after its success was
// stored; a start goes out only after it was stored under this owner's lease;
// the room of a server is never exceeded; what a caller is shown is stored.
//
// Sans-I/O. One step costs O(open jobs and their tasks).

#ifndef RADISHMOOR_JOBS_POOL_SCHEDULER_H_
#define RADISHMOOR_JOBS_POOL_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "radishmoor/jobs/commit_chain.h"
#include "radishmoor/jobs/offered_load.h"
#include "radishmoor/jobs/pool_state.h"
#include "radishmoor/jobs/run_control.h"
#include "radishmoor/jobs/task_dispatch.h"

namespace radishmoor {

struct PoolSchedulerOptions {
  PoolId pool;
  MemberId node;
  std::string address;
  PlatformBounds bounds;
  // Of the lease that was taken.
  FencingToken token = 0;
  RowVersion lease_version = 0;
  Time lease_taken_at;
  // Leases that earlier owners gave have lapsed by then.
  Time earlier_leases_until;
};

class PoolScheduler {
 public:
  PoolScheduler(const PoolSchedulerOptions& options,
                const JobConfig& config,
                Outbox& outbox);

  void OnConfig(const JobConfig& config);
  // The platform's list of hosts, asked for at `sent`.
  void OnHosts(Time now,
               Time sent,
               std::span<const HostListing> hosts,
               Outbox& outbox);
  // A server with runs does not answer; the list of hosts may tell why.
  bool wants_hosts(Time now) const;
  void OnServers(Time now,
                 std::span<const ServerListing> listings,
                 Outbox& outbox);
  // True if the answer was meant for this pool.
  bool OnStoreAnswer(Time now,
                     WallMillis wall,
                     const StoreAnswer& answer,
                     Outbox& outbox);
  bool OnServerReply(Time now, const ServerReply& reply, Outbox& outbox);
  bool OnAdvice(Time now, const PlacementAdviceReply& reply);

  void OnJobNotice(Time now,
                   const MemberId& from,
                   const std::string& address,
                   const JobNotice& notice,
                   Outbox& outbox);
  void OnJobQuery(Time now,
                  const MemberId& from,
                  const std::string& address,
                  const JobQuery& query,
                  Outbox& outbox);
  void OnVacateRequest(Time now,
                       const MemberId& from,
                       const std::string& address,
                       const VacateRequest& request,
                       Outbox& outbox);

  void Tick(Time now, WallMillis wall, Outbox& outbox);
  Time next_wake() const { return next_wake_; }

  // Gives the lease up as soon as what is known is stored.
  void Release(const MemberId& successor);
  bool released() const { return chain_.released(); }
  // Another process owns the pool: this object must be dropped.
  bool lost() const { return chain_.lost() || state_.fenced; }
  // The process was suspended: leases are not extended before a commit has
  // shown that the pool is still owned.
  void Resumed();

  OwnerHeartbeat MakeHeartbeat(Time now) const;
  // Cores that running, ready and arriving tasks need.
  double needed_cores(Time now) const;
  // Its servers do not suffice, so more may be on their way.
  bool expects_servers(Time now) const;
  bool loaded() const { return load_.stage == LoadStage::kDone; }
  const JobPoolState& state() const { return state_; }
  FencingToken token() const { return state_.token; }
  Duration renewed_age(Time now) const { return now - chain_.renewed(); }

 private:
  enum class LoadStage : uint8_t { kProgress, kJobs, kInbox, kDone };
  struct Load {
    LoadStage stage = LoadStage::kProgress;
    uint64_t tag = 0;
    std::string after;
    std::map<JobId, StoredProgress> progress;
    Time retry_at;
    bool failed = false;
  };
  struct Waiter {
    MemberId node;
    std::string address;
    uint64_t request = 0;
  };

  void SendLoad(Outbox& outbox);
  void OnLoadAnswer(Time now,
                    WallMillis wall,
                    const StoreReply& reply,
                    Outbox& outbox);
  void LoadRow(Time now, WallMillis wall, const Row& row, Outbox& outbox);
  void LoadJob(Time now, WallMillis wall, const Row& row, Outbox& outbox);
  void FinishLoading(Time now, Outbox& outbox);

  void PollInbox(Time now, Outbox& outbox);
  void OnInboxRow(Time now, const Row& row, Outbox& outbox);
  void TakeUp(Time now,
              const JobId& id,
              const JobSpec& spec,
              Duration age,
              Outbox& outbox);
  bool Cancel(Time now, const JobId& id, Outbox& outbox);
  void AnswerWaiters(Outbox& outbox);
  // One line each second on how full the pool is.
  void LogLoad(Time now, Outbox& outbox);
  // Servers that long-running tasks need, those without any, and silent ones.
  void DescribeServers(Time now, OwnerHeartbeat& heartbeat) const;
  int64_t CapacityCpu() const;
  Time ObjectiveOf(const JobSpec& spec, Time arrived) const;
  void UpdateScheduled(Time now, WallMillis wall);
  void RemoveRow(const std::string& key) { chain_.Write({key, "", true}); }
  void Wake(Time at) { next_wake_ = std::min(next_wake_, at); }

  PoolSchedulerOptions options_;
  JobPoolState state_;
  RunControl runs_;
  TaskDispatch dispatch_;
  CommitChain chain_;
  OfferedLoad offered_;
  Load load_;

  uint64_t inbox_tag_ = 0;
  Time next_inbox_;
  std::map<uint64_t, JobId> job_reads_;  // Definitions that are being read.
  std::set<JobId> reading_;
  std::map<JobId, std::vector<Waiter>> submit_waiters_;  // For its storing.
  std::map<JobId, std::vector<Waiter>> cancel_waiters_;
  std::set<JobId> scheduled_;  // Jobs with times.
  bool plan_needed_ = false;
  Time last_review_;
  Time next_load_line_;
  Time last_purge_;
  Time next_wake_ = kTimeMax;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_POOL_SCHEDULER_H_
