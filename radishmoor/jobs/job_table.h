// The jobs of one pool, their tasks and the runs of each task, as the pool's
// owner knows them. The stored progress of a job is built from this table.
//
// The table implements the changes of state; the scheduler decides when they
// happen. Jobs, tasks and runs are addressed by ids. Pointers to jobs stay
// valid until the job is removed, pointers to tasks until the job is removed or
// its occurrence has ended and CloseIfResolved() erases it.
//
// Memory: about 200 bytes for each unfinished task, and the payload of each
// unfinished job. A job that has ended takes 100 bytes until it is purged.

#ifndef RADISHMOOR_JOBS_JOB_TABLE_H_
#define RADISHMOOR_JOBS_JOB_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "radishmoor/jobs/job.h"
#include "radishmoor/jobs/job_rows.h"

namespace radishmoor {

enum class RunPhase : uint8_t {
  kPlanned,  // A server is chosen. The start is sent once the plan is stored.
  kOrdered,  // The start was sent and is not answered yet.
  // The start may have been carried out or may be carried out later.
  kUncertain,
  kInherited,  // An earlier owner stored the run. It may be running.
  kRunning,
};

struct Run {
  RunNumber number = 0;
  ServerId server;
  RunPhase phase = RunPhase::kPlanned;
  Time phase_since;
  // When the start was sent; for an inherited run, when it was loaded.
  Time start_sent_at;
  // The server refuses the start after this time on its clock; 0: not known.
  ServerMillis start_valid_until = 0;
  uint32_t progress_percent = 0;
  Time progress_changed_at;
  // Incarnation of the server that a poll has listed the run on. Absent before
  // the first listing: the answer to a start does not name the incarnation.
  std::optional<WallMillis> incarnation_started_at;
  std::string checkpoint;  // Latest one that a poll listed.
  int64_t load = 0;        // See RunningTask::load.
  // Absent for an inherited run: the earlier owner may have throttled it.
  std::optional<uint32_t> ordered_pace_percent = 100;
  // The server's slowness was already raised because this run takes long.
  bool counted_slow = false;
  uint32_t repeated_starts = 0;  // Number of times that the start was repeated.

  bool stop_wanted = false;
  // The stop is sent once Job::stored_changes has reached this count, so that
  // the next owner knows of it.
  uint64_t stop_change = 0;
  uint64_t stop_tag = 0;           // Tag of the stop in flight; 0: none.
  std::optional<Time> stopped_at;  // When the server answered the stop.
  // Sequence number of the commit that stores the plan of this run; 0: no
  // commit has been sent with it. The start is sent when that commit is stored.
  uint64_t commit = 0;

  // Returns true if this run of a long-running task has finished its start-up
  // and is not being stopped.
  bool is_at_work() const {
    return phase == RunPhase::kRunning && progress_percent >= 100 &&
           !stop_wanted && stop_tag == 0 && !stopped_at;
  }
};

// A start whose answer was lost. The server, in its present incarnation or a
// later one, may carry it out until kLateOrderLimit after it was sent.
struct UnansweredStart {
  ServerId server;
  Time sent_at;
  // Whether restarts were frequent in the pool. Only such starts are stored, by
  // the owner that sent them.
  bool restarts_frequent = false;
};

// A success that a server has listed while a start of the task may still be
// carried out late. It becomes final, for the callers and for the server, when
// that is no longer possible.
struct ProvisionalSuccess {
  RunNumber run = 0;
  ServerId server;  // Empty if an earlier owner has read the success.
  Time final_at;
  bool inherited = false;
};

struct Task {
  uint32_t step = 0;
  uint32_t index = 0;
  bool done = false;
  uint32_t failures = 0;
  RunNumber last_run = 0;  // Highest number given to a run.
  std::string checkpoint;  // The next run resumes from it.
  // A server has listed a run of the task that this owner does not know. No run
  // is started before this time, unless the server says that it is over.
  Time unknown_run_until;
  std::vector<UnansweredStart> unanswered_starts;  // One for each server.
  std::optional<ProvisionalSuccess> provisional_success;
  std::vector<Run> runs;  // Runs that are not known to have ended.
  // When the task was created or lost its last run.
  Time ready_since;
  std::vector<ServerId> failed_on;
  // Number of runs that were stopped because their server was slow or was being
  // emptied.
  uint32_t relocations = 0;

  Run* FindRun(RunNumber number);
  bool idle() const { return !done && runs.empty() && !provisional_success; }
  // Records a start whose answer was lost.
  void AddUnansweredStart(const UnansweredStart& start);
  // Returns whether the server may carry out a start of the task late, and no
  // run of the task has failed there.
  bool MayStartLateAt(const ServerId& server) const;
  // Forgets the unanswered starts that can no longer be carried out, and
  // returns when the others cannot either; `now` if there are none.
  Time LateStartsUntil(Time now);
  // Returns true if a run of this long-running task is at work.
  bool is_available() const;
};

struct Occurrence {
  uint32_t number = 0;
  std::vector<Task> tasks;             // Sorted by step, then by index.
  std::vector<uint32_t> done_in_step;  // Number of done tasks of each step.
  bool finished = false;

  bool HasRuns() const;
};

struct Job {
  JobId id;
  JobSpec spec;
  JobState state = JobState::kQueued;
  // State in the last stored commit. Callers are shown this one.
  JobState reported_state = JobState::kQueued;
  bool begun = false;  // A server has reported a run.
  // Whether a start was sent; true if `begun` is. The other tasks of such a job
  // are started before those of jobs of which no start was sent.
  bool start_sent = false;
  Time arrived;
  // Time by which a job that is not recurring should be completed.
  Time objective;
  Time ended;
  uint32_t finished_below = 0;  // All occurrences below this one have finished.
  // Occurrences that have not finished, or whose runs are not all known to have
  // ended.
  std::map<uint32_t, Occurrence> occurrences;
  // Number of changes, and the number of those that the stored progress shows.
  uint64_t changes = 0;
  uint64_t stored_changes = 0;
  uint64_t dirty = 0;  // Key in JobTable::dirty(); 0: the job is not in it.
  // The job's row is stored; it holds the definition or the tombstone.
  bool definition_stored = true;
  // The job has ended and its row holds the tombstone only.
  bool definition_dropped = false;

  // Number of rows after the first one that the job's progress may have in the
  // store.
  uint32_t further_progress_rows = 0;
  // The store has rejected a commit with this job alone. None of its changes
  // are committed any more.
  bool unstorable = false;

  // Remaining work of the job's first occurrence when `changes` was
  // `remaining_as_of_change`: the expected time of the longest path through the
  // steps that are not done, and the work of all tasks that are not done, in
  // core-seconds.
  uint64_t remaining_as_of_change = UINT64_MAX;
  // CPU request of all ready tasks when `changes` was `settled_as_of_change`.
  // None of them was idle then, so that there was nothing to plan.
  uint64_t settled_as_of_change = UINT64_MAX;
  int64_t settled_cpu_millis = 0;
  Duration remaining_chain{};
  double remaining_work = 0;

  const StepSpec& StepOf(const Task& task) const {
    return spec.steps[task.step];
  }
  TaskId IdOf(const Occurrence& occurrence, const Task& task) const {
    return {id, occurrence.number, task.step, task.index};
  }
  // Returns the index of the step's first task in Occurrence::tasks.
  uint32_t StepOffset(uint32_t step) const;
  bool HasRuns() const;
};

class JobTable {
 public:
  // Adds a job without progress and returns it. A job that is in the table
  // already is returned unchanged.
  Job& Add(const JobId& id, JobSpec spec, Time arrived, Time objective);
  // Adds a job that had ended before this process became the pool's owner.
  Job& AddEnded(const JobId& id, JobState state, Time now);
  // Applies stored progress to a job that was just added. Its runs become
  // kInherited.
  void Restore(Job& job, const StoredProgress& progress, Time now);

  Job* Find(const JobId& id);
  const Job* Find(const JobId& id) const;
  Task* FindTask(const TaskId& id);
  Run* FindRun(const RunRef& ref);

  // Creates the occurrences that are due at `now`; `wall` is the same time in
  // Unix ms. Returns the due time of the next one in Unix ms, if there is any.
  // That time may have passed: one call creates at most 16 occurrences.
  std::optional<WallMillis> CreateDueOccurrences(Job& job,
                                                 Time now,
                                                 WallMillis wall);

  // Returns true if all steps that have to succeed before the task starts have
  // done so.
  static bool IsReady(const Job& job,
                      const Occurrence& occurrence,
                      const Task& task);

  // Marks a task as done. Also ends its occurrence, and its job, if all of
  // their tasks are done.
  void MarkDone(Job& job, Occurrence& occurrence, Task& task, Time now);
  // Ends a job before its tasks are done. Does nothing if it has ended already.
  void MarkEnded(Job& job, JobState state, Time now);

  // Records that the job has a change that the stored progress does not show
  // yet.
  void MarkChanged(Job& job);
  // Jobs with changes that are neither stored nor in the commit in flight, in
  // the order in which they changed first. The keys are sequence numbers.
  const std::map<uint64_t, JobId>& dirty() const { return dirty_; }
  void ClearDirty(Job& job);

  // Returns the job's progress in the form in which it is stored.
  StoredProgress ProgressOf(const Job& job) const;

  // Returns whether the table has jobs of the queue whose definition is not
  // known to be stored. The cost is linear in the number of jobs in the table.
  bool HasUnstoredJobs(const QueueId& queue) const;

  // Jobs that have not ended, or whose runs are not all known to have ended.
  const std::set<JobId>& open() const { return open_; }
  // Erases the occurrences that have finished and have no runs. If the job has
  // ended and no occurrence is left, removes it from open() and frees its
  // payload.
  void CloseIfResolved(Job& job);

  // Removes up to `limit` jobs that ended before `before`, are not open and
  // have no changes left to commit. The cost is linear in the number of jobs in
  // the table.
  struct PurgedJob {
    JobId id;
    uint32_t further_progress_rows = 0;
  };
  std::vector<PurgedJob> Purge(Time before, size_t limit);

  size_t size() const { return jobs_.size(); }

 private:
  Occurrence& AddOccurrence(Job& job, uint32_t number, Time now);

  std::unordered_map<JobId, Job> jobs_;
  std::set<JobId> open_;
  std::map<uint64_t, JobId> dirty_;
  uint64_t next_dirty_ = 1;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_JOB_TABLE_H_
