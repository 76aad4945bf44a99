// Runs the jobs of one pool on behalf of the pool's owner: accepts jobs, starts
// their tasks on the pool's backend servers, tracks the runs until they end,
// and stores the state that must survive this process.
//
//   // After this process has acquired the pool's lease:
//   PoolScheduler scheduler(options, config, outbox);
//   scheduler.OnServerList(now, listings, outbox);
//   scheduler.OnStoreAnswer(now, wall, answer, outbox);
//   scheduler.Tick(now, wall, outbox);
//
// Guarantees: a task runs once at a time and never after its success was
// stored; a start is sent only after it was stored under this owner's lease;
// the runs on a server never exceed its capacity; every job state that a caller
// is shown is stored.
//
// The class does no I/O: it puts requests and messages into an Outbox and
// receives the answers through the On...() functions. A call costs
// O(open jobs and their tasks).

#ifndef RADISHMOOR_JOBS_POOL_SCHEDULER_H_
#define RADISHMOOR_JOBS_POOL_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "radishmoor/jobs/commit_chain.h"
#include "radishmoor/jobs/offered_load.h"
#include "radishmoor/jobs/pool_state.h"
#include "radishmoor/jobs/queue_admission.h"
#include "radishmoor/jobs/run_control.h"
#include "radishmoor/jobs/task_dispatch.h"

namespace radishmoor {

struct PoolSchedulerOptions {
  PoolId pool;
  MemberId node;
  std::string address;
  PlatformBounds bounds;
  // The pool's lease as this process acquired it: its fencing token, the
  // version of its row, and the time at which the acquiring transaction was
  // sent.
  FencingToken token = 0;
  RowVersion lease_version = 0;
  Time lease_taken_at;
  // Earlier owners of the pool have sent no orders after this time; kTimeZero
  // if there were none.
  Time earlier_orders_until;
  // The previous owner knew of leases of backend servers that may last until
  // this time.
  Time known_leases_until;
  // Servers that the previous owner was emptying.
  std::vector<ServerId> vacating_servers;
};

class PoolScheduler {
 public:
  PoolScheduler(const PoolSchedulerOptions& options,
                const JobConfig& config,
                Outbox& outbox);

  void OnConfig(const JobConfig& config);
  // Handles the platform's list of hosts, which was requested at `sent`. Ends
  // the runs on servers that do not answer and are missing from the list.
  void OnHosts(Time now,
               Time sent,
               std::span<const HostListing> hosts,
               Outbox& outbox);
  // True if a server with runs does not answer. The platform's list of hosts
  // shows whether the server still exists.
  bool needs_host_list(Time now) const;
  void OnServerList(Time now,
                    std::span<const ServerListing> listings,
                    Outbox& outbox);
  // These three return true if the answer belongs to a request of this pool.
  bool OnStoreAnswer(Time now,
                     WallMillis wall,
                     const StoreAnswer& answer,
                     Outbox& outbox);
  bool OnServerReply(Time now, const ServerReply& reply, Outbox& outbox);
  bool OnPlacementAdvice(Time now, const PlacementAdviceReply& reply);

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

  // Releases the lease, in favor of `successor`, with the first commit that can
  // hold all changes.
  void Release(const MemberId& successor);
  bool releasing() const { return chain_.releasing(); }
  bool released() const { return chain_.released(); }
  // True if another process owns the pool; the caller must then destroy this
  // object.
  bool lost() const { return chain_.lost() || state_.fenced; }
  // Records how late the process's event loop runs.
  void OnLoopLag(Duration lag, Outbox& outbox);
  // Tells the scheduler that the process was suspended. Leases of servers are
  // not extended again before a commit has shown that this process still owns
  // the pool.
  void OnProcessResumed();

  OwnerHeartbeat MakeHeartbeat(Time now) const;
  // See QueueAdmission::changes().
  uint64_t admission_changes() const { return admission_.changes(); }
  // Cores that the pool needs: those of running and ready tasks, or those that
  // the arriving jobs keep busy if that is more.
  double needed_cores(Time now) const;
  // True if the pool needs most of the cores of its servers or more, so that
  // new servers may be on their way.
  bool is_short_of_servers(Time now) const;
  bool loaded() const { return loading_.stage == LoadStage::kDone; }
  const JobPoolState& state() const { return state_; }
  FencingToken token() const { return state_.token; }
  // Time since the last stored renewal of the pool's lease was sent.
  Duration renewed_age(Time now) const { return now - chain_.renewed(); }

 private:
  // The rows of the pool are read in this order.
  enum class LoadStage : uint8_t {
    kAdmissions,
    kProgress,
    kJobs,
    kInbox,
    kDone
  };
  // The progress rows of one job.
  struct LoadedProgress {
    std::optional<StoredProgress> first;
    std::map<uint32_t, std::vector<StoredOccurrence>> further;  // By number.
    uint32_t last_row = 0;  // Highest number, also of rows out of date.
  };
  struct Loading {
    LoadStage stage = LoadStage::kAdmissions;
    uint64_t scan_tag = 0;  // Of the scan in flight; 0: none.
    std::string last_key;   // The next scan starts after this key.
    std::map<JobId, LoadedProgress> progress;
    Time retry_at;
    bool failed = false;
  };
  // A process that waits for the answer to its submission or cancellation.
  struct Waiter {
    MemberId node;
    std::string address;
    uint64_t request = 0;
  };

  void SendLoadScan(Outbox& outbox);
  void OnLoadScanAnswer(Time now,
                        WallMillis wall,
                        const StoreReply& reply,
                        Outbox& outbox);
  void LoadRow(Time now, WallMillis wall, const Row& row, Outbox& outbox);
  void LoadProgressRow(const Row& row, Outbox& outbox);
  static StoredProgress TakeProgress(LoadedProgress& loaded);
  void LoadJob(Time now, WallMillis wall, const Row& row, Outbox& outbox);
  void FinishLoading(Time now, Outbox& outbox);
  // Continues to empty the servers that the previous owner was emptying, until
  // the requests of the fleet coordinator arrive here or fail to.
  void ContinueVacating(Time now);

  void PollInbox(Time now, Outbox& outbox);
  void OnInboxRow(Time now, const Row& row, Outbox& outbox);
  void AcceptJob(Time now,
                 const JobId& id,
                 const JobSpec& spec,
                 Duration age,
                 Outbox& outbox);
  // Ends the jobs that the store does not take.
  void EndUnstorableJobs(Time now, Outbox& outbox);
  bool Cancel(Time now, const JobId& id, Outbox& outbox);
  void AnswerWaiters(Outbox& outbox);
  // Logs the demand and the use of the pool once per kPoolLoadLogPeriod.
  void LogPoolLoad(Time now, Outbox& outbox);
  // Fills in the heartbeat's figures on servers: how many there are and how
  // many of them are silent, their capacity, those that can be emptied soon,
  // and the number that long-running steps need.
  void AddServersToHeartbeat(Time now, OwnerHeartbeat& heartbeat) const;
  int64_t CapacityCpuMillis() const;
  Time ObjectiveOf(const JobSpec& spec, Time arrived) const;
  // Returns by how much a new job would miss its objective because the
  // placement adviser is busy with others; zero if it would not, or for another
  // reason.
  Duration AdviceDelay(Time now, const JobSpec& spec, Duration age) const;
  // Creates the occurrences of recurring jobs that are due.
  void UpdateScheduled(Time now, WallMillis wall);
  void RemoveRow(const std::string& key) { chain_.Write({key, "", true}); }
  void Wake(Time at) { next_wake_ = std::min(next_wake_, at); }

  PoolSchedulerOptions options_;
  JobPoolState state_;
  RunControl runs_;
  TaskDispatch dispatch_;
  CommitChain chain_;
  QueueAdmission admission_;
  OfferedLoad offered_load_;
  Loading loading_;

  uint64_t inbox_scan_tag_ = 0;  // Of the scan in flight; 0: none.
  Time next_inbox_poll_at_;
  std::map<uint64_t, JobId> definition_reads_;  // By tag of the read in flight.
  std::set<JobId> jobs_being_read_;
  // Answered once the job's definition is stored.
  std::map<JobId, std::vector<Waiter>> submit_waiters_;
  // Answered once the job's final state is stored.
  std::map<JobId, std::vector<Waiter>> cancel_waiters_;
  std::set<JobId> scheduled_jobs_;  // Recurring jobs.
  // Jobs that were accepted since the last plan and need advice.
  uint32_t unplanned_advised_jobs_ = 0;
  bool plan_needed_ = false;
  bool has_planned_ = false;  // Since this owner took the pool over.
  Time last_reviewed_at_;
  Time next_pool_load_log_;
  uint64_t logged_held_back_ = 0;  // Starts held back until the last line.
  Time last_purged_at_;
  Time next_wake_ = kTimeMax;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_POOL_SCHEDULER_H_
