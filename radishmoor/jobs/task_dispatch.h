// Plans the next starts of tasks in one pool, and moves tasks away from servers
// on which they make too little progress.
//
// Designed for queues whose demand exceeds the pool's capacity for some
// seconds; for servers that are slow, stall, or fail the tasks that they start;
// and for servers that are about to leave the pool.

#ifndef RADISHMOOR_JOBS_TASK_DISPATCH_H_
#define RADISHMOOR_JOBS_TASK_DISPATCH_H_

#include <span>
#include <vector>

#include "radishmoor/jobs/placement.h"
#include "radishmoor/jobs/pool_state.h"
#include "radishmoor/jobs/run_control.h"

namespace radishmoor {

class TaskDispatch {
 public:
  TaskDispatch(JobPoolState& state, RunControl& runs)
      : state_(state), runs_(runs) {}

  // Plans runs for ready tasks as far as servers have free resources, at most
  // about `start_limit` of them (a gang is not split). Returns their number. A
  // planned run is started once a commit has stored it.
  uint32_t PlanReadyTasks(Time now,
                          Outbox& outbox,
                          uint32_t start_limit = UINT32_MAX);

  // Stops runs that are expected to end sooner on another server, stops the
  // runs on servers that leave, plans speculative copies of stragglers where
  // the step allows them, and adjusts the pace of best-effort tasks.
  void ReviewRunningTasks(Time now, Outbox& outbox);

  // Thousandths of cores that running tasks use and that ready tasks of jobs
  // that can still meet their objective ask for. Best-effort tasks do not
  // count.
  int64_t demand_cpu_millis() const { return demand_cpu_millis_; }
  // Thousandths of cores that run the ready tasks of all other jobs within
  // some seconds. Their callers still wait for them.
  int64_t backlog_cpu_millis() const { return backlog_cpu_millis_; }
  // Ready tasks that the last plan did not start because of its limit.
  uint32_t held_back_tasks() const { return held_back_tasks_; }
  // Core-seconds of all tasks of a job that has not begun, by observed run
  // times.
  double TotalWork(const Job& job) const { return RemainingWork(job); }
  // Time that the placement adviser is expected to take for the requests of the
  // jobs that can still meet their objective, as of the last plan.
  Duration advice_backlog() const { return advice_backlog_; }
  // Expected time that a job which arrives now waits for its first start.
  Duration expected_wait() const { return expected_wait_; }

 private:
  // The servers on which runs can be planned now. Those in quarantine are among
  // them only if no other server is left.
  std::vector<PlacementServer> CollectServers(Time now);
  // Returns whether runs may be planned on the server apart from quarantine and
  // from its being emptied.
  bool IsUsable(Time now, const ServerState& server) const;
  PlacementServer DescribeServer(Time now,
                                 const ServerId& id,
                                 const ServerState& server);
  // Plans a missing long-running task, which fits nowhere else, on a server
  // that is being emptied and still has runs: the others of its step can only
  // be moved off their servers once it is back.
  bool PlanOnVacatingServer(Time now,
                            Job& job,
                            Occurrence& occurrence,
                            Task& task);
  // Returns by how much a ready task of a late job adds to the backlog.
  int64_t BacklogCpuMillis(const Job& job, const StepSpec& step) const;
  struct OrderedJob {
    Job* job = nullptr;
    bool can_meet_objective = false;
  };
  std::vector<OrderedJob> JobsInStartOrder(Time now);
  // Expected run time of the longest chain of steps that are not done.
  Duration RemainingChain(const Job& job) const;
  // Core-seconds of the tasks that are not done.
  double RemainingWork(const Job& job) const;
  void PlanJob(Time now,
               Job& job,
               bool can_meet_objective,
               std::vector<PlacementServer>& servers,
               Outbox& outbox);
  // Returns whether a server that restarts may run the task late, beside or
  // after its next run: a start of it was not answered, and restarts are
  // frequent.
  bool MayRunTwice(Time now, Task& task, const StepSpec& step);
  // Chooses among the servers that may carry out a start of the task late: on
  // one server it has one run at a time.
  std::optional<size_t> ChooseDoubtfulServer(
      Time now,
      Task& task,
      const PlacementTask& described,
      std::span<const PlacementServer> servers);
  // Returns whether the task should wait for one of these servers to answer and
  // to have room.
  bool WaitsForDoubtfulServer(Time now,
                              Task& task,
                              const StepSpec& step,
                              std::span<const PlacementServer> servers);
  bool PlanTask(Time now,
                Job& job,
                Occurrence& occurrence,
                Task& task,
                std::vector<PlacementServer>& servers);
  // Like PlanGang() or PlanTask(), for a step that needs advice: uses only the
  // admitted servers, and requests advice about others that the step needs or
  // that suit the task better.
  bool PlanAdvisedTask(Time now,
                       Job& job,
                       Occurrence& occurrence,
                       Task& task,
                       std::vector<PlacementServer>& servers,
                       Outbox& outbox);
  // Requests advice about the servers in `unknown`, which are ranked.
  void RequestAdvice(Time now,
                     const Job& job,
                     const StepKey& key,
                     std::span<const RankedServer> ranked,
                     std::span<const PlacementServer> unknown,
                     Outbox& outbox);
  ServerIncarnation IncarnationOf(const PlacementServer& server) const;
  // Returns the servers in `servers` for which the step has a ticket.
  std::vector<PlacementServer> AdmittedServers(
      Time now,
      const StepKey& key,
      std::span<const PlacementServer> servers) const;
  // Returns the rack with most of the step's runs; empty if there are none.
  RackId RackOfStep(const Occurrence& occurrence, uint32_t step) const;
  // Plans a copy of a straggler's task on another server than the original.
  // O(servers) for each copy; a review collects the servers once, since a busy
  // pool can have hundreds of stragglers and no room for them.
  bool PlanCopy(Time now,
                Job& job,
                Occurrence& occurrence,
                Task& task,
                const ServerId& original);
  // Plans all tasks of the step, or none if they do not all fit.
  bool PlanGang(Time now,
                Job& job,
                Occurrence& occurrence,
                uint32_t step,
                std::vector<PlacementServer>& servers);
  // Reserves a server for a task that fits nowhere now. A task that needs
  // advice gets only a server for which it has a ticket.
  void ReserveServer(Time now,
                     const Job& job,
                     const Occurrence& occurrence,
                     const Task& task,
                     std::vector<PlacementServer>& servers);
  PlacementTask DescribeTask(Time now, const Job& job, const Task& task) const;
  // Sets the fields of the servers that depend on the task: the runs of its
  // step there, and whether the task has failed there.
  void SetStepFields(const Occurrence& occurrence,
                     const Task& task,
                     std::vector<PlacementServer>& servers) const;
  // Copies the free resources of the servers in `from` to the same ones in
  // `to`.
  void CopyFreeResources(std::span<const PlacementServer> from,
                         std::vector<PlacementServer>& to);
  // Returns whether no member of the gang has a run.
  static bool IsGangIdle(const Occurrence& occurrence, uint32_t step);
  // Resets the fields that SetStepFields() sets.
  static void ClearStepFields(std::vector<PlacementServer>& servers);
  void UpdateLargestFreeCpu(std::span<const PlacementServer> servers);
  void AddRun(Time now,
              Job& job,
              Occurrence& occurrence,
              Task& task,
              RunNumber number,
              PlacementServer& server);
  void ReviewRun(Time now,
                 Job& job,
                 Occurrence& occurrence,
                 Task& task,
                 Run& run,
                 Outbox& outbox);
  // Median run time of the step's tasks that run on other servers, projected
  // from their progress; zero if too few of them have made enough progress.
  Duration SiblingRunTime(Time now,
                          const Occurrence& occurrence,
                          const Task& task) const;
  // Raises the slowness of the server if the run takes far longer than
  // expected. Each run counts at most once.
  void CountSlowRun(Duration projected,
                    Duration expected,
                    Run& run,
                    ServerState& server);
  // Adjusts the pace of the server's best-effort tasks to the tail latency of
  // its latency-sensitive tasks.
  void PaceServer(Time now, ServerState& server, Outbox& outbox);

  JobPoolState& state_;
  RunControl& runs_;
  std::vector<ServerId> server_ids_;  // By PlacementServer::position.
  // Servers that are being emptied and have runs, collected at the first task
  // of a plan that needs one.
  std::optional<std::vector<PlacementServer>> vacating_servers_;
  // Servers with room for copies, collected at the first one of a review.
  std::optional<std::vector<PlacementServer>> copy_servers_;
  int64_t demand_cpu_millis_ = 0;
  int64_t backlog_cpu_millis_ = 0;
  // Work of the ready tasks that fit on no server, in thousandths of a core
  // times microseconds. Only jobs that can still meet their objective count.
  int64_t waiting_cpu_work_ = 0;
  Duration expected_wait_{};
  Duration advice_backlog_{};
  uint32_t reservations_ = 0;  // Servers reserved by the current plan.
  uint32_t starts_left_ = 0;   // Runs that the current plan may add.
  uint32_t planned_runs_ = 0;  // Runs that it has added.
  uint32_t held_back_tasks_ = 0;
  // Largest free CPU of any server that is not reserved.
  int64_t largest_free_cpu_millis_ = 0;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_TASK_DISPATCH_H_
