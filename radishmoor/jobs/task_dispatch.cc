#include "radishmoor/jobs/task_dispatch.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "radishmoor/jobs/availability_budget.h"
#include "radishmoor/jobs/pacing.h"

namespace radishmoor {
namespace {

// Runs are planned only on servers whose last answer is at most this old.
constexpr Duration kMaxAnswerAge = Milliseconds(2500);
// Maximum number of servers that are kept free at the same time for tasks that
// fit nowhere.
constexpr uint32_t kMaxReservations = 2;
// A run whose progress has not changed for this long has stalled.
constexpr Duration kStallTimeout = Milliseconds(1500);
// A run is moved off a slow server only if its remaining time there is more
// than this many times the expected one after a move, and if the slowness of
// the server is above the minimum.
constexpr double kMinRelocationGain = 2.0;
constexpr double kMinRelocationSlowness = 2.0;
// Maximum number of times that a task is moved off servers that are slow or
// being emptied. Without a limit, a task that is long on every server, or whose
// servers are emptied one after the other, would be moved again and again.
constexpr uint32_t kMaxRelocations = 2;
// A long-running task waits this long for the server that may carry out a start
// of it late. Other tasks wait as long as the start may come.
constexpr Duration kMaxDoubtfulServerWait = Milliseconds(1500);
// Delay that a move adds to the run time.
constexpr Duration kRestartCost = Milliseconds(250);
// No starts on a server for this long after a run has stalled there.
constexpr Duration kStallQuarantine = Seconds(3);
// A run is a straggler, of which a speculative copy may start, when it has
// taken this many times as long as expected.
constexpr double kStragglerRatio = 1.8;
constexpr Duration kMinStragglerAge = Milliseconds(500);
// A copy starts on a server of whose cores at least one in this many is free.
constexpr int64_t kMinFreeShareForCopies = 4;
// A missing long-running task waits this long for a server that is not being
// emptied. A server that was emptied may take seconds to come back.
constexpr Duration kMaxStayingServerWait = Seconds(2);
// The runs on a server that is being emptied are stopped after this time.
constexpr Duration kVacateTimeout = Milliseconds(5000);
// A run with checkpoints on a server that leaves is stopped at once if its
// remaining time is longer than this.
constexpr Duration kMaxCheckpointedRemainder = Milliseconds(800);
// A server with failures is trusted while its last success is at most this old.
constexpr Duration kMaxTrustedSuccessAge = Seconds(10);
// A task's last attempt waits this long for a trusted server. A server gets
// trusted by a success, which a pool without other work does not have.
constexpr Duration kMaxTrustWait = Seconds(1);
// A run that takes at least kSlowRunRatio times as long as expected raises the
// slowness of its server before it ends. The slowness is multiplied by
// (ratio / slowness) to the power of kSlowRunWeight.
constexpr double kSlowRunRatio = 2.0;
constexpr double kSlowRunWeight = 0.3;
constexpr double kMaxSlowRunRatio = 6.0;  // Larger ratios count as this one.
// The run time of a step is projected from the progress of its tasks only if at
// least this many of them, on other servers, have made this much progress.
constexpr size_t kMinMeasuredSiblings = 2;
constexpr uint32_t kMinSiblingPercent = 10;
// A server is better than another one for a task if its drawbacks are smaller
// by this much, which is less than those of a server away from the data.
constexpr double kMinAdviceGain = 0.9;
// A task waits this long for advice about servers that suit it better than the
// admitted ones, counted from the time at which it became ready.
constexpr Duration kMaxBetterServerWait = Milliseconds(300);
// The same for a task that has failed.
constexpr Duration kMaxRetryAdviceWait = Seconds(2);
// Minimum time between changes of pace on a server. A change and its effect on
// the tail latency take about this long to show.
constexpr Duration kMinPaceChangeInterval = Milliseconds(350);
// Pace that is assumed of an inherited best-effort run next to
// latency-sensitive ones, in percent.
constexpr uint32_t kInheritedPacePercent = 50;

// The tasks of late jobs count as the cores that run them within this time.
constexpr Duration kBacklogDrainTime = Seconds(2);

// Returns the rack with the highest count; empty if there is none.
RackId RackWithMost(const std::map<RackId, uint32_t>& counts) {
  auto most = std::max_element(
      counts.begin(), counts.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return most == counts.end() ? RackId() : most->first;
}

// Returns the rack of most of the servers; empty if there are none.
RackId LargestRack(std::span<const PlacementServer> servers) {
  std::map<RackId, uint32_t> racks;
  for (const PlacementServer& server : servers)
    ++racks[server.rack];
  return RackWithMost(racks);
}

}  // namespace

bool TaskDispatch::IsUsable(Time now, const ServerState& server) const {
  return server.Serves(state_.pool) && !server.ListingIsOutdated() &&
         server.doubt.last_listed_at && server.last_answer_at &&
         now - *server.last_answer_at <= kMaxAnswerAge &&
         server.failed_polls == 0 && now >= server.starts_refused_until;
}

PlacementServer TaskDispatch::DescribeServer(Time now,
                                             const ServerId& id,
                                             const ServerState& server) {
  PlacementServer s;
  s.position = static_cast<uint32_t>(server_ids_.size());
  server_ids_.push_back(id);
  s.rack = server.listing.rack;
  s.labels = server.listing.labels;
  s.capacity = server.listing.capacity;
  s.free_resources = server.FreeResources();
  s.slowness = server.slowness;
  s.trusted = server.failure_score < 1 ||
              now - server.last_success_at <= kMaxTrustedSuccessAge;
  s.latency_sensitive_runs = server.latency_sensitive_runs;
  s.best_effort_runs = server.best_effort_runs;
  s.long_running_runs = server.long_running_runs;
  s.used_by_long_running = server.used_by_long_running;
  return s;
}

std::vector<PlacementServer> TaskDispatch::CollectServers(Time now) {
  auto is_usable = [this, now](const ServerState& server) {
    return !server.vacating && IsUsable(now, server);
  };
  // If all servers have failures, the tasks may be at fault.
  bool all_quarantined = std::none_of(
      state_.servers.all().begin(), state_.servers.all().end(),
      [&](const auto& entry) {
        return is_usable(entry.second) && now >= entry.second.quarantined_until;
      });
  std::vector<PlacementServer> servers;
  server_ids_.clear();
  for (auto& [id, server] : state_.servers.all()) {
    if (!is_usable(server) ||
        (now < server.quarantined_until && !all_quarantined))
      continue;
    servers.push_back(DescribeServer(now, id, server));
  }
  return servers;
}

bool TaskDispatch::PlanOnVacatingServer(Time now,
                                        Job& job,
                                        Occurrence& occurrence,
                                        Task& task) {
  if (!job.StepOf(task).long_running ||
      now - task.ready_since < kMaxStayingServerWait)
    return false;
  if (!vacating_servers_) {
    vacating_servers_.emplace();
    for (const auto& [id, server] : state_.servers.all()) {
      if (server.vacating && !server.runs.empty() && IsUsable(now, server))
        vacating_servers_->push_back(DescribeServer(now, id, server));
    }
  }
  int64_t largest_free = largest_free_cpu_millis_;
  UpdateLargestFreeCpu(*vacating_servers_);
  bool planned = PlanTask(now, job, occurrence, task, *vacating_servers_);
  largest_free_cpu_millis_ = largest_free;
  return planned;
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

std::vector<TaskDispatch::OrderedJob> TaskDispatch::JobsInStartOrder(Time now) {
  std::vector<Job*> jobs;
  std::vector<JobOrderInput> inputs;
  for (const JobId& id : state_.jobs.open()) {
    Job* job = state_.jobs.Find(id);
    if (job == nullptr || IsFinal(job->state))
      continue;
    JobOrderInput input;
    input.position = static_cast<uint32_t>(jobs.size());
    input.priority = state_.SettingsOf(job->spec).priority;
    input.long_running = job->spec.long_running();
    input.objective = job->objective;
    input.arrived = job->arrived;
    if (job->remaining_as_of_change != job->changes) {
      job->remaining_as_of_change = job->changes;
      job->remaining_chain = RemainingChain(*job);
      job->remaining_work = RemainingWork(*job);
    }
    input.remaining_chain = job->remaining_chain;
    input.begun = job->start_sent;
    input.remaining_work = job->remaining_work;
    jobs.push_back(job);
    inputs.push_back(input);
  }
  std::vector<OrderedJob> ordered;
  ordered.reserve(jobs.size());
  for (uint32_t position : OrderJobs(now, inputs)) {
    bool can_meet_objective =
        inputs[position].long_running || inputs[position].CanMeetObjective(now);
    ordered.push_back({jobs[position], can_meet_objective});
  }
  return ordered;
}

uint32_t TaskDispatch::PlanReadyTasks(Time now,
                                      Outbox& outbox,
                                      uint32_t start_limit) {
  starts_left_ = start_limit;
  planned_runs_ = 0;
  held_back_tasks_ = 0;
  std::vector<PlacementServer> servers = CollectServers(now);
  vacating_servers_.reset();
  UpdateLargestFreeCpu(servers);
  reservations_ = 0;
  demand_cpu_millis_ = 0;
  backlog_cpu_millis_ = 0;
  waiting_cpu_work_ = 0;
  advice_backlog_ = Duration::zero();
  for (const OrderedJob& ordered : JobsInStartOrder(now))
    PlanJob(now, *ordered.job, ordered.can_meet_objective, servers, outbox);
  int64_t capacity = 0;
  for (const PlacementServer& server : servers)
    capacity += server.capacity.cpu_millis;
  expected_wait_ = Duration(capacity > 0 ? waiting_cpu_work_ / capacity : 0);
  return planned_runs_;
}

void TaskDispatch::PlanJob(Time now,
                           Job& job,
                           bool can_meet_objective,
                           std::vector<PlacementServer>& servers,
                           Outbox& outbox) {
  if (job.settled_as_of_change == job.changes) {
    demand_cpu_millis_ += job.settled_cpu_millis;
    return;
  }
  int64_t demand_before = demand_cpu_millis_;
  bool has_idle_tasks = false;
  bool advised = state_.SettingsOf(job.spec).needs_advice;
  for (auto& [number, occurrence] : job.occurrences) {
    if (occurrence.finished)
      continue;
    std::vector<bool> gang_tried(job.spec.steps.size(), false);
    // Steps of which a task fit on no server: the other tasks of the step do
    // not fit either.
    std::vector<bool> blocked(job.spec.steps.size(), false);
    for (Task& task : occurrence.tasks) {
      const StepSpec& step = job.StepOf(task);
      if (task.done)
        continue;
      if (!JobTable::IsReady(job, occurrence, task))
        continue;
      if (!step.best_effort && (can_meet_objective || !task.runs.empty()))
        demand_cpu_millis_ += step.request.cpu_millis;
      else if (!step.best_effort)
        backlog_cpu_millis_ += BacklogCpuMillis(job, step);
      if (!task.idle())
        continue;
      has_idle_tasks = true;
      if (now < task.unknown_run_until ||
          WaitsForDoubtfulServer(now, task, step, servers))
        continue;
      bool planned = false;
      if (blocked[task.step] || starts_left_ == 0) {
        planned = false;
      } else if (advised) {
        if (!gang_tried[task.step])
          planned =
              PlanAdvisedTask(now, job, occurrence, task, servers, outbox);
        gang_tried[task.step] = step.gang;
      } else if (step.gang) {
        if (!gang_tried[task.step])
          planned = PlanGang(now, job, occurrence, task.step, servers);
        gang_tried[task.step] = true;
      } else {
        planned = PlanTask(now, job, occurrence, task, servers) ||
                  PlanOnVacatingServer(now, job, occurrence, task);
      }
      if (planned)
        continue;
      held_back_tasks_ += starts_left_ == 0 ? 1 : 0;
      bool first = !blocked[task.step];
      // A task that has failed may run on fewer servers than the other tasks of
      // its step, so it does not block them.
      blocked[task.step] = task.failures == 0;
      if (!can_meet_objective)
        continue;
      waiting_cpu_work_ +=
          step.request.cpu_millis * state_.ExpectedRunTime(job, step).count();
      if (first && advised &&
          state_.advice.IsWaiting({job.id, number, task.step}))
        advice_backlog_ +=
            state_.advice.RequestTime(state_.SettingsOf(job.spec).adviser_pace);
      if (first && starts_left_ > 0)
        ReserveServer(now, job, occurrence, task, servers);
    }
  }
  // The occurrences of a recurring job appear without a change of the job.
  if (!has_idle_tasks && !job.spec.scheduled()) {
    job.settled_as_of_change = job.changes;
    job.settled_cpu_millis = demand_cpu_millis_ - demand_before;
  }
}

int64_t TaskDispatch::BacklogCpuMillis(const Job& job,
                                       const StepSpec& step) const {
  double share = std::min(1.0, ToSeconds(state_.ExpectedRunTime(job, step)) /
                                   ToSeconds(kBacklogDrainTime));
  return static_cast<int64_t>(static_cast<double>(step.request.cpu_millis) *
                              share);
}

PlacementTask TaskDispatch::DescribeTask(Time now,
                                         const Job& job,
                                         const Task& task) const {
  PlacementTask described;
  described.step = &job.StepOf(task);
  uint32_t limit = state_.SettingsOf(job.spec).max_attempts;
  described.last_attempt =
      !described.step->long_running && limit > 1 && task.failures + 1 >= limit;
  described.trust_wait_over = now - task.ready_since >= kMaxTrustWait;
  described.remote_data_slowdown = state_.bounds.remote_data_slowdown;
  return described;
}

void TaskDispatch::SetStepFields(const Occurrence& occurrence,
                                 const Task& task,
                                 std::vector<PlacementServer>& servers) const {
  for (PlacementServer& server : servers) {
    const ServerId& id = server_ids_[server.position];
    server.same_step_runs = 0;
    server.task_failed_here =
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
      server.same_step_runs = count->second;
  }
}

ServerIncarnation TaskDispatch::IncarnationOf(
    const PlacementServer& server) const {
  const ServerId& id = server_ids_[server.position];
  const ServerState* state = state_.servers.Find(id);
  return {id, state == nullptr
                  ? 0
                  : state->doubt.incarnation_started_at.value_or(0)};
}

std::vector<PlacementServer> TaskDispatch::AdmittedServers(
    Time now,
    const StepKey& key,
    std::span<const PlacementServer> servers) const {
  std::vector<PlacementServer> admitted;
  for (const PlacementServer& server : servers) {
    if (state_.advice.HasTicket(now, key, IncarnationOf(server)))
      admitted.push_back(server);
  }
  return admitted;
}

RackId TaskDispatch::RackOfStep(const Occurrence& occurrence,
                                uint32_t step) const {
  std::map<RackId, uint32_t> racks;
  for (const Task& task : occurrence.tasks) {
    if (task.step != step)
      continue;
    for (const Run& run : task.runs) {
      if (const ServerState* server = state_.servers.Find(run.server))
        ++racks[server->listing.rack];
    }
  }
  return RackWithMost(racks);
}

bool TaskDispatch::IsGangIdle(const Occurrence& occurrence, uint32_t step) {
  return std::all_of(
      occurrence.tasks.begin(), occurrence.tasks.end(),
      [step](const Task& task) { return task.step != step || task.idle(); });
}

bool TaskDispatch::PlanAdvisedTask(Time now,
                                   Job& job,
                                   Occurrence& occurrence,
                                   Task& task,
                                   std::vector<PlacementServer>& servers,
                                   Outbox& outbox) {
  const StepSpec& step = job.StepOf(task);
  StepKey key{job.id, occurrence.number, task.step};
  bool has_tickets = state_.advice.HasTickets(now, key);
  bool may_request = state_.advice.MayRequest(key);
  if ((!has_tickets && !may_request) ||
      (step.gang && !IsGangIdle(occurrence, task.step)))
    return false;
  std::vector<PlacementServer> unknown;
  for (const PlacementServer& server : servers) {
    if (state_.advice.IsUnknown(now, key, IncarnationOf(server)))
      unknown.push_back(server);
  }
  std::vector<PlacementServer> admitted = AdmittedServers(now, key, servers);
  PlacementTask described = DescribeTask(now, job, task);
  if (step.colocated) {
    described.preferred_rack = RackOfStep(occurrence, task.step);
    if (described.preferred_rack.empty())
      described.preferred_rack =
          LargestRack(admitted.empty() ? unknown : admitted);
  }
  SetStepFields(occurrence, task, unknown);
  SetStepFields(occurrence, task, admitted);
  std::vector<RankedServer> ranked = RankServers(described, unknown);
  std::vector<RankedServer> ranked_admitted = RankServers(described, admitted);
  bool better_unknown = !ranked.empty() && !ranked_admitted.empty() &&
                        ranked.front().drawbacks + kMinAdviceGain <=
                            ranked_admitted.front().drawbacks;
  // A task that has failed waits longer: it has few attempts left.
  Duration max_wait =
      task.failures > 0 ? kMaxRetryAdviceWait : kMaxBetterServerWait;
  bool waits = better_unknown && now - task.ready_since < max_wait;
  ClearStepFields(admitted);
  bool planned =
      !waits && (step.gang ? PlanGang(now, job, occurrence, task.step, admitted)
                           : PlanTask(now, job, occurrence, task, admitted));
  if (planned)
    CopyFreeResources(admitted, servers);
  if (may_request && (!planned || better_unknown))
    RequestAdvice(now, job, key, ranked, unknown, outbox);
  return planned;
}

void TaskDispatch::RequestAdvice(Time now,
                                 const Job& job,
                                 const StepKey& key,
                                 std::span<const RankedServer> ranked,
                                 std::span<const PlacementServer> unknown,
                                 Outbox& outbox) {
  std::vector<ServerIncarnation> candidates;
  candidates.reserve(ranked.size());
  for (const RankedServer& server : ranked)
    candidates.push_back(IncarnationOf(unknown[server.index]));
  Time start_by =
      job.spec.long_running() ? kTimeZero : job.objective - job.remaining_chain;
  // A job that is late in any case comes last.
  if (start_by < now && !job.spec.long_running())
    start_by = kTimeMax;
  state_.advice.Request(now, key, candidates, start_by,
                        state_.SettingsOf(job.spec).adviser_pace, outbox);
}

void TaskDispatch::CopyFreeResources(std::span<const PlacementServer> from,
                                     std::vector<PlacementServer>& to) {
  for (const PlacementServer& used : from) {
    for (PlacementServer& server : to) {
      if (server.position == used.position)
        server.free_resources = used.free_resources;
    }
  }
  UpdateLargestFreeCpu(to);
}

void TaskDispatch::ClearStepFields(std::vector<PlacementServer>& servers) {
  for (PlacementServer& server : servers) {
    server.same_step_runs = 0;
    server.task_failed_here = false;
  }
}

void TaskDispatch::UpdateLargestFreeCpu(
    std::span<const PlacementServer> servers) {
  largest_free_cpu_millis_ = 0;
  for (const PlacementServer& server : servers) {
    if (!server.reserved)
      largest_free_cpu_millis_ =
          std::max(largest_free_cpu_millis_, server.free_resources.cpu_millis);
  }
}

bool TaskDispatch::MayRunTwice(Time now, Task& task, const StepSpec& step) {
  return !task.unanswered_starts.empty() && !step.gang && !step.speculative &&
         state_.RestartsAreFrequent(now) && task.LateStartsUntil(now) > now;
}

std::optional<size_t> TaskDispatch::ChooseDoubtfulServer(
    Time now,
    Task& task,
    const PlacementTask& described,
    std::span<const PlacementServer> servers) {
  if (!MayRunTwice(now, task, *described.step))
    return std::nullopt;
  std::vector<PlacementServer> doubtful;
  std::vector<size_t> positions;
  for (size_t i = 0; i < servers.size(); ++i) {
    if (!task.MayStartLateAt(server_ids_[servers[i].position]))
      continue;
    doubtful.push_back(servers[i]);
    positions.push_back(i);
  }
  std::optional<size_t> chosen = ChooseServer(described, doubtful);
  if (!chosen)
    return std::nullopt;
  return positions[*chosen];
}

bool TaskDispatch::WaitsForDoubtfulServer(
    Time now,
    Task& task,
    const StepSpec& step,
    std::span<const PlacementServer> servers) {
  if (!MayRunTwice(now, task, step))
    return false;
  bool waited = now - task.ready_since >= kMaxDoubtfulServerWait;
  if (waited && step.long_running)
    return false;
  // A server that leaves does not restart under its id.
  bool may_restart = std::any_of(
      task.unanswered_starts.begin(), task.unanswered_starts.end(),
      [&](const UnansweredStart& start) {
        const ServerState* server = state_.servers.Find(start.server);
        return server != nullptr && task.MayStartLateAt(start.server) &&
               !server->vacating && !server->listing.draining;
      });
  if (!may_restart)
    return false;
  return std::none_of(
      servers.begin(), servers.end(), [&](const PlacementServer& server) {
        return task.MayStartLateAt(server_ids_[server.position]) &&
               step.counted_request().Fits(server.free_resources);
      });
}

bool TaskDispatch::PlanTask(Time now,
                            Job& job,
                            Occurrence& occurrence,
                            Task& task,
                            std::vector<PlacementServer>& servers) {
  PlacementTask described = DescribeTask(now, job, task);
  if (described.step->counted_request().cpu_millis > largest_free_cpu_millis_)
    return false;
  bool counted = described.step->max_per_server > 0 ||
                 described.step->colocated || !task.failed_on.empty();
  if (counted)
    SetStepFields(occurrence, task, servers);
  if (described.step->colocated) {
    std::map<RackId, uint32_t> racks;
    for (const PlacementServer& server : servers)
      racks[server.rack] += server.same_step_runs;
    uint32_t most = 0;
    for (const auto& [rack, count] : racks) {
      if (count > most) {
        most = count;
        described.preferred_rack = rack;
      }
    }
  }
  std::optional<size_t> chosen =
      ChooseDoubtfulServer(now, task, described, servers);
  if (!chosen)
    chosen = ChooseServer(described, servers);
  if (chosen) {
    AddRun(now, job, occurrence, task, task.last_run + 1, servers[*chosen]);
    UpdateLargestFreeCpu(servers);
  }
  if (counted)
    ClearStepFields(servers);
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
      return false;  // The runs of the gang's last start have not all ended.
    members.push_back(&task);
    number = std::max(number, task.last_run);
  }
  // The servers are chosen on a copy, since all members have to fit.
  std::vector<PlacementServer> trial = servers;
  SetStepFields(occurrence, *members.front(), trial);
  std::vector<size_t> choices;
  PlacementTask described = DescribeTask(now, job, *members.front());
  for (Task* member : members) {
    (void)member;
    std::optional<size_t> chosen = ChooseServer(described, trial);
    if (!chosen)
      return false;
    PlacementServer& server = trial[*chosen];
    server.free_resources -= described.step->counted_request();
    ++server.same_step_runs;
    if (described.step->colocated && described.preferred_rack.empty())
      described.preferred_rack = server.rack;
    choices.push_back(*chosen);
  }
  // All members start from the same checkpoint, the latest of any member.
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
  state_.servers.AddRun(run.server, ref, job.StepOf(task));
  task.runs.push_back(std::move(run));
  starts_left_ -= std::min(starts_left_, 1u);
  ++planned_runs_;
  server.free_resources -= request;
  state_.planned[job.id].push_back(ref);
  state_.jobs.MarkChanged(job);
}

void TaskDispatch::ReserveServer(Time now,
                                 const Job& job,
                                 const Occurrence& occurrence,
                                 const Task& task,
                                 std::vector<PlacementServer>& servers) {
  if (reservations_ >= kMaxReservations)
    return;
  PlacementTask described = DescribeTask(now, job, task);
  std::optional<size_t> chosen;
  if (state_.SettingsOf(job.spec).needs_advice) {
    std::vector<PlacementServer> admitted =
        AdmittedServers(now, {job.id, occurrence.number, task.step}, servers);
    if (std::optional<size_t> best = ChooseReservation(described, admitted)) {
      for (size_t i = 0; i < servers.size(); ++i) {
        if (servers[i].position == admitted[*best].position)
          chosen = i;
      }
    }
  } else {
    chosen = ChooseReservation(described, servers);
  }
  if (!chosen)
    return;
  servers[*chosen].reserved = true;
  ++reservations_;
  UpdateLargestFreeCpu(servers);
}

void TaskDispatch::ReviewRunningTasks(Time now, Outbox& outbox) {
  copy_servers_.reset();
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
  std::vector<std::pair<RunRef, std::optional<uint32_t>>> paced;
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
  if (paced.empty() || now - server.pace_changed_at < kMinPaceChangeInterval)
    return;
  uint32_t inherited_pace =
      server.latency_sensitive_runs > 0 ? kInheritedPacePercent : 100;
  for (const auto& [ref, pace] : paced) {
    uint32_t next = NextPace(pace.value_or(inherited_pace), worst);
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
  if (ratio < kSlowRunRatio)
    return;
  run.counted_slow = true;
  ratio = std::min(ratio, kMaxSlowRunRatio);
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
        run.progress_percent >= kMinSiblingPercent &&
        run.server != task.runs.front().server)
      projected.push_back((now - run.phase_since) * 100 / run.progress_percent);
  }
  if (projected.size() < kMinMeasuredSiblings)
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
  bool listed_recently = server->doubt.last_listed_at &&
                         now - *server->doubt.last_listed_at < kStallTimeout;
  // Only lists tell of progress: other orders may be answered for a while when
  // polls are not.
  Duration without_progress =
      listed_recently ? *server->doubt.last_listed_at - run.progress_changed_at
                      : Duration::zero();
  if (step.long_running) {
    // The budget also applies to a task that was still starting up at the last
    // poll, since it may be available by now.
    bool must_leave = server->listing.draining ||
                      (server->vacating &&
                       MayBecomeMissing(state_, now, job, occurrence, task));
    if (must_leave) {
      runs_.RequestStop(now, id, run.number, "server-leaves", outbox);
    } else if (!task.is_available() && without_progress > 2 * kStallTimeout) {
      // The task is not at work, so that its stop needs no budget.
      server->quarantined_until = now + kStallQuarantine;
      runs_.RequestStop(now, id, run.number, "no-progress", outbox);
    }
    return;
  }
  // Remaining run time, projected from the progress of this run so far.
  double progress = std::max(1u, run.progress_percent) / 100.0;
  Duration remaining(static_cast<int64_t>(static_cast<double>(age.count()) *
                                          (1 - progress) / progress));
  if (server->vacating || server->listing.draining) {
    bool may_move =
        server->listing.draining || task.relocations < kMaxRelocations;
    bool worth_moving =
        step.checkpointing && remaining > kMaxCheckpointedRemainder && may_move;
    bool overdue =
        server->vacating && now - server->vacate_started_at > kVacateTimeout;
    if (!worth_moving && !overdue)
      return;
    ++task.relocations;
    runs_.RequestStop(now, id, run.number, "server-leaves", outbox);
    return;
  }
  if (step.gang || !listed_recently || task.runs.size() > 1)
    return;
  if (run.progress_percent < 100 && without_progress > kStallTimeout &&
      age > kStallTimeout) {
    server->quarantined_until = now + kStallQuarantine;
    ++state_.counters.relocations;
    runs_.RequestStop(now, id, run.number, "no-progress", outbox);
    return;
  }
  // The progress of the step's other tasks is a better estimate of the run time
  // than the one of the caller.
  Duration typical = expected;
  if (age > expected) {
    typical = std::max(expected, SiblingRunTime(now, occurrence, task));
    CountSlowRun(age + remaining, typical, run, *server);
  }
  Duration elsewhere = step.checkpointing ? remaining : typical;
  bool slow = server->slowness > kMinRelocationSlowness && age > typical &&
              remaining > Duration::zero() &&
              task.relocations < kMaxRelocations;
  if (slow &&
      static_cast<double>(remaining.count()) >
          kMinRelocationGain *
              static_cast<double>((elsewhere / 2 + kRestartCost).count())) {
    ++state_.counters.relocations;
    ++task.relocations;
    runs_.RequestStop(now, id, run.number, "slow-server", outbox);
    return;
  }
  bool is_straggler =
      step.speculative && age > kMinStragglerAge &&
      static_cast<double>(age.count()) >
          kStragglerRatio * static_cast<double>(typical.count()) &&
      remaining > typical;
  if (!is_straggler)
    return;
  if (!PlanCopy(now, job, occurrence, task, run.server))
    return;
  ++state_.counters.speculative_starts;
  outbox.LogDecision("copy-started",
                     {{"task", FormatTask(id)},
                      {"age_ms", WholeMilliseconds(age)},
                      {"expected_ms", WholeMilliseconds(expected)}});
}

bool TaskDispatch::PlanCopy(Time now,
                            Job& job,
                            Occurrence& occurrence,
                            Task& task,
                            const ServerId& original) {
  auto is_busy = [](const PlacementServer& server) {
    return server.free_resources.cpu_millis * kMinFreeShareForCopies <
           server.capacity.cpu_millis;
  };
  if (!copy_servers_) {
    copy_servers_ = CollectServers(now);
    std::erase_if(*copy_servers_, is_busy);
  }
  auto own = std::find_if(copy_servers_->begin(), copy_servers_->end(),
                          [&](const PlacementServer& server) {
                            return server_ids_[server.position] == original;
                          });
  if (own != copy_servers_->end())
    own->reserved = true;
  starts_left_ = 1;
  bool planned = false;
  if (state_.SettingsOf(job.spec).needs_advice) {
    std::vector<PlacementServer> admitted = AdmittedServers(
        now, {job.id, occurrence.number, task.step}, *copy_servers_);
    UpdateLargestFreeCpu(admitted);
    planned = PlanTask(now, job, occurrence, task, admitted);
    CopyFreeResources(admitted, *copy_servers_);
  } else {
    UpdateLargestFreeCpu(*copy_servers_);
    planned = PlanTask(now, job, occurrence, task, *copy_servers_);
  }
  if (own != copy_servers_->end())
    own->reserved = false;
  if (planned)
    std::erase_if(*copy_servers_, is_busy);
  return planned;
}

}  // namespace radishmoor
