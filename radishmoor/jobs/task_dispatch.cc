#include "radishmoor/jobs/task_dispatch.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "radishmoor/jobs/pacing.h"

namespace radishmoor {
namespace {

// A server is used while its last answer is at most this old.
constexpr Duration kMaxContactAge = Milliseconds(2500);
// Servers that are held free for tasks that fit nowhere, at once.
constexpr uint32_t kMaxReservations = 2;
// A run whose progress stands still this long does not go on.
constexpr Duration kStandstill = Milliseconds(1500);
// A run is moved only if that is expected to bring its end forward by this
// factor, and its server is at least this slow.
constexpr double kRelocationGain = 2.0;
constexpr double kSlowServer = 2.0;
// A task that was moved so often stays where it is: it may be long itself, and
// servers are emptied again and again.
constexpr uint32_t kMaxRelocations = 2;
constexpr Duration kRestartCost = Milliseconds(250);
constexpr Duration kStandstillHoldBack = Seconds(3);
// A copy of a straggler starts when a run has taken this many times as long as
// expected.
constexpr double kStraggler = 1.8;
constexpr Duration kMinStragglerAge = Milliseconds(500);
// An emptying server's tasks are stopped after this time, and those with
// checkpoints at once when they need longer than the first one.
constexpr Duration kEmptyPatience = Milliseconds(5000);
constexpr Duration kCheckpointPatience = Milliseconds(800);
// Successes this recent speak for a server.
constexpr Duration kTrustAge = Seconds(10);
// A run that takes this many times as long as expected counts against its
// server before its end.
constexpr double kSlowRun = 2.0;
constexpr double kSlowRunWeight = 0.3;
constexpr double kMaxSlowRatio = 6.0;
// The progress of so many tasks of a step, on other servers, tells how long a
// task of it takes.
constexpr size_t kTellingSiblings = 2;
constexpr uint32_t kTellingPercent = 10;
// Between changes of pace on a server: the change and the tail that follows it
// take about this long to show.
constexpr Duration kPacePeriod = Milliseconds(350);

}  // namespace

std::vector<PlacementServer> TaskDispatch::CollectServers(Time now) {
  std::vector<PlacementServer> servers;
  server_ids_.clear();
  for (auto& [id, server] : state_.servers.all()) {
    bool usable = server.Serves(state_.pool) && !server.vacating &&
                  server.last_answer_at &&
                  now - *server.last_answer_at <= kMaxContactAge &&
                  server.failed_polls == 0 && now >= server.quarantined_until;
    if (!usable)
      continue;
    PlacementServer s;
    s.position = static_cast<uint32_t>(server_ids_.size());
    server_ids_.push_back(id);
    s.rack = server.listing.rack;
    s.labels = server.listing.labels;
    s.capacity = server.listing.capacity;
    s.room = server.Room();
    s.slowness = server.slowness;
    s.trusted =
        server.failure_score < 1 || now - server.last_success <= kTrustAge;
    for (const RunRef& ref : server.runs) {
      const Job* job = state_.jobs.Find(ref.task.job);
      if (job == nullptr || ref.task.step >= job->spec.steps.size())
        continue;
      const StepSpec& step = job->spec.steps[ref.task.step];
      s.latency_sensitive_runs += step.tail_limit > Duration::zero() ? 1 : 0;
      s.best_effort_runs += step.best_effort ? 1 : 0;
      s.long_runs += step.long_running ? 1 : 0;
    }
    servers.push_back(std::move(s));
  }
  return servers;
}

Duration TaskDispatch::RemainingChain(const Job& job) const {
  const std::vector<StepSpec>& steps = job.spec.steps;
  const Occurrence* occurrence =
      job.occurrences.empty() ? nullptr : &job.occurrences.begin()->second;
  return LongestChain(steps, [&](size_t i) {
    bool done =
        occurrence != nullptr && occurrence->done_in_step[i] == steps[i].count;
    return done ? Duration::zero() : state_.ExpectedRunTime(job, steps[i]);
  });
}

double TaskDispatch::RemainingWork(const Job& job) const {
  double work = 0;
  const Occurrence* occurrence =
      job.occurrences.empty() ? nullptr : &job.occurrences.begin()->second;
  for (size_t i = 0; i < job.spec.steps.size(); ++i) {
    const StepSpec& step = job.spec.steps[i];
    uint32_t done = occurrence == nullptr ? 0 : occurrence->done_in_step[i];
    work += static_cast<double>(step.count - done) *
            static_cast<double>(step.request.cpu_millis) / 1000 *
            ToSeconds(state_.ExpectedRunTime(job, step));
  }
  return work;
}

std::vector<TaskDispatch::OrderedJob> TaskDispatch::OrderedJobs(Time now) {
  std::vector<Job*> jobs;
  std::vector<JobOrderInput> inputs;
  for (const JobId& id : state_.jobs.open()) {
    Job* job = state_.jobs.Find(id);
    if (job == nullptr || IsFinal(job->state))
      continue;
    JobOrderInput input;
    input.position = static_cast<uint32_t>(jobs.size());
    input.priority = state_.QueueOf(*job).priority;
    input.long_running = job->spec.long_running();
    input.objective = job->objective;
    input.arrived = job->arrived;
    if (job->remaining_as_of_change != job->changes) {
      job->remaining_as_of_change = job->changes;
      job->remaining_chain = RemainingChain(*job);
      job->remaining_work = RemainingWork(*job);
    }
    input.remaining_chain = job->remaining_chain;
    input.begun = job->begun;
    input.remaining_work = job->remaining_work;
    jobs.push_back(job);
    inputs.push_back(input);
  }
  std::vector<OrderedJob> ordered;
  ordered.reserve(jobs.size());
  for (uint32_t position : OrderJobs(now, inputs)) {
    bool in_time =
        inputs[position].long_running || inputs[position].CanMeetObjective(now);
    ordered.push_back({jobs[position], in_time});
  }
  return ordered;
}

void TaskDispatch::Plan(Time now, Outbox& outbox) {
  std::vector<PlacementServer> servers = CollectServers(now);
  UpdateLargestRoom(servers);
  reservations_ = 0;
  demand_cpu_ = 0;
  waiting_work_ = 0;
  for (const OrderedJob& ordered : OrderedJobs(now))
    PlanJob(now, *ordered.job, ordered.in_time, servers, outbox);
  int64_t capacity = 0;
  for (const PlacementServer& server : servers)
    capacity += server.capacity.cpu_millis;
  expected_wait_ = Duration(capacity > 0 ? waiting_work_ / capacity : 0);
}

void TaskDispatch::PlanJob(Time now,
                           Job& job,
                           bool in_time,
                           std::vector<PlacementServer>& servers,
                           Outbox& outbox) {
  bool advised = state_.QueueOf(job).needs_advice;
  for (auto& [number, occurrence] : job.occurrences) {
    if (occurrence.finished)
      continue;
    std::vector<bool> gang_tried(job.spec.steps.size(), false);
    // A step whose task found no room has none for its other tasks either.
    std::vector<bool> blocked(job.spec.steps.size(), false);
    for (Task& task : occurrence.tasks) {
      const StepSpec& step = job.StepOf(task);
      if (task.done)
        continue;
      if (!JobTable::IsReady(job, occurrence, task))
        continue;
      if (!step.best_effort && (in_time || !task.runs.empty()))
        demand_cpu_ += step.request.cpu_millis;
      if (!task.idle())
        continue;
      bool planned = false;
      if (blocked[task.step]) {
        planned = false;
      } else if (advised) {
        std::vector<PlacementServer> admitted = servers;
        Admit(now, job.IdOf(occurrence, task), admitted, outbox);
        planned = step.gang
                      ? PlanGang(now, job, occurrence, task.step, admitted)
                      : PlanTask(now, job, occurrence, task, admitted);
        TakeRooms(admitted, servers);
      } else if (step.gang) {
        if (!gang_tried[task.step])
          planned = PlanGang(now, job, occurrence, task.step, servers);
        gang_tried[task.step] = true;
      } else {
        planned = PlanTask(now, job, occurrence, task, servers);
      }
      if (planned)
        continue;
      bool first = !blocked[task.step];
      // Tasks that have failed may run on fewer servers than the others.
      blocked[task.step] = task.failures == 0;
      if (!in_time)
        continue;
      waiting_work_ +=
          step.request.cpu_millis * state_.ExpectedRunTime(job, step).count();
      if (first)
        Reserve(job, task, servers);
    }
  }
}

PlacementTask TaskDispatch::DescribeTask(const Job& job,
                                         const Task& task) const {
  PlacementTask described;
  described.step = &job.StepOf(task);
  auto queue = state_.queues.find(job.spec.queue);
  uint32_t limit =
      queue == state_.queues.end() ? 1 : queue->second.max_attempts;
  described.last_attempt =
      !described.step->long_running && limit > 1 && task.failures + 1 >= limit;
  described.remote_data_slowdown = state_.bounds.remote_data_slowdown;
  return described;
}

void TaskDispatch::CountStep(const Occurrence& occurrence,
                             const Task& task,
                             std::vector<PlacementServer>& servers) const {
  for (PlacementServer& server : servers) {
    const ServerId& id = server_ids_[server.position];
    server.same_step = 0;
    server.failed_before =
        std::find(task.failed_on.begin(), task.failed_on.end(), id) !=
        task.failed_on.end();
  }
  std::map<ServerId, uint32_t> counts;
  for (const Task& other : occurrence.tasks) {
    if (other.step != task.step)
      continue;
    for (const Run& run : other.runs)
      ++counts[run.server];
  }
  if (counts.empty())
    return;
  for (PlacementServer& server : servers) {
    auto count = counts.find(server_ids_[server.position]);
    if (count != counts.end())
      server.same_step = count->second;
  }
}

void TaskDispatch::Admit(Time now,
                         const TaskId& task,
                         std::vector<PlacementServer>& servers,
                         Outbox& outbox) {
  std::vector<ServerId> asked;
  asked.reserve(servers.size());
  for (const PlacementServer& server : servers)
    asked.push_back(server_ids_[server.position]);
  std::map<ServerId, std::string> tickets =
      state_.advice.Tickets(now, task, asked, outbox);
  std::erase_if(servers, [&](const PlacementServer& server) {
    return !tickets.contains(server_ids_[server.position]);
  });
}

void TaskDispatch::TakeRooms(std::span<const PlacementServer> from,
                             std::vector<PlacementServer>& to) {
  for (const PlacementServer& used : from) {
    for (PlacementServer& server : to) {
      if (server.position == used.position)
        server.room = used.room;
    }
  }
  UpdateLargestRoom(to);
}

void TaskDispatch::ForgetStep(std::vector<PlacementServer>& servers) {
  for (PlacementServer& server : servers) {
    server.same_step = 0;
    server.failed_before = false;
  }
}

void TaskDispatch::UpdateLargestRoom(std::span<const PlacementServer> servers) {
  largest_room_ = 0;
  for (const PlacementServer& server : servers) {
    if (!server.reserved)
      largest_room_ = std::max(largest_room_, server.room.cpu_millis);
  }
}

bool TaskDispatch::PlanTask(Time now,
                            Job& job,
                            Occurrence& occurrence,
                            Task& task,
                            std::vector<PlacementServer>& servers) {
  PlacementTask described = DescribeTask(job, task);
  if (described.step->counted_request().cpu_millis > largest_room_)
    return false;
  bool counted = described.step->max_per_server > 0 ||
                 described.step->colocated || !task.failed_on.empty();
  if (counted)
    CountStep(occurrence, task, servers);
  if (described.step->colocated) {
    std::map<RackId, uint32_t> racks;
    for (const PlacementServer& server : servers)
      racks[server.rack] += server.same_step;
    uint32_t most = 0;
    for (const auto& [rack, count] : racks) {
      if (count > most) {
        most = count;
        described.preferred_rack = rack;
      }
    }
  }
  std::optional<size_t> chosen = ChooseServer(described, servers);
  if (chosen) {
    AddRun(now, job, occurrence, task, task.last_run + 1, servers[*chosen]);
    UpdateLargestRoom(servers);
  }
  if (counted)
    ForgetStep(servers);
  return chosen.has_value();
}

bool TaskDispatch::PlanGang(Time now,
                            Job& job,
                            Occurrence& occurrence,
                            uint32_t step,
                            std::vector<PlacementServer>& servers) {
  std::vector<Task*> members;
  RunNumber number = 0;
  for (Task& task : occurrence.tasks) {
    if (task.step != step)
      continue;
    if (!task.idle())
      return false;  // Members of an earlier run have not all ended.
    members.push_back(&task);
    number = std::max(number, task.last_run);
  }
  // All or none: the choice is made on a copy.
  std::vector<PlacementServer> trial = servers;
  CountStep(occurrence, *members.front(), trial);
  std::vector<size_t> choices;
  PlacementTask described = DescribeTask(job, *members.front());
  for (Task* member : members) {
    (void)member;
    std::optional<size_t> chosen = ChooseServer(described, trial);
    if (!chosen)
      return false;
    PlacementServer& server = trial[*chosen];
    server.room -= described.step->counted_request();
    ++server.same_step;
    if (described.step->colocated && described.preferred_rack.empty())
      described.preferred_rack = server.rack;
    choices.push_back(*chosen);
  }
  // All members carry the same checkpoint, the latest of any of them.
  std::string checkpoint;
  for (Task* member : members)
    checkpoint = std::max(checkpoint, member->checkpoint);
  for (size_t i = 0; i < members.size(); ++i) {
    members[i]->checkpoint = checkpoint;
    AddRun(now, job, occurrence, *members[i], number + 1, servers[choices[i]]);
  }
  return true;
}

void TaskDispatch::AddRun(Time now,
                          Job& job,
                          Occurrence& occurrence,
                          Task& task,
                          RunNumber number,
                          PlacementServer& server) {
  Resources request = job.StepOf(task).counted_request();
  Run run;
  run.number = number;
  run.server = server_ids_[server.position];
  run.phase_since = now;
  run.start_sent_at = now;
  run.progress_changed_at = now;
  task.last_run = number;
  RunRef ref{job.IdOf(occurrence, task), number};
  state_.servers.AddRun(run.server, ref, request);
  task.runs.push_back(std::move(run));
  server.room -= request;
  state_.planned[job.id].push_back(ref);
  state_.jobs.Touch(job);
}

void TaskDispatch::Reserve(const Job& job,
                           const Task& task,
                           std::vector<PlacementServer>& servers) {
  if (reservations_ >= kMaxReservations)
    return;
  std::optional<size_t> chosen =
      ChooseReservation(DescribeTask(job, task), servers);
  if (!chosen)
    return;
  servers[*chosen].reserved = true;
  ++reservations_;
  UpdateLargestRoom(servers);
}

bool TaskDispatch::MayDisplace(const Job& job,
                               const Occurrence& occurrence,
                               const Task& task) const {
  const StepSpec& step = job.StepOf(task);
  uint32_t missing = 0;
  for (const Task& other : occurrence.tasks) {
    if (&other != &task && other.step == task.step && !other.is_available())
      ++missing;
  }
  return missing < std::max(1u, step.allowed_missing);
}

void TaskDispatch::Review(Time now, Outbox& outbox) {
  std::vector<RunRef> refs;
  for (auto& [id, server] : state_.servers.all()) {
    PaceServer(now, server, outbox);
    refs.insert(refs.end(), server.runs.begin(), server.runs.end());
  }
  for (const RunRef& ref : refs) {
    Job* job = state_.jobs.Find(ref.task.job);
    Task* task = state_.jobs.FindTask(ref.task);
    Run* run = task == nullptr ? nullptr : task->FindRun(ref.run);
    if (run == nullptr || run->stop_wanted ||
        run->phase != RunPhase::kRunning || IsFinal(job->state))
      continue;
    ReviewRun(now, *job, job->occurrences.at(ref.task.occurrence), *task, *run,
              outbox);
  }
}

void TaskDispatch::PaceServer(Time now, ServerState& server, Outbox& outbox) {
  double worst = 0;
  std::vector<std::pair<RunRef, uint32_t>> paced;
  for (const RunRef& ref : server.runs) {
    Job* job = state_.jobs.Find(ref.task.job);
    Task* task = state_.jobs.FindTask(ref.task);
    Run* run = task == nullptr ? nullptr : task->FindRun(ref.run);
    if (run == nullptr || run->phase != RunPhase::kRunning)
      continue;
    const StepSpec& step = job->StepOf(*task);
    if (step.tail_limit > Duration::zero()) {
      worst = std::max(worst, static_cast<double>(run->load) * 1000 /
                                  static_cast<double>(step.tail_limit.count()));
    }
    if (step.best_effort)
      paced.emplace_back(ref, run->ordered_pace_percent);
  }
  if (paced.empty() || now - server.pace_changed_at < kPacePeriod)
    return;
  for (const auto& [ref, pace] : paced) {
    uint32_t next = NextPace(pace, worst);
    if (next == pace)
      continue;
    server.pace_changed_at = now;
    runs_.SetPace(now, ref, next, outbox);
  }
}

void TaskDispatch::CountSlowRun(Duration projected,
                                Duration expected,
                                Run& run,
                                ServerState& server) {
  if (run.counted_slow || expected <= Duration::zero())
    return;
  double ratio = static_cast<double>(projected.count()) /
                 static_cast<double>(expected.count());
  if (ratio < kSlowRun)
    return;
  run.counted_slow = true;
  ratio = std::min(ratio, kMaxSlowRatio);
  server.slowness *=
      std::pow(std::max(1.0, ratio / server.slowness), kSlowRunWeight);
}

Duration TaskDispatch::SiblingRunTime(Time now,
                                      const Occurrence& occurrence,
                                      const Task& task) const {
  std::vector<Duration> projected;
  for (const Task& other : occurrence.tasks) {
    if (other.step != task.step || other.done || other.runs.size() != 1)
      continue;
    const Run& run = other.runs.front();
    if (run.phase == RunPhase::kRunning &&
        run.progress_percent >= kTellingPercent &&
        run.server != task.runs.front().server)
      projected.push_back((now - run.phase_since) * 100 / run.progress_percent);
  }
  if (projected.size() < kTellingSiblings)
    return Duration::zero();
  auto middle =
      projected.begin() + static_cast<std::ptrdiff_t>(projected.size() / 2);
  std::nth_element(projected.begin(), middle, projected.end());
  return *middle;
}

void TaskDispatch::ReviewRun(Time now,
                             Job& job,
                             Occurrence& occurrence,
                             Task& task,
                             Run& run,
                             Outbox& outbox) {
  ServerState* server = state_.servers.Find(run.server);
  if (server == nullptr)
    return;
  const StepSpec& step = job.StepOf(task);
  TaskId id = job.IdOf(occurrence, task);
  Duration age = now - run.phase_since;
  Duration expected = state_.ExpectedRunTime(job, step);
  bool fresh =
      server->last_answer_at && now - *server->last_answer_at < kStandstill;
  if (step.long_running) {
    // A task whose start-up was not over at the last poll may be at work by
    // now.
    bool leaves = server->listing.draining ||
                  (server->vacating && MayDisplace(job, occurrence, task));
    if (leaves) {
      task.displaced = true;
      runs_.RequestStop(now, id, run.number, "server-leaves", outbox);
    } else if (!task.is_available() && fresh &&
               now - run.progress_changed_at > 2 * kStandstill) {
      server->quarantined_until = now + kStandstillHoldBack;
      runs_.RequestStop(now, id, run.number, "no-progress", outbox);
    }
    return;
  }
  // What is left, as the run's own pace shows it.
  double progress = std::max(1u, run.progress_percent) / 100.0;
  Duration remaining(static_cast<int64_t>(static_cast<double>(age.count()) *
                                          (1 - progress) / progress));
  if (server->vacating || server->listing.draining) {
    bool may_move =
        server->listing.draining || task.relocations < kMaxRelocations;
    bool saves =
        step.checkpointing && remaining > kCheckpointPatience && may_move;
    bool overdue =
        server->vacating && now - server->vacate_started_at > kEmptyPatience;
    if (!saves && !overdue)
      return;
    ++task.relocations;
    runs_.RequestStop(now, id, run.number, "server-leaves", outbox);
    return;
  }
  if (step.gang || !fresh || task.runs.size() > 1)
    return;
  if (run.progress_percent < 100 &&
      now - run.progress_changed_at > kStandstill && age > kStandstill) {
    server->quarantined_until = now + kStandstillHoldBack;
    ++state_.counters.relocations;
    runs_.RequestStop(now, id, run.number, "no-progress", outbox);
    return;
  }
  // The other tasks of the step tell more than the estimate.
  Duration typical = expected;
  if (age > expected) {
    typical = std::max(expected, SiblingRunTime(now, occurrence, task));
    CountSlowRun(age + remaining, typical, run, *server);
  }
  Duration elsewhere = step.checkpointing ? remaining : typical;
  bool slow = server->slowness > kSlowServer && age > typical &&
              remaining > Duration::zero() &&
              task.relocations < kMaxRelocations;
  if (slow &&
      static_cast<double>(remaining.count()) >
          kRelocationGain *
              static_cast<double>((elsewhere / 2 + kRestartCost).count())) {
    ++state_.counters.relocations;
    ++task.relocations;
    runs_.RequestStop(now, id, run.number, "slow-server", outbox);
    return;
  }
  bool straggles = step.speculative && age > kMinStragglerAge &&
                   static_cast<double>(age.count()) >
                       kStraggler * static_cast<double>(typical.count()) &&
                   remaining > typical;
  if (!straggles)
    return;
  std::vector<PlacementServer> servers = CollectServers(now);
  std::erase_if(servers, [&](const PlacementServer& s) {
    return server_ids_[s.position] == run.server ||
           s.room.cpu_millis * 4 < s.capacity.cpu_millis;
  });
  UpdateLargestRoom(servers);
  if (PlanTask(now, job, occurrence, task, servers)) {
    ++state_.counters.speculative_starts;
    outbox.LogDecision("copy-started",
                       {{"task", FormatTask(id)},
                        {"age_ms", WholeMilliseconds(age)},
                        {"expected_ms", WholeMilliseconds(expected)}});
  }
}

}  // namespace radishmoor
