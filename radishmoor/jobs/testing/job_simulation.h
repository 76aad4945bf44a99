// Simulation of a whole site in virtual time: scheduler processes (nodes),
// backend servers, hosts, the store and callers, with random faults. Everything
// random follows from the seed. The scheduler's invariants are checked at the
// servers, when a run starts, and at the callers, when an answer arrives.
//
//   JobSimulation simulation({.seed = 7});
//   simulation.Run(Seconds(40));
//   simulation.FinishJobs();
//   REQUIRE(simulation.violations().empty());

#ifndef RADISHMOOR_JOBS_TESTING_JOB_SIMULATION_H_
#define RADISHMOOR_JOBS_TESTING_JOB_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "radishmoor/base/random.h"
#include "radishmoor/jobs/node_core.h"
#include "radishmoor/jobs/testing/simulated_adviser.h"
#include "radishmoor/store/memory_table.h"

namespace radishmoor {

// How a process loses its pools and the coordination of the fleet.
enum class HandoverKind : uint8_t { kShutdown, kKill, kFreeze, kCut };

struct JobSimulationOptions {
  uint64_t seed = 1;
  int nodes = 4;
  int servers_per_pool = 4;
  double jobs_per_second = 6;
  // Mean time between faults; zero for no faults.
  Duration fault_period{};
  // Mean time between restarts of backend servers under their ids, each within
  // some tenths of a second; zero for none.
  Duration server_restart_period{};
  // Share of store writes whose answer is lost although they are performed.
  double lost_answer_share = 0;
  // Share of orders that are not answered and that servers perform seconds
  // later, also in another incarnation under the same id.
  double late_order_share = 0;
  // Share of the restarts of servers under their ids after which the server is
  // soon cut off from all nodes for some seconds.
  double restart_cut_share = 0;
  // An order to a server that is down waits for a connection until its timeout,
  // so that the next incarnation may perform it.
  bool orders_wait_for_restart = false;
  // Share of calls for the maintenance of a host that are not answered and are
  // performed at some time within their validity.
  double late_maintenance_share = 0;
  // Share of runs that fail.
  double failing_run_share = 0.02;
  // Mean time between removals of a queue from the configuration; zero for
  // none. The queue comes back some seconds later.
  Duration queue_removal_period{};
  // Mean time between moves of a queue to the other pool; zero for none. A
  // queue may be removed for a moment at the same time. Callers repeat some of
  // their submissions seconds after they were accepted.
  Duration queue_move_period{};
  // Share of jobs whose runs all fail, each after some seconds.
  double hopeless_job_share = 0;
  // Share of jobs whose tasks take six times as long as estimated.
  double long_job_share = 0;
  // Share of jobs with thousands of tasks, whose progress is larger than a row
  // of the store may be.
  double large_job_share = 0;
  // Starts in the pool "alpha" need tickets of the placement adviser.
  bool advised = false;
  SimulatedAdviserOptions adviser;
  // Share of requests to the adviser that are not answered.
  double lost_advice_share = 0;
  // Share of the jobs that need advice that are gangs of three tasks, each of
  // which takes more than half of a server.
  double gang_share = 0;
  // Without a pool for spare servers, no server leaves the other pools.
  bool spare_pool = true;
  // Number of maintenance waves, each of which begins when the one before it is
  // complete. They take in every second server's host by turns.
  int waves = 0;
  // Number of jobs with one long-running step that are submitted at the start
  // and are not cancelled. Of the step's tasks, one may be missing.
  int lasting_jobs = 0;
  // If set, a task of such a job must not wait longer for its next run while a
  // server of its pool has room for it twice over. For sites on which nothing
  // but planned handovers, waves and moves happens.
  Duration max_lasting_wait{};
  // The event loop of each node stands still for `stall` once in this time;
  // zero for never. The nodes then observe how late their loops are.
  Duration stall_period{};
  Duration stall = Milliseconds(90);
  // How long a run goes on after the order to stop it has arrived.
  Duration run_stop_time = Milliseconds(100);
  // A run of a long-running step is at work this long after its start.
  Duration startup_time{};
  // Mean time between handovers: the owner of a random pool, or the fleet
  // coordinator, is shut down, killed, frozen or cut off, as `handover_kinds`
  // says. Zero for none.
  Duration handover_period{};
  // Kinds that are chosen from at random; see JobSimulation::HandOver().
  std::vector<HandoverKind> handover_kinds = {HandoverKind::kShutdown};
  // Mean time between announcements of servers that they drain, after which
  // they leave; zero for none. Each comes back under another id.
  Duration server_drain_period{};
  // Mean time between cuts of servers from all nodes, each for some seconds;
  // zero for none.
  Duration server_cut_period{};
  // Rate of orders from which on an owner has other nodes send them.
  double relay_orders_per_second = NodeOptions{}.relay_orders_per_second;
  // If set, gets each line that a node logs.
  std::function<void(Time, const MemberId& node, const std::string& line)>
      on_decision;
  // If set, returns the processor time that the simulation has used. The time
  // in each node's core is then added up.
  Duration (*processor_time)() = nullptr;
};

struct JobSimulationCounts {
  uint64_t events = 0;
  uint64_t accepted = 0;
  uint64_t refused = 0;
  uint64_t completed = 0;
  uint64_t failed = 0;
  uint64_t cancelled = 0;
  uint64_t starts = 0;
  uint64_t runs_lease_expired = 0;
  uint64_t faults = 0;
  uint64_t bad_tickets = 0;  // Starts that were refused for want of a ticket.
  uint64_t maintained_hosts = 0;  // Maintenance calls that were performed.
  uint64_t moved_hosts = 0;       // Moves that were performed.
  uint64_t handovers = 0;         // Of JobSimulationOptions::handover_period.
  // Orders that stopped a run of a long-running step that was at work.
  uint64_t working_runs_stopped = 0;
  // Runs of long-running steps that were stopped before they were at work.
  uint64_t starting_runs_stopped = 0;
  // Calls to the host API that were delivered when a cut healed.
  uint64_t delayed_host_calls = 0;
  // Steps that started after another one, and the sum of the times from the end
  // of the earlier step at its servers to the first start of the next one.
  uint64_t following_steps = 0;
  Duration step_gaps{};
};

class JobSimulation {
 public:
  explicit JobSimulation(const JobSimulationOptions& options);
  ~JobSimulation();

  // Simulates `length` with new submissions, random faults and restarts.
  void Run(Duration length);
  // Stops submissions and random faults, and simulates 40 s more, in which the
  // jobs should end.
  void FinishJobs();

  const std::vector<std::string>& violations() const { return violations_; }
  const JobSimulationCounts& counts() const { return counts_; }
  const SimulatedAdviser::Counts& adviser_counts() const {
    return adviser_.counts();
  }
  // Time from the first submission of a job that was accepted to its first
  // start; the longest of all jobs that have started.
  Duration longest_wait() const { return longest_wait_; }
  // Number of accepted jobs that have not ended, long-running ones left out.
  size_t unfinished() const;

  // Faults. Run() also injects these at random if `fault_period` is set.
  void KillNode(int node, Duration down);
  void StopNode(int node);  // Calls NodeCore::Shutdown(), as on SIGTERM.
  void FreezeNode(int node, Duration length);
  void CutNodeFromStore(int node, Duration length);
  void CutNodeFromServers(int node, Duration length);
  // Cuts the node off from the store, the servers and the other nodes.
  void CutNodeOff(int node, Duration length);
  // Makes the node lose its pools and the coordination of the fleet.
  void HandOver(int node, HandoverKind kind);
  // Announces that the server drains; it leaves some seconds later.
  void DrainServer(int server);
  // Starts the server again after `down`, with the same id or a new one.
  void CrashServer(int server, Duration down, bool same_id);
  void StoreOutage(Duration length);
  // Removes the pool's queue from the configuration, or puts it back.
  void SetQueueConfigured(const PoolId& pool, bool configured);
  // Sends the queue's jobs to another pool from now on.
  void MoveQueue(const QueueId& queue, const PoolId& pool);
  // Cuts the server off from all nodes.
  void CutServer(int server, Duration length);
  // For `length`, the store's answers and transactions take `factor` times as
  // long.
  void SlowStore(double factor, Duration length);

  Time now() const { return now_; }
  // Returns when the node last sent an order to start a run in the pool.
  std::optional<Time> LastStartBy(int node, const PoolId& pool) const;
  // Returns a node that acts as the pool's owner, or -1.
  int OwnerOf(const PoolId& pool) const;
  // Returns whether the node acts as the pool's owner.
  bool Owns(int node, const PoolId& pool) const;
  // Returns the processor time that the core of the node has used.
  Duration ProcessorTimeOf(int node) const;
  // Returns a node that acts as the fleet coordinator, or -1.
  int FleetCoordinatorNode() const;

 private:
  struct Node;
  struct Server;
  struct Caller;
  struct Event {
    Time at;
    uint64_t sequence = 0;  // Orders events at the same time.
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
  };

  void ScheduleAt(Time when, std::function<void()> run);
  void ScheduleAfter(Duration delay, std::function<void()> run) {
    ScheduleAt(now_ + delay, std::move(run));
  }
  void RunUntil(Time end);
  Duration RandomLatency();
  WallMillis wall() const;
  void AddViolation(std::string what);

  void StartNode(int index);
  // Calls `callback` with the node's core and performs the actions that result.
  // Does nothing if that incarnation of the node has ended. Waits while the
  // node is frozen.
  void RunOnNode(int index,
                 uint64_t incarnation_number,
                 std::function<void(NodeCore&)> callback);
  void PerformAction(int index, JobAction action);
  void ScheduleTick(int index);
  void PerformStoreCall(int index,
                        uint64_t incarnation_number,
                        const StoreCall& call);
  // Returns when the store performs a request that arrives at `arrives`, or
  // nullopt if it refuses the request because too much work waits for the
  // partition.
  std::optional<Time> RequestDoneAt(Time arrives, const StoreRequest& request);
  Duration WithStoreSlowdown(Duration usual) const;
  void PerformOrder(int index,
                    uint64_t incarnation_number,
                    const OrderToServer& order);
  void PerformAdviceRequest(int index,
                            uint64_t incarnation_number,
                            const PlacementAdviceRequest& request);
  bool NeedsAdvice(const PoolId& pool) const {
    return options_.advised && pool == PoolId("alpha");
  }
  void PerformHostCall(int index,
                       uint64_t incarnation_number,
                       const HostCall& call);
  // Carries out a call without checking its fencing token, as a platform may
  // do. `sent_at` is when the caller's process sent it.
  HostReply ExecuteHostCall(const MemberId& caller,
                            const HostCall& call,
                            Time sent_at);
  // Leaves the call without an answer and performs it later.
  void DelayHostCall(const MemberId& caller, const HostCall& call);
  // Checks that the fencing tokens of the calls for a host never fall and that
  // two coordinators do not send calls for it within the lease.
  void CheckHostCall(Server& server,
                     const MemberId& caller,
                     FencingToken token,
                     Time sent_at);
  // Makes the hosts of the next wave due for maintenance.
  void StartWave();
  void MaintainServer(size_t index);
  void MoveServer(size_t index, const PoolId& pool);
  void StartServerUnlessStandby(size_t index);
  std::vector<HostListing> HostListings() const;
  void DeliverOperatorChanges(int index,
                              uint64_t incarnation_number,
                              const WatchOperatorChanges& watch);
  std::vector<ServerListing> Listings() const;

  void StartServer(size_t index, ServerId id);
  void EndServer(Server& server);
  // `late` tells whether the order was delayed within the server.
  ServerReply ApplyOrder(Server& server, const OrderToServer& order, bool late);
  void ApplyStart(Server& server,
                  const StartRun& start,
                  bool late,
                  ServerReply& reply);
  void CheckStart(const Server& server, const StartRun& start, bool late);
  // Checks that the task has not started after its last allowed attempt, as
  // far as the owner has acknowledged the failures.
  void CheckAttempts(const Caller& caller, const TaskId& task);
  void EndRun(Server& server, const TaskId& task, RunEnd end);
  // Returns whether a run of the long-running task is at work.
  bool IsAtWork(const TaskId& task) const;
  bool IsAtWork(const Server& server, const TaskId& task) const;
  // Records that an order ends the run of a long-running task on the server,
  // and checks that its step keeps its budget of missing tasks.
  void OnRunEndedByOrder(const Server& server, const TaskId& task, bool late);
  // Returns how many members of the gang run under this number.
  uint32_t GangMembers(const TaskId& task, RunNumber run) const;
  // Lets the gang work from now on if all of its members run, or ends the run
  // some seconds later if they do not run by then.
  void BeginGangRun(Server& server, const TaskId& task);
  // Ends the run of each member that is left. All succeed, or the failing ones
  // fail and break the gang.
  void EndGang(const TaskId& task, RunNumber run, bool broken);
  void EndRunsIfLeaseExpired(Server& server);
  ServerMillis ServerClock(const Server& server) const;

  void SubmitJob();
  void SubmitLastingJob();
  // Checks, now and periodically, that no task of a lasting job waits for a
  // start for long while a server has room for it twice over.
  void CheckLastingJobs();
  void SendCall(Caller& caller, JobCallRequest request);
  void OnCallAnswer(const JobCallAnswer& answer);
  void PollJob(const JobId& id);
  void RandomFault();
  void RestartRandomServer();
  // Tells each node how late its event loop is, and makes all loops stall at
  // `next_stall_at`; repeats itself.
  void ObserveLoops(Time next_stall_at);
  void HandOverRandomly();
  void DrainRandomServer();
  void CutRandomServer();
  // Schedules `fault` after a random time of mean `period`, if the period is
  // not zero and faults of these kinds are enabled.
  void ScheduleFault(Duration period, void (JobSimulation::*fault)());
  void RemoveRandomQueue();
  void MoveRandomQueue();
  // Asks a node for the length of each queue, now and periodically.
  void QueryPending();
  void CheckPending(const QueueId& queue, uint32_t pending);
  void RepeatSubmission(const JobId& id);

  JobSimulationOptions options_;
  Random random_;
  Random clock_random_;     // For the clocks of backend servers.
  Random handover_random_;  // For handovers, drains and cuts of servers.
  SimulatedAdviser adviser_;
  Duration longest_wait_{};
  Time now_ = kTimeZero + Seconds(1000);
  uint64_t next_event_sequence_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  MemoryTable table_;
  JobConfig config_;
  std::vector<QueueConfig> all_queues_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::map<JobId, std::unique_ptr<Caller>> callers_;
  std::map<JobCallId, JobId> calls_;
  std::map<JobCallId, QueueId> pending_calls_;
  // All pools to which a configuration has sent the queue's jobs.
  std::map<QueueId, std::set<PoolId>> queue_pools_;
  std::map<JobCallId, Time> call_sent_;
  std::map<std::pair<int, PoolId>, Time> last_start_by_;
  JobCallId next_call_ = 1;
  uint64_t next_server_ = 1;
  Time store_down_until_;
  double store_slowdown_ = 1;
  Time store_slow_until_;
  // When each partition will have performed the transactions that have arrived.
  std::map<std::string, Time> partition_busy_until_;
  std::vector<MaintenanceWave> waves_;
  std::set<uint64_t> completed_waves_;
  bool faults_enabled_ = false;
  bool server_restarts_enabled_ = false;
  bool queue_removals_enabled_ = false;
  bool stalls_enabled_ = false;
  bool queue_moves_enabled_ = false;
  bool handovers_enabled_ = false;
  bool submissions_enabled_ = false;
  bool submission_scheduled_ = false;
  std::vector<std::string> violations_;
  JobSimulationCounts counts_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_TESTING_JOB_SIMULATION_H_
