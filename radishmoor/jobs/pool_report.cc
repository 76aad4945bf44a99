#include "radishmoor/jobs/pool_report.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace radishmoor {
namespace {

std::string_view StateName(JobState state) {
  switch (state) {
    case JobState::kQueued:
      return "queued";
    case JobState::kInProgress:
      return "in-progress";
    case JobState::kCompleted:
      return "completed";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

std::string FormatField(std::string_view name, int64_t value) {
  return " " + std::string(name) + "=" + std::to_string(value);
}

std::string JobLine(Time now, const Job& job) {
  int64_t tasks = 0;
  int64_t done = 0;
  int64_t running = 0;
  int64_t failures = 0;
  for (const auto& [number, occurrence] : job.occurrences) {
    for (const Task& task : occurrence.tasks) {
      ++tasks;
      done += task.done ? 1 : 0;
      running += task.runs.empty() ? 0 : 1;
      failures += task.failures;
    }
  }
  return "job " + job.id.str() + " queue=" + job.spec.queue.str() +
         " state=" + std::string(StateName(job.state)) +
         FormatField("age_ms", WholeMilliseconds(now - job.arrived)) +
         FormatField("objective_in_ms",
                     WholeMilliseconds(job.objective - now)) +
         FormatField("tasks", tasks) + FormatField("done", done) +
         FormatField("running", running) + FormatField("failures", failures) +
         "\n";
}

std::string ServersLine(Time now, const JobPoolState& state) {
  int64_t listed = 0;
  int64_t silent = 0;
  int64_t emptying = 0;
  int64_t quarantined = 0;
  int64_t used_cpu_millis = 0;
  int64_t capacity_cpu_millis = 0;
  for (const auto& [id, server] : state.servers.all()) {
    if (!server.Serves(state.pool))
      continue;
    ++listed;
    silent += server.failed_polls > 0 ? 1 : 0;
    emptying += server.vacating ? 1 : 0;
    quarantined += now < server.quarantined_until ? 1 : 0;
    used_cpu_millis += server.used.cpu_millis;
    capacity_cpu_millis += server.listing.capacity.cpu_millis;
  }
  return "servers" + FormatField("listed", listed) +
         FormatField("silent", silent) + FormatField("emptying", emptying) +
         FormatField("held_back", quarantined) +
         FormatField("used_cpu", used_cpu_millis) +
         FormatField("capacity_cpu", capacity_cpu_millis) + "\n";
}

}  // namespace

std::string FormatPoolReport(Time now, const PoolScheduler& scheduler) {
  const JobPoolState& state = scheduler.state();
  std::string text =
      "pool " + state.pool.str() +
      FormatField("token", static_cast<int64_t>(scheduler.token())) +
      FormatField("loaded", scheduler.loaded() ? 1 : 0) +
      FormatField("renewed_age_ms",
                  WholeMilliseconds(scheduler.renewed_age(now))) +
      "\n" + ServersLine(now, state);
  for (const QueueLoad& load : scheduler.MakeHeartbeat(now).queues) {
    text += "queue " + load.queue.str() + FormatField("pending", load.pending) +
            FormatField("wait_ms", WholeMilliseconds(load.wait)) + "\n";
  }
  std::vector<const Job*> open;
  for (const JobId& id : state.jobs.open()) {
    if (const Job* job = state.jobs.Find(id))
      open.push_back(job);
  }
  std::sort(open.begin(), open.end(), [](const Job* a, const Job* b) {
    return std::pair(a->arrived, a->id) < std::pair(b->arrived, b->id);
  });
  size_t listed = std::min(open.size(), kMaxReportedJobs);
  for (size_t i = 0; i < listed; ++i)
    text += JobLine(now, *open[i]);
  if (listed < open.size())
    text += "and " + std::to_string(open.size() - listed) + " more jobs\n";
  return text;
}

}  // namespace radishmoor
