#include "radishmoor/jobs/pool_scheduler.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace radishmoor {
namespace {

constexpr uint32_t kLoadPageRows = 400;
constexpr Duration kLoadRetryDelay = Milliseconds(150);
// Stored jobs arrive at once by a notice of the process that stored them. The
// inbox is polled for those whose notice was lost.
constexpr Duration kInboxPeriod = Milliseconds(1000);
constexpr uint32_t kInboxPageRows = 200;
constexpr Duration kReviewPeriod = Milliseconds(150);
// A server that answers stays in use for this long after it has disappeared
// from the server list. Listings that expired while the store was unavailable
// return within this time.
constexpr Duration kUnlistedGracePeriod = Seconds(2);
// An unlisted server counts as answering if its last answer is younger than
// this.
constexpr Duration kMaxUnlistedAnswerAge = Milliseconds(1500);
constexpr Duration kForgetServerDelay = Seconds(30);
// A new owner has polled all servers within this time.
constexpr Duration kFirstPollGrace = Milliseconds(400);
// The owner answers queries only while its last lease renewal is younger than
// this. A successor does not acquire the lease before its row was unchanged for
// this long.
constexpr Duration kMaxRenewalAgeForAnswers = Milliseconds(1000);
// A request to empty a server expires after this time unless it is repeated.
constexpr Duration kVacateRequestLifetime = Seconds(3);
// The same for requests to the owner before. The coordinator repeats them to
// the new owner as soon as it has heard from it.
constexpr Duration kInheritedRequestLifetime = Milliseconds(400);
// Range of the times after which a refused submission should be repeated.
constexpr Duration kMinRetryAfter = Seconds(1);
constexpr Duration kMaxRetryAfter = Seconds(30);
constexpr Duration kPoolLoadLogPeriod = Seconds(1);
constexpr Duration kPurgePeriod = Seconds(10);
constexpr size_t kPurgeBatchJobs = 20;
constexpr size_t kMaxSpareServersInHeartbeat = 256;
// A pool is short of servers when it needs more than this share of their cores.
constexpr double kShortageDemandShare = 0.8;
// A server whose polls fail counts as silent when its last answer is older
// than this.
constexpr Duration kSilentServerDelay = Milliseconds(800);
// Ages computed from submission times are capped at this value, since another
// process wrote the time by its own clock.
constexpr Duration kMaxSubmissionAge = Seconds(60);

JobAnswerState AnswerOf(JobState state) {
  return static_cast<JobAnswerState>(state);
}

}  // namespace

PoolScheduler::PoolScheduler(const PoolSchedulerOptions& options,
                             const JobConfig& config,
                             Outbox& outbox)
    : options_(options),
      state_(options.pool, options.bounds),
      runs_(state_),
      dispatch_(state_, runs_),
      chain_(state_, {options.node, options.address, options.lease_version}),
      admission_(state_, chain_) {
  state_.token = options.token;
  state_.earlier_orders_until = options.earlier_orders_until;
  if (options.earlier_orders_until > kTimeZero) {
    // A server may have restarted under its id before the last of these orders
    // came, and the owners that sent them may not have noticed.
    state_.earlier_leases_until =
        std::max(options.known_leases_until,
                 ArrivedGrantsUntil(options.earlier_orders_until,
                                    options.bounds.max_lease));
    // An owner before the previous one may have sent orders for longer.
    state_.earlier_orders_until =
        std::max(options.earlier_orders_until,
                 state_.earlier_leases_until -
                     (ArrivedGrantsUntil(kTimeZero, options.bounds.max_lease) -
                      kTimeZero));
  }
  state_.servers.set_earlier_leases_until(state_.earlier_leases_until);
  chain_.set_renewed(options.lease_taken_at);
  OnConfig(config);
  SendLoadScan(outbox);
}

void PoolScheduler::OnConfig(const JobConfig& config) {
  for (const QueueConfig& queue : config.queues)
    state_.queues[queue.id] = queue;
  const PoolConfig* pool = config.FindPool(state_.pool);
  state_.standby = pool != nullptr && pool->standby;
  admission_.OnConfig(config);
  plan_needed_ = true;
}

void PoolScheduler::SendLoadScan(Outbox& outbox) {
  ScanRows scan;
  scan.limit = kLoadPageRows;
  scan.after = loading_.last_key;
  switch (loading_.stage) {
    case LoadStage::kAdmissions:
      scan.prefix = QueueAdmissionPrefix(state_.pool);
      break;
    case LoadStage::kProgress:
      scan.prefix = ProgressKey(state_.pool, JobId());
      break;
    case LoadStage::kJobs:
      scan.prefix = JobKey(state_.pool, JobId());
      break;
    case LoadStage::kInbox:
    case LoadStage::kDone:
      scan.prefix = InboxPrefix(state_.pool);
      break;
  }
  loading_.scan_tag = outbox.CallStore(std::move(scan));
}

void PoolScheduler::OnLoadScanAnswer(Time now,
                                     WallMillis wall,
                                     const StoreReply& reply,
                                     Outbox& outbox) {
  loading_.scan_tag = 0;
  const auto* rows = std::get_if<RowsReply>(&reply);
  if (rows == nullptr) {
    loading_.failed = true;
    loading_.retry_at = now + kLoadRetryDelay;
    Wake(loading_.retry_at);
    return;
  }
  for (const Row& row : rows->rows)
    LoadRow(now, wall, row, outbox);
  if (!rows->rows.empty())
    loading_.last_key = rows->rows.back().key;
  if (!rows->rows.empty() && rows->more) {
    SendLoadScan(outbox);
    return;
  }
  loading_.last_key.clear();
  loading_.stage = static_cast<LoadStage>(static_cast<int>(loading_.stage) + 1);
  if (loading_.stage == LoadStage::kDone)
    FinishLoading(now, outbox);
  else
    SendLoadScan(outbox);
}

void PoolScheduler::LoadRow(Time now,
                            WallMillis wall,
                            const Row& row,
                            Outbox& outbox) {
  switch (loading_.stage) {
    case LoadStage::kAdmissions:
      if (std::optional<QueueAdmissionRow> admission =
              DecodeQueueAdmission(row.value)) {
        admission_.LoadRow(*admission);
      } else {
        ++state_.counters.unreadable_rows;
        outbox.LogDecision("row-unreadable", {{"key", row.key}});
      }
      break;
    case LoadStage::kProgress:
      LoadProgressRow(row, outbox);
      break;
    case LoadStage::kJobs:
      LoadJob(now, wall, row, outbox);
      break;
    case LoadStage::kInbox:
      OnInboxRow(now, row, outbox);
      break;
    case LoadStage::kDone:
      break;
  }
}

void PoolScheduler::LoadProgressRow(const Row& row, Outbox& outbox) {
  std::optional<ProgressRowName> name =
      ParseProgressRowName(LastKeyPart(row.key));
  std::optional<StoredProgress> progress = DecodeProgress(row.value);
  if (!name || !progress) {
    ++state_.counters.unreadable_rows;
    outbox.LogDecision("row-unreadable", {{"key", row.key}});
    return;
  }
  LoadedProgress& loaded = loading_.progress[name->job];
  loaded.last_row = std::max(loaded.last_row, name->number);
  if (name->number == 0)
    loaded.first = std::move(*progress);
  else
    loaded.further[name->number] = std::move(progress->occurrences);
}

StoredProgress PoolScheduler::TakeProgress(LoadedProgress& loaded) {
  StoredProgress progress = std::move(*loaded.first);
  for (auto& [number, occurrences] : loaded.further) {
    if (number <= progress.further_rows)
      std::move(occurrences.begin(), occurrences.end(),
                std::back_inserter(progress.occurrences));
  }
  return progress;
}

void PoolScheduler::LoadJob(Time now,
                            WallMillis wall,
                            const Row& row,
                            Outbox& outbox) {
  JobId id{LastKeyPart(row.key)};
  auto stored = loading_.progress.find(id);
  bool has_progress =
      stored != loading_.progress.end() && stored->second.first.has_value();
  uint32_t further_rows =
      stored == loading_.progress.end() ? 0 : stored->second.last_row;
  if (row.value == kEndedJobTombstone) {
    JobState state =
        has_progress ? stored->second.first->state : JobState::kCompleted;
    state_.jobs.AddEnded(id, state, now).further_progress_rows = further_rows;
    return;
  }
  std::optional<JobSpec> spec = DecodeJob(row.value);
  if (!spec) {
    ++state_.counters.unreadable_rows;
    outbox.LogDecision("row-unreadable", {{"key", row.key}});
    return;
  }
  Duration age = std::clamp(Milliseconds(wall - spec->submitted_at),
                            Duration::zero(), kMaxSubmissionAge);
  AcceptJob(now, id, *spec, age, outbox);
  Job& job = *state_.jobs.Find(id);
  job.further_progress_rows = further_rows;
  if (!has_progress)
    return;
  state_.jobs.Restore(job, TakeProgress(stored->second), now);
  state_.jobs.ClearDirty(job);
  runs_.OnJobLoaded(now, job);
  for (auto& [number, occurrence] : job.occurrences) {
    for (Task& task : occurrence.tasks) {
      for (const Run& run : task.runs) {
        state_.servers.AddRun(run.server,
                              {job.IdOf(occurrence, task), run.number},
                              job.StepOf(task));
      }
    }
  }
}

void PoolScheduler::FinishLoading(Time now, Outbox& outbox) {
  ContinueVacating(now);
  size_t inherited = 0;
  size_t inherited_stops = 0;
  for (const auto& [id, server] : state_.servers.all()) {
    inherited += server.runs.size();
    for (const RunRef& run : server.runs)
      inherited_stops += state_.jobs.FindRun(run)->stop_wanted ? 1 : 0;
  }
  outbox.LogDecision(
      "pool-loaded",
      {{"pool", state_.pool.str()},
       {"token", static_cast<int64_t>(state_.token)},
       {"jobs", static_cast<int64_t>(state_.jobs.size())},
       {"open", static_cast<int64_t>(state_.jobs.open().size())},
       {"inherited_runs", static_cast<int64_t>(inherited)},
       {"inherited_stops", static_cast<int64_t>(inherited_stops)},
       {"emptying", static_cast<int64_t>(options_.vacating_servers.size())},
       {"earlier_leases_ms",
        WholeMilliseconds(
            std::max(Duration::zero(), state_.earlier_leases_until - now))},
       {"took_ms", WholeMilliseconds(now - options_.lease_taken_at)}});
  loading_.progress.clear();
  runs_.Wake(now);
  next_inbox_poll_at_ = now + kInboxPeriod;
  plan_needed_ = true;
}

void PoolScheduler::ContinueVacating(Time now) {
  for (const ServerId& id : options_.vacating_servers) {
    ServerState& server = state_.servers.FindOrAdd(id);
    server.vacating = true;
    server.vacate_started_at = now;
    server.vacate_until = now + kInheritedRequestLifetime;
  }
}

Time PoolScheduler::ObjectiveOf(const JobSpec& spec, Time arrived) const {
  const QueueSettings& settings = state_.SettingsOf(spec);
  Duration chain = LongestChain(
      spec.steps, [&spec](size_t i) { return spec.steps[i].estimate; });
  return arrived + settings.latency_objective +
         Duration(static_cast<int64_t>(settings.slack_factor *
                                       static_cast<double>(chain.count())));
}

Duration PoolScheduler::AdviceDelay(Time now,
                                    const JobSpec& spec,
                                    Duration age) const {
  const QueueSettings& settings = state_.SettingsOf(spec);
  if (!settings.needs_advice || spec.scheduled() || spec.long_running())
    return Duration::zero();
  Duration request_time = state_.advice.RequestTime(settings.adviser_pace);
  // The job's own request is part of its objective.
  Duration wait =
      dispatch_.advice_backlog() + request_time * unplanned_advised_jobs_;
  Duration chain = LongestChain(
      spec.steps, [&spec](size_t i) { return spec.steps[i].estimate; });
  Duration slack = ObjectiveOf(spec, now - age) - now - chain;
  return slack < Duration::zero() || wait <= slack ? Duration::zero()
                                                   : wait - slack;
}

void PoolScheduler::AcceptJob(Time now,
                              const JobId& id,
                              const JobSpec& spec,
                              Duration age,
                              Outbox& outbox) {
  if (state_.jobs.Find(id) != nullptr)
    return;
  Time arrived = now - age;
  Job& job = state_.jobs.Add(id, spec, arrived, ObjectiveOf(spec, arrived));
  if (spec.scheduled())
    scheduled_jobs_.insert(id);
  if (state_.SettingsOf(spec).needs_advice)
    ++unplanned_advised_jobs_;
  plan_needed_ = true;
  // Jobs that are loaded from an earlier owner are no new arrivals.
  if (loaded() && !spec.scheduled() && !spec.long_running())
    offered_load_.Add(now, dispatch_.TotalWork(job));
  outbox.LogDecision(
      "job-taken-up",
      {{"job", id.str()},
       {"queue", spec.queue.str()},
       {"tasks", static_cast<int64_t>(spec.tasks_per_occurrence())},
       {"age_ms", WholeMilliseconds(age)},
       {"objective_ms", WholeMilliseconds(job.objective - now)}});
}

void PoolScheduler::OnJobNotice(Time now,
                                const MemberId& from,
                                const std::string& address,
                                const JobNotice& notice,
                                Outbox& outbox) {
  bool store = notice.request != 0;
  if (!loaded() || CheckJob(notice.spec)) {
    if (store)
      outbox.SendToPeer(from, address, JobAnswer{notice.request});
    return;
  }
  if (store && state_.jobs.Find(notice.job) == nullptr) {
    ConfigVersion open_since = admission_.OpenSince(notice.spec.queue);
    if (open_since == 0 || open_since != notice.admitted_since) {
      outbox.SendToPeer(
          from, address,
          JobAnswer{notice.request, JobAnswerState::kNotAdmitted});
      return;
    }
  }
  if (state_.jobs.Find(notice.job) == nullptr) {
    Duration delay =
        store ? AdviceDelay(now, notice.spec, notice.age) : Duration::zero();
    if (delay > Duration::zero()) {
      outbox.LogDecision("job-refused",
                         {{"job", notice.job.str()},
                          {"reason", std::string("adviser-backlog")},
                          {"late_ms", WholeMilliseconds(delay)}});
      outbox.SendToPeer(
          from, address,
          JobAnswer{notice.request, JobAnswerState::kRefused,
                    std::clamp(delay, kMinRetryAfter, kMaxRetryAfter)});
      return;
    }
    AcceptJob(now, notice.job, notice.spec, notice.age, outbox);
    Job& job = *state_.jobs.Find(notice.job);
    if (store) {
      job.definition_stored = false;
      state_.jobs.MarkChanged(job);
    } else {
      RemoveRow(InboxKey(state_.pool, kInboxSubmitted, notice.job));
    }
  }
  if (!store)
    return;
  submit_waiters_[notice.job].push_back({from, address, notice.request});
  AnswerWaiters(outbox);
}

void PoolScheduler::EndUnstorableJobs(Time now, Outbox& outbox) {
  for (const JobId& id : chain_.TakeUnstorableJobs()) {
    Job* job = state_.jobs.Find(id);
    if (job == nullptr)
      continue;
    outbox.LogDecision(
        "job-unstorable",
        {{"job", id.str()},
         {"queue", job->spec.queue.str()},
         {"tasks", static_cast<int64_t>(job->spec.tasks_per_occurrence())}});
    // Without its tasks, the job's progress may be storable.
    job->unstorable = !job->definition_stored;
    state_.jobs.MarkEnded(*job, JobState::kFailed, now);
    runs_.StopJob(now, *job, "job-unstorable", outbox);
    // The callers' processes find out that the job is not stored.
    for (const Waiter& waiter : submit_waiters_[id])
      outbox.SendToPeer(waiter.node, waiter.address, JobAnswer{waiter.request});
    submit_waiters_.erase(id);
  }
}

bool PoolScheduler::Cancel(Time now, const JobId& id, Outbox& outbox) {
  Job* job = state_.jobs.Find(id);
  if (job == nullptr)
    return false;
  if (IsFinal(job->state))
    return true;
  state_.jobs.MarkEnded(*job, JobState::kCancelled, now);
  outbox.LogDecision("job-cancelled", {{"job", id.str()}});
  runs_.StopJob(now, *job, "job-cancelled", outbox);
  return true;
}

void PoolScheduler::OnJobQuery(Time now,
                               const MemberId& from,
                               const std::string& address,
                               const JobQuery& query,
                               Outbox& outbox) {
  JobAnswer answer{query.request, JobAnswerState::kUnknown};
  // Without a recent lease renewal, another process may own the pool by now and
  // have changed the job's state.
  bool current = loaded() && renewed_age(now) < kMaxRenewalAgeForAnswers;
  const Job* job = current ? state_.jobs.Find(query.job) : nullptr;
  if (job != nullptr && query.cancel && !IsFinal(job->reported_state)) {
    Cancel(now, query.job, outbox);
    cancel_waiters_[query.job].push_back({from, address, query.request});
    return;
  }
  if (job != nullptr)
    answer.state = AnswerOf(job->reported_state);
  outbox.SendToPeer(from, address, answer);
}

void PoolScheduler::AnswerWaiters(Outbox& outbox) {
  auto answer = [&](std::map<JobId, std::vector<Waiter>>& waiters,
                    auto&& is_stored) {
    for (auto it = waiters.begin(); it != waiters.end();) {
      const Job* job = state_.jobs.Find(it->first);
      if (job != nullptr && !is_stored(*job)) {
        ++it;
        continue;
      }
      JobAnswerState state = job == nullptr ? JobAnswerState::kUnknown
                                            : AnswerOf(job->reported_state);
      for (const Waiter& waiter : it->second)
        outbox.SendToPeer(waiter.node, waiter.address,
                          JobAnswer{waiter.request, state});
      it = waiters.erase(it);
    }
  };
  answer(submit_waiters_, [](const Job& job) { return job.definition_stored; });
  answer(cancel_waiters_,
         [](const Job& job) { return IsFinal(job.reported_state); });
}

void PoolScheduler::PollInbox(Time now, Outbox& outbox) {
  if (inbox_scan_tag_ != 0)
    return;
  if (now < next_inbox_poll_at_) {
    Wake(next_inbox_poll_at_);
    return;
  }
  next_inbox_poll_at_ = now + kInboxPeriod;
  inbox_scan_tag_ =
      outbox.CallStore(ScanRows{InboxPrefix(state_.pool), "", kInboxPageRows});
}

void PoolScheduler::OnInboxRow(Time now, const Row& row, Outbox& outbox) {
  std::string_view name = LastKeyPart(row.key);
  if (name.size() < 3 || name[1] != ':') {
    ++state_.counters.unreadable_rows;
    RemoveRow(row.key);
    return;
  }
  JobId id{name.substr(2)};
  const Job* job = state_.jobs.Find(id);
  bool known = job != nullptr;
  if (name[0] == kInboxCancelled && known) {
    // The cancellation stays in the inbox until the end of the job is stored:
    // until then a successor needs it.
    if (IsFinal(job->reported_state))
      RemoveRow(row.key);
    else
      Cancel(now, id, outbox);
  } else if (known) {
    RemoveRow(row.key);
  } else if (jobs_being_read_.insert(id).second) {
    uint64_t tag = outbox.CallStore(ReadRows{{JobKey(state_.pool, id)}});
    definition_reads_[tag] = id;
  }
}

void PoolScheduler::UpdateScheduled(Time now, WallMillis wall) {
  for (auto it = scheduled_jobs_.begin(); it != scheduled_jobs_.end();) {
    Job* job = state_.jobs.Find(*it);
    if (job == nullptr || IsFinal(job->state)) {
      it = scheduled_jobs_.erase(it);
      continue;
    }
    size_t before = job->occurrences.size();
    std::optional<WallMillis> next =
        state_.jobs.CreateDueOccurrences(*job, now, wall);
    plan_needed_ = plan_needed_ || job->occurrences.size() != before;
    if (next)
      Wake(now + std::min(Milliseconds(std::max<WallMillis>(1, *next - wall)),
                          Seconds(1)));
    ++it;
  }
}

void PoolScheduler::OnServerList(Time now,
                                 std::span<const ServerListing> listings,
                                 Outbox& outbox) {
  std::set<ServerId> listed_ids;
  for (const ServerListing& listing : listings) {
    if (listing.pool != state_.pool &&
        state_.servers.Find(listing.id) == nullptr)
      continue;
    listed_ids.insert(listing.id);
    ServerState& server = state_.servers.FindOrAdd(listing.id);
    bool joined = !server.listed;
    bool starts_draining = listing.draining && !server.listing.draining;
    server.listing = listing;
    server.listed = true;
    if (joined) {
      server.next_poll_at = now;
      outbox.LogDecision("server-joined",
                         {{"server", listing.id.str()},
                          {"pool", listing.pool.str()},
                          {"cpu", listing.capacity.cpu_millis}});
    }
    if (starts_draining)
      outbox.LogDecision(
          "server-draining",
          {{"server", listing.id.str()},
           {"remaining_ms", WholeMilliseconds(listing.remaining)}});
    if (listing.incarnation_started_at != 0)
      runs_.OnIncarnationListed(now, listing.id, listing.incarnation_started_at,
                                outbox);
  }
  std::vector<ServerId> forgotten;
  for (auto& [id, server] : state_.servers.all()) {
    if (listed_ids.contains(id)) {
      server.unlisted_since = kTimeMax;
      continue;
    }
    if (server.unlisted_since == kTimeMax)
      server.unlisted_since = now;
    bool answers = server.last_answer_at &&
                   now - *server.last_answer_at < kMaxUnlistedAnswerAge;
    if (server.listed &&
        (!answers || now - server.unlisted_since > kUnlistedGracePeriod)) {
      server.listed = false;
      outbox.LogDecision("server-left", {{"server", id.str()}});
    }
    if (!server.listed && server.runs.empty() &&
        now - server.unlisted_since > kForgetServerDelay)
      forgotten.push_back(id);
  }
  for (const ServerId& id : forgotten)
    state_.servers.Erase(id);
  plan_needed_ = true;
  runs_.Wake(now);
}

bool PoolScheduler::needs_host_list(Time now) const {
  if (!loaded())
    return false;
  for (const auto& [id, server] : state_.servers.all()) {
    bool silent = server.failed_polls > 0 ||
                  (!server.last_answer_at &&
                   now - options_.lease_taken_at > kFirstPollGrace);
    if (silent && !server.runs.empty())
      return true;
  }
  return false;
}

void PoolScheduler::OnHosts(Time now,
                            Time sent,
                            std::span<const HostListing> hosts,
                            Outbox& outbox) {
  std::set<ServerId> existing;
  for (const HostListing& host : hosts)
    existing.insert(host.server);
  for (auto& [id, server] : state_.servers.all()) {
    bool silent = server.failed_polls > 0 || !server.last_answer_at;
    bool answered_since =
        server.last_answer_at && *server.last_answer_at >= sent;
    if (!server.runs.empty() && silent && !answered_since &&
        server.doubt.restart_noticed_at < sent && !existing.contains(id))
      runs_.OnServerDead(now, server, outbox);
  }
  plan_needed_ = true;
}

bool PoolScheduler::OnServerReply(Time now,
                                  const ServerReply& reply,
                                  Outbox& outbox) {
  if (!runs_.OnReply(now, reply, outbox))
    return false;
  plan_needed_ = true;
  return true;
}

bool PoolScheduler::OnPlacementAdvice(Time now,
                                      const PlacementAdviceReply& reply) {
  if (!state_.advice.OnReply(now, reply))
    return false;
  plan_needed_ = true;
  return true;
}

void PoolScheduler::OnVacateRequest(Time now,
                                    const MemberId& from,
                                    const std::string& address,
                                    const VacateRequest& request,
                                    Outbox& outbox) {
  ServerState* server =
      loaded() ? state_.servers.Find(request.server) : nullptr;
  VacateAnswer answer{state_.pool, request.server, VacateState::kUnknownServer,
                      state_.token};
  if (server != nullptr && request.withdraw) {
    server->vacating = false;
    plan_needed_ = true;
    return;
  }
  if (server != nullptr) {
    if (!server->vacating) {
      server->vacating = true;
      server->vacate_started_at = now;
      outbox.LogDecision("server-emptying",
                         {{"server", request.server.str()},
                          {"runs", static_cast<int64_t>(server->runs.size())}});
    }
    server->vacate_requested_at = now;
    server->vacate_until = now + kVacateRequestLifetime;
    // Without a recent renewal, another process may have started runs there.
    bool empty = server->runs.empty() && state_.MayStartRuns(now);
    answer.state = empty ? VacateState::kEmpty : VacateState::kEmptying;
  }
  outbox.SendToPeer(from, address, answer);
}

bool PoolScheduler::OnStoreAnswer(Time now,
                                  WallMillis wall,
                                  const StoreAnswer& answer,
                                  Outbox& outbox) {
  CommitChain::Stored stored;
  if (chain_.OnAnswer(now, answer, &stored)) {
    for (const RunRef& start : stored.starts)
      runs_.SendStart(now, start, outbox);
    runs_.OnStored(now);
    admission_.OnStored(stored.rows);
    AnswerWaiters(outbox);
    return true;
  }
  if (admission_.OnStoreAnswer(now, answer))
    return true;
  if (loading_.scan_tag != 0 && answer.tag == loading_.scan_tag) {
    OnLoadScanAnswer(now, wall, answer.reply, outbox);
    return true;
  }
  if (inbox_scan_tag_ != 0 && answer.tag == inbox_scan_tag_) {
    inbox_scan_tag_ = 0;
    if (const auto* rows = std::get_if<RowsReply>(&answer.reply)) {
      for (const Row& row : rows->rows)
        OnInboxRow(now, row, outbox);
    }
    return true;
  }
  auto read = definition_reads_.extract(answer.tag);
  if (read.empty())
    return false;
  const JobId& id = read.mapped();
  jobs_being_read_.erase(id);
  const auto* rows = std::get_if<RowsReply>(&answer.reply);
  if (rows == nullptr || rows->rows.empty())
    return true;  // The read is repeated at the next poll of the inbox.
  const Row& row = rows->rows.front();
  if (row.version == 0) {
    // The cancellation names a job that is not stored, so there is nothing to
    // cancel.
    RemoveRow(InboxKey(state_.pool, kInboxCancelled, id));
  } else if (row.value == kEndedJobTombstone) {
    RemoveRow(InboxKey(state_.pool, kInboxCancelled, id));
    RemoveRow(InboxKey(state_.pool, kInboxSubmitted, id));
  } else {
    LoadJob(now, wall, row, outbox);
    next_inbox_poll_at_ = now;
  }
  return true;
}

void PoolScheduler::Tick(Time now, WallMillis wall, Outbox& outbox) {
  next_wake_ = kTimeMax;
  if (loading_.failed && now >= loading_.retry_at) {
    loading_.failed = false;
    SendLoadScan(outbox);
  }
  if (loading_.failed)
    Wake(loading_.retry_at);
  if (!loaded() || lost()) {
    chain_.Tick(now, outbox);
    Wake(chain_.next_wake());
    return;
  }
  bool may_order = !chain_.release_sent() && !chain_.released();
  runs_.Tick(now, may_order, outbox);
  if (!chain_.releasing()) {
    admission_.Tick(now, outbox);
    Wake(admission_.next_wake());
  }
  PollInbox(now, outbox);
  UpdateScheduled(now, wall);
  if (may_order && renewed_age(now) < kMaxRenewalAgeForPlanning) {
    if (now - last_reviewed_at_ >= kReviewPeriod) {
      last_reviewed_at_ = now;
      for (auto& [id, server] : state_.servers.all()) {
        // A server that stopped answering while it was emptied has moved away,
        // so it stays marked.
        if (server.vacating && server.failed_polls == 0 &&
            now > server.vacate_until)
          server.vacating = false;
      }
      dispatch_.ReviewRunningTasks(now, outbox);
      LogPoolLoad(now, outbox);
      plan_needed_ = true;
    }
    // A plan takes effect only with the commit that stores it, so it is made
    // just before the next commit can be sent.
    if (plan_needed_ && now >= chain_.earliest_commit_at()) {
      plan_needed_ = false;
      has_planned_ = true;
      unplanned_advised_jobs_ = 0;
      StartLimiter& limiter = runs_.start_limiter();
      dispatch_.PlanReadyTasks(now, outbox, limiter.Budget());
      limiter.OnHeldBack(dispatch_.held_back_tasks());
    }
    if (plan_needed_)
      Wake(chain_.earliest_commit_at());
    if (!state_.jobs.open().empty())
      Wake(last_reviewed_at_ + kReviewPeriod);
  }
  if (now - last_purged_at_ > kPurgePeriod) {
    last_purged_at_ = now;
    Time before = now - state_.bounds.status_retention - kMaxSubmissionAge;
    for (const JobTable::PurgedJob& job :
         state_.jobs.Purge(before, kPurgeBatchJobs)) {
      RemoveRow(JobKey(state_.pool, job.id));
      RemoveRow(ProgressKey(state_.pool, job.id));
      for (uint32_t i = 1; i <= job.further_progress_rows; ++i)
        RemoveRow(FurtherProgressKey(state_.pool, job.id, i));
    }
  }
  EndUnstorableJobs(now, outbox);
  chain_.Tick(now, outbox);
  Wake(chain_.next_wake());
  Wake(runs_.next_wake());
}

void PoolScheduler::LogPoolLoad(Time now, Outbox& outbox) {
  if (now < next_pool_load_log_)
    return;
  next_pool_load_log_ = now + kPoolLoadLogPeriod;
  int64_t servers = 0;
  int64_t answering = 0;
  int64_t vacating = 0;
  Resources capacity;
  Resources used;
  for (const auto& [id, server] : state_.servers.all()) {
    if (!server.Serves(state_.pool))
      continue;
    ++servers;
    answering += server.last_answer_at && server.failed_polls == 0 ? 1 : 0;
    vacating += server.vacating ? 1 : 0;
    capacity += server.listing.capacity;
    used += server.used;
  }
  const StartLimiter& limiter = runs_.start_limiter();
  outbox.LogDecision(
      "pool-load",
      {{"pool", state_.pool.str()},
       {"servers", servers},
       {"answering", answering},
       {"emptying", vacating},
       {"used_cpu", used.cpu_millis},
       {"capacity_cpu", capacity.cpu_millis},
       {"demand_cpu", dispatch_.demand_cpu_millis()},
       {"offered_cpu", static_cast<int64_t>(offered_load_.Cores(now) * 1000)},
       {"backlog_cpu", dispatch_.backlog_cpu_millis()},
       {"open_jobs", static_cast<int64_t>(state_.jobs.open().size())},
       {"wait_ms", WholeMilliseconds(dispatch_.expected_wait())},
       {"advice_wait_ms", WholeMilliseconds(dispatch_.advice_backlog())},
       {"starts", static_cast<int64_t>(state_.counters.starts)},
       {"looks", static_cast<int64_t>(state_.counters.server_polls)},
       {"starts_unanswered",
        static_cast<int64_t>(state_.counters.starts_unanswered)},
       {"starts_repeated",
        static_cast<int64_t>(state_.counters.starts_repeated)},
       {"provisional",
        static_cast<int64_t>(state_.counters.provisional_successes)},
       {"probes", static_cast<int64_t>(state_.counters.server_probes)},
       {"commits", static_cast<int64_t>(state_.counters.commits)},
       {"start_window", limiter.window()},
       {"starts_waiting", limiter.waiting()},
       {"starts_held_back",
        static_cast<int64_t>(
            limiter.held_back() -
            std::exchange(logged_held_back_, limiter.held_back()))},
       {"run_lines_omitted", static_cast<int64_t>(state_.run_log.omitted())},
       {"renewed_age_ms", WholeMilliseconds(renewed_age(now))}});
}

void PoolScheduler::OnLoopLag(Duration lag, Outbox& outbox) {
  StartLimiter& limiter = runs_.start_limiter();
  bool was_limited = limiter.limited();
  limiter.ObserveLag(lag);
  if (limiter.limited() == was_limited)
    return;
  // The waiting starts tell a limit that starts have caused from one that began
  // for another reason.
  outbox.LogDecision(
      limiter.limited() ? "starts-limited" : "starts-not-limited",
      {{"pool", state_.pool.str()},
       {"lag_ms", WholeMilliseconds(lag)},
       {"delay_ms", WholeMilliseconds(limiter.delay())},
       {"window", limiter.window()},
       {"waiting", limiter.waiting()},
       {"held_back", static_cast<int64_t>(limiter.held_back())}});
}

void PoolScheduler::Release(const MemberId& successor) {
  chain_.Release(successor);
}

void PoolScheduler::OnProcessResumed() {
  // The length of the pause is not known. After this one, no lease holds.
  chain_.OnProcessResumed(kUnrenewedLeaseExtension);
}

OwnerHeartbeat PoolScheduler::MakeHeartbeat(Time now) const {
  OwnerHeartbeat heartbeat = chain_.LeaseHeartbeat(now);
  std::map<QueueId, uint32_t> pending;
  for (const JobId& id : state_.jobs.open()) {
    const Job* job = state_.jobs.Find(id);
    if (job != nullptr && !job->begun && !job->spec.scheduled() &&
        !IsFinal(job->state))
      ++pending[job->spec.queue];
  }
  // The lengths of the queues are unknown until the jobs are loaded.
  for (const QueueId& id :
       loaded() ? admission_.Queues() : std::vector<QueueId>()) {
    heartbeat.queues.push_back({id, pending[id], dispatch_.expected_wait(),
                                admission_.OpenSince(id),
                                admission_.EarlierPools(id)});
  }
  heartbeat.figures_missing = !has_planned_;
  heartbeat.demand_cores =
      static_cast<double>(dispatch_.demand_cpu_millis()) / 1000;
  heartbeat.offered_cores = offered_load_.Cores(now);
  heartbeat.backlog_cores =
      static_cast<double>(dispatch_.backlog_cpu_millis()) / 1000;
  AddServersToHeartbeat(now, heartbeat);
  return heartbeat;
}

double PoolScheduler::needed_cores(Time now) const {
  return std::max(static_cast<double>(dispatch_.demand_cpu_millis()) / 1000,
                  offered_load_.Cores(now));
}

int64_t PoolScheduler::CapacityCpuMillis() const {
  int64_t capacity = 0;
  for (const auto& [id, server] : state_.servers.all()) {
    if (server.Serves(state_.pool))
      capacity += server.listing.capacity.cpu_millis;
  }
  return capacity;
}

bool PoolScheduler::is_short_of_servers(Time now) const {
  return loaded() &&
         needed_cores(now) * 1000 >
             kShortageDemandShare * static_cast<double>(CapacityCpuMillis());
}

void PoolScheduler::AddServersToHeartbeat(Time now,
                                          OwnerHeartbeat& heartbeat) const {
  std::vector<std::pair<int64_t, ServerId>> spare;  // With their used CPU.
  // Number of silent servers minus number of answering ones.
  std::map<ZoneId, int> silence_balance;
  for (const auto& [id, server] : state_.servers.all()) {
    if (!server.Serves(state_.pool))
      continue;
    ++heartbeat.servers;
    bool silent = server.failed_polls > 0 && server.last_answer_at &&
                  now - *server.last_answer_at > kSilentServerDelay &&
                  !server.vacating;
    heartbeat.silent_servers += silent ? 1 : 0;
    silence_balance[server.listing.zone] += silent ? 1 : -1;
    heartbeat.capacity_cores +=
        static_cast<double>(server.listing.capacity.cpu_millis) / 1000;
    bool long_running_job =
        server.long_running_runs > 0 || server.best_effort_runs > 0;
    if (!long_running_job && !server.vacating)
      spare.emplace_back(server.used.cpu_millis, id);
  }
  for (const auto& [zone, balance] : silence_balance) {
    if (balance > 0)
      heartbeat.silent_zones.push_back(zone);
  }
  std::sort(spare.begin(), spare.end());
  for (size_t i = 0; i < spare.size() && i < kMaxSpareServersInHeartbeat; ++i)
    heartbeat.spare_servers.push_back(spare[i].second);
  for (const JobId& id : state_.jobs.open()) {
    const Job* job = state_.jobs.Find(id);
    if (job == nullptr || IsFinal(job->state))
      continue;
    for (const StepSpec& step : job->spec.steps) {
      if (step.long_running && step.max_per_server > 0)
        heartbeat.min_servers = std::max(
            heartbeat.min_servers,
            (step.count + step.max_per_server - 1) / step.max_per_server);
    }
  }
}

}  // namespace radishmoor
