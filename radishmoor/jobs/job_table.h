// The jobs of one pool, their tasks and the runs of each task: what a pool's
// owner believes, and how the stored progress of a job is built from it.
//
// The table knows which changes of state are possible; when they happen is
// decided by the scheduler. Ids address everything; pointers to jobs and tasks
// stay valid until the job is removed.
//
// Memory: about 200 bytes for each unfinished task, and the payload of each
// unfinished job. Jobs that have ended keep 100 bytes until they are purged.

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
  kPlanned,    // Chosen, and not yet stored: nothing was sent.
  kOrdered,    // The start was sent and is not answered.
  kUncertain,  // The start may have been carried out, or may be later.
  kInherited,  // Stored by an earlier owner; may run.
  kRunning,
};

struct Run {
  RunNumber number = 0;
  ServerId server;
  RunPhase phase = RunPhase::kPlanned;
  Time phase_since;
  Time start_sent_at;                  // When the start was sent.
  ServerMillis start_valid_until = 0;  // The start is refused after this time.
  uint32_t progress_percent = 0;
  Time progress_changed_at;
  std::string checkpoint;  // Latest seen.
  int64_t load = 0;        // See RunningTask.
  uint32_t ordered_pace_percent = 100;
  // Its slowness was held against the server before its end.
  bool counted_slow = false;

  bool stop_wanted = false;
  uint64_t stop_tag = 0;           // Of the order under way; 0: none.
  std::optional<Time> stopped_at;  // The server answered the stop.
  // The start goes out with the commit of this number.
  uint64_t commit = 0;
};

struct Task {
  uint32_t step = 0;
  uint32_t index = 0;
  bool done = false;
  uint32_t failures = 0;
  RunNumber last_run = 0;
  std::string checkpoint;
  std::vector<Run> runs;
  Time ready_since;
  std::vector<ServerId> failed_on;
  // Since when a task of a long-running step is not at work.
  std::optional<Time> unavailable_since;
  // The scheduler ended its last run, and it is not at work again yet.
  bool displaced = false;
  // Runs that were ended since their server seemed slow or was emptied.
  uint32_t relocations = 0;

  Run* FindRun(RunNumber number);
  bool idle() const { return !done && runs.empty(); }
  // At work: its run has finished its start-up. Of a long-running step.
  bool is_available() const;
};

struct Occurrence {
  uint32_t number = 0;
  std::vector<Task> tasks;  // In the order of the steps.
  std::vector<uint32_t> done_in_step;
  bool finished = false;

  bool HasRuns() const;
};

struct Job {
  JobId id;
  JobSpec spec;
  JobState state = JobState::kQueued;
  // What has been stored; callers are shown this.
  JobState reported_state = JobState::kQueued;
  bool begun = false;  // A task has started.
  Time arrived;
  Time objective;  // To be completed by then. Of a job without times.
  Time ended;
  uint32_t finished_below = 0;
  std::map<uint32_t, Occurrence> occurrences;  // Unfinished or unresolved ones.
  // Counts changes; the stored progress lags behind.
  uint64_t changes = 0;
  uint64_t stored_changes = 0;
  uint64_t dirty = 0;  // Its number among the jobs with changes; 0: none.
  bool definition_stored = true;
  bool definition_dropped = false;

  // What is left of the job, as of `remaining_as_of_change` changes.
  uint64_t remaining_as_of_change = UINT64_MAX;
  Duration remaining_chain{};
  double remaining_work = 0;  // Core-seconds.

  const StepSpec& StepOf(const Task& task) const {
    return spec.steps[task.step];
  }
  TaskId IdOf(const Occurrence& occurrence, const Task& task) const {
    return {id, occurrence.number, task.step, task.index};
  }
  uint32_t StepOffset(uint32_t step) const;
  bool HasRuns() const;
};

class JobTable {
 public:
  // Adds a job without progress; does nothing if it is known.
  Job& Add(const JobId& id, JobSpec spec, Time arrived, Time objective);
  // Adds a job that ended before this process took over.
  Job& AddEnded(const JobId& id, JobState state, Time now);
  // Applies stored progress to a job just added. Runs become kInherited.
  void Restore(Job& job, const StoredProgress& progress, Time now);

  Job* Find(const JobId& id);
  const Job* Find(const JobId& id) const;
  Task* FindTask(const TaskId& id);
  Run* FindRun(const RunRef& ref);

  // Creates the occurrences that are due by `now`, `wall` being the time of
  // day. Returns the time of day of the next one, if there is any.
  std::optional<WallMillis> CreateDue(Job& job, Time now, WallMillis wall);

  // True when all steps that come before the task's have succeeded.
  static bool IsReady(const Job& job,
                      const Occurrence& occurrence,
                      const Task& task);

  // A task succeeded. Ends its occurrence and job where it was the last.
  void MarkDone(Job& job, Occurrence& occurrence, Task& task, Time now);
  // Ends a job before its tasks are done; one that has ended stays as it is.
  void MarkEnded(Job& job, JobState state, Time now);

  // Counts a change that the stored progress does not show yet.
  void Touch(Job& job);
  // Jobs with changes, those first that changed first, by a running number.
  const std::map<uint64_t, JobId>& dirty() const { return dirty_; }
  void ClearDirty(Job& job);

  StoredProgress ProgressOf(const Job& job) const;

  // Jobs that have not ended, or whose runs are not all known to have ended.
  const std::set<JobId>& open() const { return open_; }
  // Closes a job without runs that has ended.
  void CloseIfResolved(Job& job);

  // Removes up to `limit` jobs that ended before `before` and whose progress
  // is stored; returns their ids.
  std::vector<JobId> Purge(Time before, size_t limit);

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
