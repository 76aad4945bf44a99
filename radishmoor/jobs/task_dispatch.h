// Plans the next starts of one pool and moves tasks that make no progress where
// they are.
//
// Load that it answers: queues that ask for more than the pool holds for some
// seconds; servers that are slow, stand still or fail what they start; servers
// that are about to leave.

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

  // Plans runs for ready tasks as far as there is room.
  void Plan(Time now, Outbox& outbox);

  // Stops runs that would end sooner elsewhere, empties servers that leave, and
  // starts copies of stragglers where the step allows them.
  void Review(Time now, Outbox& outbox);

  // Cores of running tasks, and of ready tasks of jobs that can still meet
  // their objective, in thousandths.
  int64_t demand_cpu() const { return demand_cpu_; }
  // Core-seconds of all tasks of a job, by observed run times.
  double TotalWork(const Job& job) const { return RemainingWork(job); }
  // How long a job that arrives now waits for its first start.
  Duration expected_wait() const { return expected_wait_; }

 private:
  std::vector<PlacementServer> CollectServers(Time now);
  struct OrderedJob {
    Job* job = nullptr;
    bool in_time = false;  // It can still meet its objective.
  };
  std::vector<OrderedJob> OrderedJobs(Time now);
  Duration RemainingChain(const Job& job) const;
  double RemainingWork(const Job& job) const;
  void PlanJob(Time now,
               Job& job,
               bool in_time,
               std::vector<PlacementServer>& servers,
               Outbox& outbox);
  bool PlanTask(Time now,
                Job& job,
                Occurrence& occurrence,
                Task& task,
                std::vector<PlacementServer>& servers);
  // Keeps only the servers that the placement adviser admits for the step.
  void Admit(Time now,
             const TaskId& task,
             std::vector<PlacementServer>& servers,
             Outbox& outbox);
  bool PlanGang(Time now,
                Job& job,
                Occurrence& occurrence,
                uint32_t step,
                std::vector<PlacementServer>& servers);
  void Reserve(const Job& job,
               const Task& task,
               std::vector<PlacementServer>& servers);
  PlacementTask DescribeTask(const Job& job, const Task& task) const;
  // Fills in what depends on the step: runs of it on each server.
  void CountStep(const Occurrence& occurrence,
                 const Task& task,
                 std::vector<PlacementServer>& servers) const;
  // Copies the rooms of the servers in `from`.
  void TakeRooms(std::span<const PlacementServer> from,
                 std::vector<PlacementServer>& to);
  // Takes back what CountStep() filled in.
  static void ForgetStep(std::vector<PlacementServer>& servers);
  void UpdateLargestRoom(std::span<const PlacementServer> servers);
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
  // How long running tasks of the same step take on other servers, by their
  // progress; zero if too few are running.
  Duration SiblingRunTime(Time now,
                          const Occurrence& occurrence,
                          const Task& task) const;
  // Holds a run that takes far longer than expected against its server, once.
  void CountSlowRun(Duration projected,
                    Duration expected,
                    Run& run,
                    ServerState& server);
  // Adjusts the pace of tasks that use spare room beside serving ones.
  void PaceServer(Time now, ServerState& server, Outbox& outbox);
  bool MayDisplace(const Job& job,
                   const Occurrence& occurrence,
                   const Task& task) const;

  JobPoolState& state_;
  RunControl& runs_;
  std::vector<ServerId> server_ids_;  // By PlacementServer::position.
  int64_t demand_cpu_ = 0;
  int64_t waiting_work_ = 0;  // Core-microseconds of tasks that found no room.
  Duration expected_wait_{};
  uint32_t reservations_ = 0;
  int64_t largest_room_ = 0;  // Of a server that is not reserved.
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_TASK_DISPATCH_H_
