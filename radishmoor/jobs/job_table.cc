#include "radishmoor/jobs/job_table.h"

#include <algorithm>
#include <utility>

#include "radishmoor/base/invariant.h"
#include "radishmoor/jobs/server_doubt.h"

namespace radishmoor {
namespace {

// Maximum number of occurrences that one call creates, so that a recurring job
// whose schedule began long ago is caught up in several steps.
constexpr uint32_t kMaxNewOccurrences = 16;

// Limit of the tasks of a recurring job's unfinished occurrences.
constexpr size_t kMaxOpenTasks = kMaxTasksPerJob;

size_t OpenTasks(const Job& job) {
  size_t tasks = 0;
  for (const auto& [number, occurrence] : job.occurrences)
    tasks += occurrence.finished ? 0 : occurrence.tasks.size();
  return tasks;
}

// Returns true if the task has progress that must be stored.
bool DiffersFromNew(const Task& task) {
  return task.done || task.failures > 0 || task.last_run > 0 ||
         !task.checkpoint.empty() || !task.runs.empty();
}

}  // namespace

Run* Task::FindRun(RunNumber number) {
  for (Run& run : runs) {
    if (run.number == number)
      return &run;
  }
  return nullptr;
}

void Task::AddUnansweredStart(const UnansweredStart& start) {
  auto known = std::find_if(unanswered_starts.begin(), unanswered_starts.end(),
                            [&start](const UnansweredStart& other) {
                              return other.server == start.server;
                            });
  if (known == unanswered_starts.end()) {
    unanswered_starts.push_back(start);
    return;
  }
  known->sent_at = std::max(known->sent_at, start.sent_at);
  known->restarts_frequent =
      known->restarts_frequent || start.restarts_frequent;
}

bool Task::MayStartLateAt(const ServerId& server) const {
  if (std::find(failed_on.begin(), failed_on.end(), server) != failed_on.end())
    return false;
  return std::any_of(unanswered_starts.begin(), unanswered_starts.end(),
                     [&server](const UnansweredStart& start) {
                       return start.server == server;
                     });
}

Time Task::LateStartsUntil(Time now) {
  std::erase_if(unanswered_starts, [now](const UnansweredStart& start) {
    return now >= start.sent_at + kLateOrderLimit;
  });
  Time until = now;
  for (const UnansweredStart& start : unanswered_starts)
    until = std::max(until, start.sent_at + kLateOrderLimit);
  return until;
}

bool Task::is_available() const {
  return std::any_of(runs.begin(), runs.end(),
                     [](const Run& run) { return run.is_at_work(); });
}

uint32_t Job::StepOffset(uint32_t step) const {
  uint32_t offset = 0;
  for (uint32_t i = 0; i < step; ++i)
    offset += spec.steps[i].count;
  return offset;
}

bool Occurrence::HasRuns() const {
  return std::any_of(tasks.begin(), tasks.end(),
                     [](const Task& task) { return !task.runs.empty(); });
}

bool Job::HasRuns() const {
  return std::any_of(occurrences.begin(), occurrences.end(),
                     [](const auto& entry) { return entry.second.HasRuns(); });
}

Job& JobTable::Add(const JobId& id,
                   JobSpec spec,
                   Time arrived,
                   Time objective) {
  auto [it, inserted] = jobs_.try_emplace(id);
  Job& job = it->second;
  if (!inserted)
    return job;
  job.id = id;
  job.spec = std::move(spec);
  job.arrived = arrived;
  job.objective = objective;
  open_.insert(id);
  if (!job.spec.scheduled())
    AddOccurrence(job, 0, arrived);
  return job;
}

Job& JobTable::AddEnded(const JobId& id, JobState state, Time now) {
  Job& job = jobs_[id];
  job.id = id;
  job.state = state;
  job.reported_state = state;
  job.begun = true;
  job.ended = now;
  job.definition_dropped = true;
  return job;
}

void JobTable::Restore(Job& job, const StoredProgress& progress, Time now) {
  job.state = progress.state;
  job.reported_state = progress.state;
  job.begun = progress.begun;
  job.start_sent = progress.begun;
  job.finished_below = progress.finished_below;
  if (IsFinal(job.state))
    job.ended = now;
  for (const StoredOccurrence& stored : progress.occurrences) {
    if (stored.number >= job.spec.occurrences())
      continue;
    Occurrence& occurrence = AddOccurrence(job, stored.number, now);
    for (const StoredTask& s : stored.tasks) {
      if (s.position >= occurrence.tasks.size())
        continue;
      Task& task = occurrence.tasks[s.position];
      task.failures = s.failures;
      task.last_run = s.last_run;
      task.checkpoint = s.checkpoint;
      if (s.done && !task.done) {
        task.done = true;
        ++occurrence.done_in_step[task.step];
      }
      for (const ServerId& server : s.unanswered_servers)
        task.AddUnansweredStart({server, now});
      // Only the next owner waits anew: if each one did, owners that follow
      // each other quickly could delay the job without end.
      if (s.provisional_run != 0 && !task.done)
        task.provisional_success = {
            s.provisional_run, ServerId(),
            s.provisional_inherited ? now : now + kLateOrderLimit, true};
      for (const StoredRun& r : s.runs) {
        Run run;
        run.number = r.number;
        run.server = r.server;
        run.phase = RunPhase::kInherited;
        run.phase_since = now;
        run.start_sent_at = now;
        run.progress_changed_at = now;
        run.ordered_pace_percent.reset();
        run.stop_wanted = r.stop_wanted || IsFinal(job.state) || task.done;
        task.runs.push_back(std::move(run));
      }
    }
    occurrence.finished =
        stored.number < job.finished_below ||
        std::all_of(occurrence.tasks.begin(), occurrence.tasks.end(),
                    [](const Task& task) { return task.done; });
  }
  CloseIfResolved(job);
}

Job* JobTable::Find(const JobId& id) {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

const Job* JobTable::Find(const JobId& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

Task* JobTable::FindTask(const TaskId& id) {
  Job* job = Find(id.job);
  if (job == nullptr || id.step >= job->spec.steps.size() ||
      id.index >= job->spec.steps[id.step].count)
    return nullptr;
  auto it = job->occurrences.find(id.occurrence);
  if (it == job->occurrences.end())
    return nullptr;
  return &it->second.tasks[job->StepOffset(id.step) + id.index];
}

Run* JobTable::FindRun(const RunRef& ref) {
  Task* task = FindTask(ref.task);
  return task == nullptr ? nullptr : task->FindRun(ref.run);
}

Occurrence& JobTable::AddOccurrence(Job& job, uint32_t number, Time now) {
  auto [it, inserted] = job.occurrences.try_emplace(number);
  Occurrence& occurrence = it->second;
  if (!inserted)
    return occurrence;
  occurrence.number = number;
  occurrence.done_in_step.assign(job.spec.steps.size(), 0);
  occurrence.tasks.reserve(job.spec.tasks_per_occurrence());
  for (uint32_t step = 0; step < job.spec.steps.size(); ++step) {
    for (uint32_t index = 0; index < job.spec.steps[step].count; ++index) {
      Task task;
      task.step = step;
      task.index = index;
      task.ready_since = now;
      occurrence.tasks.push_back(std::move(task));
    }
  }
  return occurrence;
}

std::optional<WallMillis> JobTable::CreateDueOccurrences(Job& job,
                                                         Time now,
                                                         WallMillis wall) {
  if (!job.spec.scheduled() || IsFinal(job.state))
    return std::nullopt;
  uint32_t next = job.finished_below;
  if (!job.occurrences.empty())
    next = std::max(next, job.occurrences.rbegin()->first + 1);
  uint32_t created = 0;
  while (next < job.spec.repeat_count) {
    // More occurrences wait, so that the progress fits into one commit.
    if (next > job.finished_below &&
        OpenTasks(job) + job.spec.tasks_per_occurrence() > kMaxOpenTasks)
      break;
    WallMillis due =
        job.spec.start_at +
        static_cast<WallMillis>(next) * WholeMilliseconds(job.spec.interval);
    if (due > wall || created == kMaxNewOccurrences)
      return due;
    AddOccurrence(job, next, now);
    ++created;
    ++next;
  }
  return std::nullopt;
}

bool JobTable::IsReady(const Job& job,
                       const Occurrence& occurrence,
                       const Task& task) {
  for (uint32_t before : job.spec.steps[task.step].after) {
    if (occurrence.done_in_step[before] < job.spec.steps[before].count)
      return false;
  }
  return true;
}

void JobTable::MarkDone(Job& job,
                        Occurrence& occurrence,
                        Task& task,
                        Time now) {
  if (task.done)
    return;
  task.done = true;
  task.checkpoint.clear();
  ++occurrence.done_in_step[task.step];
  MarkChanged(job);
  for (const Task& other : occurrence.tasks) {
    if (!other.done)
      return;
  }
  occurrence.finished = true;
  while (true) {
    auto first = job.occurrences.find(job.finished_below);
    if (first == job.occurrences.end() || !first->second.finished)
      break;
    ++job.finished_below;
  }
  if (job.finished_below == job.spec.occurrences() && !IsFinal(job.state)) {
    job.state = JobState::kCompleted;
    job.ended = now;
  }
}

void JobTable::MarkEnded(Job& job, JobState state, Time now) {
  if (IsFinal(job.state))
    return;
  job.state = state;
  job.ended = now;
  MarkChanged(job);
}

void JobTable::MarkChanged(Job& job) {
  ++job.changes;
  if (job.dirty != 0 || job.unstorable)
    return;
  job.dirty = next_dirty_++;
  dirty_.emplace(job.dirty, job.id);
}

void JobTable::ClearDirty(Job& job) {
  dirty_.erase(job.dirty);
  job.dirty = 0;
}

bool JobTable::HasUnstoredJobs(const QueueId& queue) const {
  return std::any_of(jobs_.begin(), jobs_.end(), [&queue](const auto& entry) {
    const Job& job = entry.second;
    return !job.definition_stored && !job.unstorable && job.spec.queue == queue;
  });
}

StoredProgress JobTable::ProgressOf(const Job& job) const {
  StoredProgress progress;
  progress.state = job.state;
  progress.begun = job.begun;
  progress.finished_below = job.finished_below;
  for (const auto& [number, occurrence] : job.occurrences) {
    bool past = number < job.finished_below || IsFinal(job.state);
    StoredOccurrence stored{number, {}};
    for (uint32_t i = 0; i < occurrence.tasks.size(); ++i) {
      const Task& task = occurrence.tasks[i];
      if (past ? task.runs.empty() : !DiffersFromNew(task))
        continue;
      StoredTask s;
      s.position = i;
      s.done = task.done;
      s.failures = task.failures;
      s.last_run = task.last_run;
      s.checkpoint = task.checkpoint;
      for (const Run& run : task.runs)
        s.runs.push_back({run.number, run.server, run.stop_wanted});
      if (task.provisional_success) {
        s.provisional_run = task.provisional_success->run;
        s.provisional_inherited = task.provisional_success->inherited;
      }
      for (const UnansweredStart& start : task.unanswered_starts) {
        if (start.restarts_frequent)
          s.unanswered_servers.push_back(start.server);
      }
      stored.tasks.push_back(std::move(s));
    }
    if (!past || !stored.tasks.empty())
      progress.occurrences.push_back(std::move(stored));
  }
  return progress;
}

void JobTable::CloseIfResolved(Job& job) {
  for (auto it = job.occurrences.begin(); it != job.occurrences.end();) {
    bool over = it->first < job.finished_below || IsFinal(job.state);
    if (over && !it->second.HasRuns())
      it = job.occurrences.erase(it);
    else
      ++it;
  }
  if (!IsFinal(job.state) || !job.occurrences.empty())
    return;
  open_.erase(job.id);
  job.spec.payload.clear();
  job.spec.payload.shrink_to_fit();
}

std::vector<JobTable::PurgedJob> JobTable::Purge(Time before, size_t limit) {
  std::vector<PurgedJob> purged;
  for (auto it = jobs_.begin(); it != jobs_.end() && purged.size() < limit;) {
    const Job& job = it->second;
    bool old = IsFinal(job.state) && job.ended < before &&
               !open_.contains(job.id) && job.dirty == 0;
    if (!old) {
      ++it;
      continue;
    }
    purged.push_back({job.id, job.further_progress_rows});
    it = jobs_.erase(it);
  }
  return purged;
}

}  // namespace radishmoor
