#include "radishmoor/jobs/job_request_handler.h"

#include <algorithm>

#include "radishmoor/jobs/job_rows.h"

namespace radishmoor {
namespace {

// Time limit of a call whose caller gave none.
constexpr Duration kDefaultTimeLimit = Seconds(3);
// A call ends this long before its time limit, so that the answer reaches the
// caller in time.
constexpr Duration kAnswerMargin = Milliseconds(150);
// Time to wait for a pool owner's answer about a job's state or a cancellation.
constexpr Duration kOwnerTimeout = Milliseconds(150);
// Time to wait for a pool's owner to store a job before the job is handed over
// again. The owner stores it with its next commit, which a slow store delays.
constexpr Duration kHandOverTimeout = Milliseconds(900);
// A submission is handed over to the pool's owner only if the owner's last
// heartbeat and its last lease renewal are not older than this. The second
// limit is longer because a renewal takes a second or more while the store is
// slow. Handing over is still better then: the owner stores all jobs that it
// has received with each commit, and separate inserts would delay its commits.
constexpr Duration kMaxHandOverHeartbeatAge = Milliseconds(800);
constexpr Duration kMaxUnrenewedTime = Milliseconds(3000);
// While the store does not answer this process, it hands submissions over only
// to an owner that has renewed its lease this recently: the store then answers
// the owner, for example because it refuses only some processes.
constexpr Duration kMaxUnrenewedTimeWithoutStore = Milliseconds(1200);
constexpr Duration kStoreTimeout = Milliseconds(500);
constexpr Duration kStoreRetryDelay = Milliseconds(60);
// Time until the next attempt to insert a job when the limit of inserts is
// reached.
constexpr Duration kInsertLimitDelay = Milliseconds(100);
// An owner with an older heartbeat is not asked about jobs. Queue lengths are
// answered only if the age of the heartbeat plus its `renewed_age` is less than
// this.
constexpr Duration kMaxHeartbeatAge = Milliseconds(1800);
// Times after which a refused caller should repeat its call. A store that is
// lost usually stays unavailable for some seconds.
constexpr Duration kUnavailableRetryAfter = Seconds(1);
constexpr Duration kStoreLostRetryAfter = Seconds(2);
// Time until a submission is tried again whose queue's pool is not open: the
// owners need some tens of milliseconds to move a queue. Longer if the store
// has to be asked.
constexpr Duration kAdmissionRetryDelay = Milliseconds(40);
constexpr Duration kAdmissionReadDelay = Milliseconds(200);
// A configuration is current if it was certainly the newest one within the time
// in which a new one must be in force, less this margin.
constexpr Duration kConfigAgeMargin = Milliseconds(100);
constexpr size_t kJobIdDigits = 16;
constexpr size_t kMaxOpenCalls = 2000;

std::string_view OutcomeName(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kNoQueue:
      return "no-queue";
    case CallOutcome::kNoJob:
      return "no-job";
    case CallOutcome::kBadJob:
      return "bad-job";
    case CallOutcome::kOverloaded:
      return "overloaded";
    case CallOutcome::kUnavailable:
      return "not-accepted";
    case CallOutcome::kUncertain:
      return "uncertain";
    default:
      return "answered";
  }
}

bool IsJobId(std::string_view text) {
  return text.size() == kJobIdDigits &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return std::isxdigit(c) != 0; });
}

}  // namespace

void JobRequestHandler::OnConfig(const JobConfig& config) {
  if (config.version < config_.version)
    return;
  config_ = config;
}

bool JobRequestHandler::IsConfigCurrent(Time now) const {
  return config_.version != 0 &&
         now - config_confirmed_at_ < max_config_age_ - kConfigAgeMargin;
}

JobRequestHandler::Route JobRequestHandler::FindRoute(
    std::string_view host,
    std::string_view path) const {
  Route longest_match;
  for (const QueueConfig& queue : config_.queues) {
    if (queue.host != host || !path.starts_with(queue.path_prefix))
      continue;
    if (longest_match.queue == nullptr ||
        queue.path_prefix.size() > longest_match.queue->path_prefix.size())
      longest_match = {&queue, path.substr(queue.path_prefix.size())};
  }
  return longest_match;
}

void JobRequestHandler::OnCall(Time now,
                               WallMillis wall,
                               JobCall call,
                               Outbox& outbox) {
  const auto& [host, path] = std::visit(
      [](const auto& request) { return std::tie(request.host, request.path); },
      call.request);
  if (config_.version == 0) {
    Refuse(call.id, CallOutcome::kUnavailable, kUnavailableRetryAfter,
           "no-configuration", outbox);
    return;
  }
  if (calls_.size() >= kMaxOpenCalls) {
    Refuse(call.id, CallOutcome::kOverloaded, kUnavailableRetryAfter,
           "too-many-calls", outbox);
    return;
  }
  Route route = FindRoute(host, path);
  // A newer configuration may have the queue, or may have removed it. While the
  // store fails, known queues are served all the same.
  if (!IsConfigCurrent(now) && (route.queue == nullptr || overloaded_)) {
    Refuse(call.id, CallOutcome::kUnavailable, kUnavailableRetryAfter,
           "configuration-not-confirmed", outbox);
    return;
  }
  if (route.queue == nullptr) {
    ++counters_.unknown_queue;
    Refuse(call.id, CallOutcome::kNoQueue, {}, "no-queue", outbox);
    return;
  }
  bool is_read = std::holds_alternative<ReadJob>(call.request);
  if (is_read && route.path_rest.empty()) {
    AnswerPending(now, call.id, *route.queue, outbox);
    return;
  }
  auto* submit = std::get_if<SubmitJob>(&call.request);
  if (!IsJobId(route.path_rest)) {
    Refuse(call.id,
           submit != nullptr ? CallOutcome::kBadJob : CallOutcome::kNoJob, {},
           "bad-job-id", outbox);
    return;
  }
  OpenCall open;
  open.job = JobId(route.path_rest);
  open.queue = route.queue->id;
  open.pool = route.queue->pool;
  open.arrived = call.arrived;
  open.deadline = call.arrived + call.time_limit.value_or(kDefaultTimeLimit) -
                  kAnswerMargin;
  open.kind = submit != nullptr ? Kind::kSubmit
              : is_read         ? Kind::kRead
                                : Kind::kCancel;
  if (submit != nullptr) {
    open.spec = std::move(submit->spec);
    open.spec.queue = open.queue;
    open.spec.queue_settings = route.queue->settings;
    open.spec.submitted_at = wall;
    if (std::optional<std::string> fault = CheckJob(open.spec)) {
      Refuse(call.id, CallOutcome::kBadJob, {}, *fault, outbox);
      return;
    }
    if (!FitsIntoRow(open.spec, max_row_bytes_)) {
      Refuse(call.id, CallOutcome::kBadJob, {},
             "the job is longer than a row of the store", outbox);
      return;
    }
  }
  JobCallId id = call.id;
  auto [it, inserted] = calls_.emplace(id, std::move(open));
  StartCall(now, id, it->second, outbox);
}

void JobRequestHandler::StartCall(Time now,
                                  JobCallId id,
                                  OpenCall& call,
                                  Outbox& outbox) {
  if (call.kind == Kind::kSubmit && store_lost_ &&
      UnrenewedTime(now, call.pool) > kMaxUnrenewedTimeWithoutStore) {
    if (call.may_be_stored)
      RefuseUnanswered(id, "store-lost", outbox);
    else
      Refuse(id, CallOutcome::kUnavailable, kStoreLostRetryAfter, "store-lost",
             outbox);
    return;
  }
  if (call.kind == Kind::kSubmit) {
    StartSubmission(now, id, call, outbox);
    return;
  }
  const PoolOwner* owner = leases_.OwnerOf(call.pool);
  bool local = local_heartbeats_.contains(call.pool);
  bool owner_reachable =
      owner != nullptr && now - owner->last_heartbeat_at < kMaxHeartbeatAge;
  if (!local && !owner_reachable) {
    ReadFromStore(id, call, outbox);
    return;
  }
  call.stage = Stage::kAskingOwner;
  call.owner_timeout_at = now + kOwnerTimeout;
  uint64_t request = next_request_++;
  owner_calls_[request] = id;
  SendToOwner(
      call.pool,
      JobQuery{request, call.pool, call.job, call.kind == Kind::kCancel},
      outbox);
}

void JobRequestHandler::StartSubmission(Time now,
                                        JobCallId id,
                                        OpenCall& call,
                                        Outbox& outbox) {
  const QueueConfig* queue = config_.FindQueue(call.queue);
  if (queue == nullptr) {
    if (call.may_be_stored)
      RefuseUnanswered(id, "queue-removed", outbox);
    else
      Refuse(id, CallOutcome::kNoQueue, {}, "no-queue", outbox);
    return;
  }
  call.pool = queue->pool;
  call.admitted_since = 0;
  bool fresh = false;
  const QueueLoad* load = FindLoad(now, call.pool, call.queue, &fresh);
  if (load != nullptr && load->open_since != 0)
    LookUpInEarlierPools(now, id, call, load->open_since, load->earlier_pools,
                         outbox);
  else if (load != nullptr && fresh)
    AwaitAdmission(now, call, kAdmissionRetryDelay);
  else
    ReadAdmission(id, call, outbox);
}

void JobRequestHandler::AwaitAdmission(Time now,
                                       OpenCall& call,
                                       Duration delay) {
  call.stage = Stage::kAwaitingAdmission;
  call.retry_at = now + delay;
}

void JobRequestHandler::ReadAdmission(JobCallId id,
                                      OpenCall& call,
                                      Outbox& outbox) {
  call.stage = Stage::kReadingAdmission;
  store_calls_[outbox.CallStore(
      ReadRows{{QueueAdmissionKey(call.pool, call.queue)}}, kStoreTimeout)] =
      id;
}

void JobRequestHandler::OnAdmissionRead(Time now,
                                        JobCallId id,
                                        const StoreReply& reply,
                                        Outbox& outbox) {
  OpenCall& call = calls_.at(id);
  const auto* rows = std::get_if<RowsReply>(&reply);
  if (rows == nullptr || rows->rows.empty()) {
    if (call.may_be_stored) {
      AwaitAdmission(now, call, kStoreRetryDelay);
      return;
    }
    RefuseUnlessStored(id, call,
                       {CallOutcome::kUnavailable, kUnavailableRetryAfter,
                        "store-unavailable"},
                       outbox);
    return;
  }
  std::optional<QueueAdmissionRow> admission =
      DecodeQueueAdmission(rows->rows.front().value);
  if (!admission || !admission->open) {
    admissions_.erase({call.pool, call.queue});
    AwaitAdmission(now, call, kAdmissionReadDelay);
    return;
  }
  admissions_[{call.pool, call.queue}] = {admission->config_version,
                                          rows->rows.front().version};
  if (call.admitted_since == admission->config_version)
    StoreJob(now, id, call, outbox);
  else
    LookUpInEarlierPools(now, id, call, admission->config_version,
                         std::move(admission->earlier_pools), outbox);
}

void JobRequestHandler::LookUpInEarlierPools(Time now,
                                             JobCallId id,
                                             OpenCall& call,
                                             ConfigVersion open_since,
                                             std::vector<PoolId> earlier_pools,
                                             Outbox& outbox) {
  call.admitted_since = open_since;
  call.pools_to_read = std::move(earlier_pools);
  if (call.pools_to_read.empty()) {
    Submit(now, id, call, outbox);
    return;
  }
  PoolId pool = call.pools_to_read.back();
  call.pools_to_read.pop_back();
  ReadJobRows(id, call, pool, outbox);
}

void JobRequestHandler::SendToOwner(const PoolId& pool,
                                    JobPeerMessage message,
                                    Outbox& outbox) {
  const PoolOwner* owner = leases_.OwnerOf(pool);
  if (local_heartbeats_.contains(pool))
    outbox.SendToPeer(node_, "", std::move(message));
  else if (owner != nullptr)
    outbox.SendToPeer(owner->node, owner->address, std::move(message));
}

void JobRequestHandler::Submit(Time now,
                               JobCallId id,
                               OpenCall& call,
                               Outbox& outbox) {
  if (!HandOverToOwner(now, id, call, outbox))
    StoreJob(now, id, call, outbox);
}

Duration JobRequestHandler::UnrenewedTime(Time now, const PoolId& pool) const {
  auto local = local_heartbeats_.find(pool);
  const PoolOwner* owner = leases_.OwnerOf(pool);
  if (local != local_heartbeats_.end())
    return local->second.first.renewed_age;
  if (owner != nullptr && !owner->heartbeat.released &&
      now - owner->last_heartbeat_at < kMaxHandOverHeartbeatAge)
    return now - owner->last_heartbeat_at + owner->heartbeat.renewed_age;
  return kTimeMax - kTimeZero;
}

bool JobRequestHandler::HandOverToOwner(Time now,
                                        JobCallId id,
                                        OpenCall& call,
                                        Outbox& outbox) {
  if (UnrenewedTime(now, call.pool) > kMaxUnrenewedTime)
    return false;
  call.stage = Stage::kAskingOwner;
  call.owner_timeout_at = now + kHandOverTimeout;
  uint64_t request = next_request_++;
  owner_calls_[request] = id;
  SendToOwner(call.pool,
              JobNotice{call.pool, call.job, call.spec, now - call.arrived,
                        request, call.admitted_since},
              outbox);
  return true;
}

void JobRequestHandler::StoreJob(Time now,
                                 JobCallId id,
                                 OpenCall& call,
                                 Outbox& outbox) {
  call.stage = Stage::kStoringJob;
  call.retry_at = kTimeMax;
  auto admission = admissions_.find({call.pool, call.queue});
  if (admission == admissions_.end() ||
      admission->second.open_since != call.admitted_since) {
    ReadAdmission(id, call, outbox);
    return;
  }
  if (!insert_limiter_.TryInsert(now, call.pool)) {
    // Only a repeated insert can tell whether an earlier one was performed.
    if (call.may_be_stored)
      call.retry_at = now + kInsertLimitDelay;
    else
      RefuseUnlessStored(
          id, call,
          {CallOutcome::kUnavailable, kUnavailableRetryAfter, "insert-limit"},
          outbox);
    return;
  }
  Transaction transaction;
  std::string key = JobKey(call.pool, call.job);
  transaction.expects.push_back({key, 0});
  transaction.expects.push_back({QueueAdmissionKey(call.pool, call.queue),
                                 admission->second.row_version});
  transaction.writes.push_back({std::move(key), EncodeJob(call.spec)});
  transaction.writes.push_back(
      {InboxKey(call.pool, kInboxSubmitted, call.job), ""});
  Duration timeout =
      std::clamp(call.deadline - now, Milliseconds(50),
                 call.may_be_stored ? 2 * kStoreTimeout : kStoreTimeout);
  uint64_t tag = outbox.CallStore(CommitRows{std::move(transaction)}, timeout);
  store_calls_[tag] = id;
}

void JobRequestHandler::OnJobStored(Time now,
                                    JobCallId id,
                                    const StoreReply& reply,
                                    Outbox& outbox) {
  OpenCall& call = calls_.at(id);
  bool already_stored = false;
  if (const auto* conflict = std::get_if<ConflictReply>(&reply)) {
    std::string key = JobKey(call.pool, call.job);
    already_stored = std::any_of(
        conflict->rows.begin(), conflict->rows.end(),
        [&key](const Row& row) { return row.key == key && row.version != 0; });
    if (!already_stored) {
      admissions_.erase({call.pool, call.queue});
      AwaitAdmission(now, call, Duration::zero());
      return;
    }
  }
  if (already_stored || std::holds_alternative<CommittedReply>(reply)) {
    SendToOwner(
        call.pool,
        JobNotice{call.pool, call.job, call.spec, now - call.arrived, 0},
        outbox);
    OnAccepted(now, id, already_stored, outbox);
    return;
  }
  bool outcome_unknown = std::holds_alternative<UnknownReply>(reply);
  call.may_be_stored = call.may_be_stored || outcome_unknown;
  if (!call.may_be_stored) {
    RefuseUnlessStored(id, call,
                       {CallOutcome::kUnavailable, kUnavailableRetryAfter,
                        "store-unavailable"},
                       outbox);
    return;
  }
  // The job may be stored. Only a repeated insert can tell.
  call.retry_at = outcome_unknown ? now : now + kStoreRetryDelay;
  if (call.retry_at >= call.deadline) {
    ++counters_.uncertain;
    Refuse(id, CallOutcome::kUncertain, {}, "store-unanswered", outbox);
  }
}

void JobRequestHandler::RefuseUnlessStored(JobCallId id,
                                           OpenCall& call,
                                           const PendingRefusal& refusal,
                                           Outbox& outbox) {
  call.refusal = refusal;
  ReadJobRows(id, call, call.pool, outbox);
}

void JobRequestHandler::OnAccepted(Time now,
                                   JobCallId id,
                                   bool repeat,
                                   Outbox& outbox) {
  const OpenCall& call = calls_.at(id);
  ++(repeat ? counters_.repeated : counters_.accepted);
  outbox.LogDecision("job-stored",
                     {{"job", call.job.str()},
                      {"queue", call.queue.str()},
                      {"pool", call.pool.str()},
                      {"repeat", repeat ? 1 : 0},
                      {"by_owner", call.stage == Stage::kAskingOwner ? 1 : 0},
                      {"took_ms", WholeMilliseconds(now - call.arrived)},
                      {"config", static_cast<int64_t>(config_.version)}});
  Finish(id, {.outcome = CallOutcome::kAccepted}, outbox);
}

void JobRequestHandler::ReadFromStore(JobCallId id,
                                      OpenCall& call,
                                      Outbox& outbox) {
  call.pools_to_read.clear();
  call.queue_pools_read = false;
  ReadJobRows(id, call, call.pool, outbox);
}

void JobRequestHandler::ReadQueuePools(JobCallId id,
                                       OpenCall& call,
                                       Outbox& outbox) {
  call.stage = Stage::kReadingQueuePools;
  store_calls_[outbox.CallStore(ReadRows{{QueuePoolsKey(call.queue)}},
                                kStoreTimeout)] = id;
}

void JobRequestHandler::OnQueuePoolsRead(Time now,
                                         JobCallId id,
                                         const StoreReply& reply,
                                         Outbox& outbox) {
  OpenCall& call = calls_.at(id);
  const auto* rows = std::get_if<RowsReply>(&reply);
  std::optional<std::vector<PoolId>> pools;
  if (rows != nullptr && !rows->rows.empty()) {
    const Row& row = rows->rows.front();
    pools =
        row.version == 0 ? std::vector<PoolId>() : DecodeQueuePools(row.value);
  }
  if (!pools) {
    RetryStoreRead(now, id, call, outbox);
    return;
  }
  call.queue_pools_read = true;
  call.pools_to_read = std::move(*pools);
  std::erase(call.pools_to_read, call.pool);
  ReadNextPool(id, call, outbox);
}

void JobRequestHandler::ReadNextPool(JobCallId id,
                                     OpenCall& call,
                                     Outbox& outbox) {
  if (!call.queue_pools_read) {
    ReadQueuePools(id, call, outbox);
    return;
  }
  if (call.pools_to_read.empty()) {
    Refuse(id, CallOutcome::kNoJob, {}, "no-job", outbox);
    return;
  }
  call.pool = call.pools_to_read.back();
  call.pools_to_read.pop_back();
  ReadJobRows(id, call, call.pool, outbox);
}

void JobRequestHandler::RetryStoreRead(Time now,
                                       JobCallId id,
                                       OpenCall& call,
                                       Outbox& outbox) {
  call.retry_at = now + kStoreRetryDelay;
  if (call.retry_at >= call.deadline)
    RefuseUnanswered(id, "store-unavailable", outbox);
}

void JobRequestHandler::ReadJobRows(JobCallId id,
                                    OpenCall& call,
                                    const PoolId& pool,
                                    Outbox& outbox) {
  call.stage = Stage::kReadingStore;
  ReadRows read{{JobKey(pool, call.job)}};
  if (call.kind != Kind::kSubmit)
    read.keys.push_back(ProgressKey(pool, call.job));
  store_calls_[outbox.CallStore(std::move(read), kStoreTimeout)] = id;
}

void JobRequestHandler::OnJobRowsRead(Time now,
                                      JobCallId id,
                                      const StoreReply& reply,
                                      Outbox& outbox) {
  OpenCall& call = calls_.at(id);
  const auto* rows = std::get_if<RowsReply>(&reply);
  size_t expected_rows = call.kind == Kind::kSubmit ? 1 : 2;
  bool read = rows != nullptr && rows->rows.size() == expected_rows;
  if (!read && call.refusal) {
    // Whether an earlier request has stored the job is not known.
    ++counters_.uncertain;
    Refuse(id, CallOutcome::kUncertain, call.refusal->retry_after,
           call.refusal->reason, outbox);
    return;
  }
  if (!read) {
    RetryStoreRead(now, id, call, outbox);
    return;
  }
  const Row& definition = rows->rows[0];
  if (call.kind == Kind::kSubmit) {
    OnSubmittedJobRead(now, id, definition.version != 0, outbox);
    return;
  }
  const Row& progress = rows->rows[1];
  if (progress.version == 0 && definition.version == 0) {
    // The job may have been accepted while its queue belonged to another pool.
    ReadNextPool(id, call, outbox);
    return;
  }
  ++counters_.states_from_store;
  JobState state = JobState::kQueued;
  if (progress.version != 0) {
    std::optional<StoredProgress> stored = DecodeProgress(progress.value);
    if (!stored) {
      Refuse(id, CallOutcome::kUnavailable, kUnavailableRetryAfter,
             "progress-unreadable", outbox);
      return;
    }
    state = stored->state;
  }
  if (call.kind == Kind::kCancel && !IsFinal(state))
    StoreCancellation(id, call, outbox);
  else
    AnswerState(id, state, outbox);
}

void JobRequestHandler::OnSubmittedJobRead(Time now,
                                           JobCallId id,
                                           bool stored,
                                           Outbox& outbox) {
  OpenCall& call = calls_.at(id);
  if (stored) {
    OnAccepted(now, id, true, outbox);
  } else if (call.refusal && call.admitted_since == 0) {
    // An earlier request may have stored the job in an earlier pool.
    ++counters_.uncertain;
    Refuse(id, CallOutcome::kUncertain, call.refusal->retry_after,
           call.refusal->reason, outbox);
  } else if (call.refusal) {
    Refuse(id, call.refusal->outcome, call.refusal->retry_after,
           call.refusal->reason, outbox);
  } else if (!call.pools_to_read.empty()) {
    PoolId pool = call.pools_to_read.back();
    call.pools_to_read.pop_back();
    ReadJobRows(id, call, pool, outbox);
  } else {
    Submit(now, id, call, outbox);
  }
}

void JobRequestHandler::StoreCancellation(JobCallId id,
                                          OpenCall& call,
                                          Outbox& outbox) {
  call.stage = Stage::kStoringCancellation;
  Transaction transaction;
  transaction.writes.push_back(
      {InboxKey(call.pool, kInboxCancelled, call.job), ""});
  store_calls_[outbox.CallStore(CommitRows{std::move(transaction)},
                                kStoreTimeout)] = id;
}

void JobRequestHandler::OnCancellationStored(Time now,
                                             JobCallId id,
                                             const StoreReply& reply,
                                             Outbox& outbox) {
  OpenCall& call = calls_.at(id);
  if (std::holds_alternative<CommittedReply>(reply)) {
    ++counters_.cancelled;
    outbox.LogDecision("job-cancel-marked",
                       {{"job", call.job.str()}, {"pool", call.pool.str()}});
    Finish(id, {.outcome = CallOutcome::kCancelled}, outbox);
    return;
  }
  call.retry_at = now + kStoreRetryDelay;
  if (call.retry_at >= call.deadline)
    Refuse(id, CallOutcome::kUncertain, kUnavailableRetryAfter,
           "store-unavailable", outbox);
}

bool JobRequestHandler::OnStoreAnswer(Time now,
                                      const StoreAnswer& answer,
                                      Outbox& outbox) {
  auto node = store_calls_.extract(answer.tag);
  if (node.empty())
    return false;
  JobCallId id = node.mapped();
  auto it = calls_.find(id);
  if (it == calls_.end())
    return true;
  switch (it->second.stage) {
    case Stage::kStoringJob:
      OnJobStored(now, id, answer.reply, outbox);
      break;
    case Stage::kReadingAdmission:
      OnAdmissionRead(now, id, answer.reply, outbox);
      break;
    case Stage::kReadingStore:
      OnJobRowsRead(now, id, answer.reply, outbox);
      break;
    case Stage::kReadingQueuePools:
      OnQueuePoolsRead(now, id, answer.reply, outbox);
      break;
    case Stage::kStoringCancellation:
      OnCancellationStored(now, id, answer.reply, outbox);
      break;
    case Stage::kAwaitingAdmission:
    case Stage::kAskingOwner:
      break;
  }
  return true;
}

void JobRequestHandler::OnJobAnswer(Time now,
                                    const JobAnswer& answer,
                                    Outbox& outbox) {
  auto node = owner_calls_.extract(answer.request);
  if (node.empty())
    return;
  auto it = calls_.find(node.mapped());
  if (it == calls_.end() || it->second.stage != Stage::kAskingOwner)
    return;
  bool is_submission = it->second.kind == Kind::kSubmit;
  if (is_submission && answer.state == JobAnswerState::kRefused) {
    // The owner may have accepted an earlier request of this call and not know
    // the row that another process has inserted for it.
    if (it->second.may_be_stored)
      StoreJob(now, it->first, it->second, outbox);
    else
      RefuseUnlessStored(
          it->first, it->second,
          {CallOutcome::kOverloaded, answer.retry_after, "adviser-backlog"},
          outbox);
    return;
  }
  if (is_submission && answer.state == JobAnswerState::kNotAdmitted) {
    AwaitAdmission(now, it->second, kAdmissionRetryDelay);
    return;
  }
  if (answer.state >= JobAnswerState::kUnknown) {
    if (is_submission)
      StoreJob(now, it->first, it->second, outbox);
    else
      ReadFromStore(it->first, it->second, outbox);
    return;
  }
  if (is_submission) {
    OnAccepted(now, it->first, false, outbox);
    return;
  }
  AnswerState(it->first, static_cast<JobState>(answer.state), outbox);
}

void JobRequestHandler::AnswerState(JobCallId id,
                                    JobState state,
                                    Outbox& outbox) {
  if (calls_.at(id).kind == Kind::kCancel) {
    ++counters_.cancelled;
    Finish(id, {.outcome = CallOutcome::kCancelled}, outbox);
    return;
  }
  ++counters_.states;
  Finish(id, {.outcome = CallOutcome::kState, .state = state}, outbox);
}

const QueueLoad* JobRequestHandler::FindLoad(Time now,
                                             const PoolId& pool,
                                             const QueueId& queue,
                                             bool* fresh) const {
  const OwnerHeartbeat* heartbeat = nullptr;
  Duration age{};
  auto local = local_heartbeats_.find(pool);
  const PoolOwner* owner = leases_.OwnerOf(pool);
  if (local != local_heartbeats_.end()) {
    heartbeat = &local->second.first;
    age = now - local->second.second;
  } else if (owner != nullptr) {
    heartbeat = &owner->heartbeat;
    age = now - owner->last_heartbeat_at;
  }
  if (heartbeat == nullptr)
    return nullptr;
  *fresh = age + heartbeat->renewed_age < kMaxHeartbeatAge;
  for (const QueueLoad& load : heartbeat->queues) {
    if (load.queue == queue)
      return &load;
  }
  return nullptr;
}

void JobRequestHandler::AnswerPending(Time now,
                                      JobCallId id,
                                      const QueueConfig& queue,
                                      Outbox& outbox) {
  bool fresh = false;
  const QueueLoad* load = FindLoad(now, queue.pool, queue.id, &fresh);
  // The earlier pools of a queue that is being moved are not known.
  bool known = load != nullptr && fresh && load->open_since != 0;
  uint32_t pending = 0;
  if (known) {
    pending = load->pending;
    for (const PoolId& pool : load->earlier_pools) {
      const QueueLoad* earlier = FindLoad(now, pool, queue.id, &fresh);
      known = known && earlier != nullptr && fresh;
      pending += earlier != nullptr ? earlier->pending : 0;
    }
  }
  if (!known) {
    Refuse(id, CallOutcome::kUnavailable, kUnavailableRetryAfter,
           "owner-unknown", outbox);
    return;
  }
  outbox.AnswerCaller(
      {.id = id, .outcome = CallOutcome::kPending, .pending = pending});
}

void JobRequestHandler::SetLocalHeartbeat(const OwnerHeartbeat& heartbeat,
                                          Time now) {
  if (heartbeat.released)
    local_heartbeats_.erase(heartbeat.pool);
  else
    local_heartbeats_[heartbeat.pool] = {heartbeat, now};
}

void JobRequestHandler::OnAbandoned(JobCallId call) {
  calls_.erase(call);
}

void JobRequestHandler::Finish(JobCallId id,
                               JobCallAnswer answer,
                               Outbox& outbox) {
  answer.id = id;
  calls_.erase(id);
  outbox.AnswerCaller(std::move(answer));
}

void JobRequestHandler::Refuse(JobCallId id,
                               CallOutcome outcome,
                               Duration retry_after,
                               std::string_view reason,
                               Outbox& outbox) {
  auto it = calls_.find(id);
  ++counters_.refused;
  outbox.LogDecision("call-refused",
                     {{"job", it == calls_.end() ? "" : it->second.job.str()},
                      {"outcome", std::string(OutcomeName(outcome))},
                      {"reason", std::string(reason)},
                      {"config", static_cast<int64_t>(config_.version)}});
  Finish(id,
         {.outcome = outcome,
          .retry_after = retry_after,
          .detail = std::string(reason),
          .reconnect_elsewhere = store_lost_},
         outbox);
}

void JobRequestHandler::RefuseUnanswered(JobCallId id,
                                         std::string_view reason,
                                         Outbox& outbox) {
  CallOutcome outcome = calls_.at(id).kind == Kind::kRead
                            ? CallOutcome::kUnavailable
                            : CallOutcome::kUncertain;
  Refuse(id, outcome, kUnavailableRetryAfter, reason, outbox);
}

void JobRequestHandler::RefuseOpenCalls(Outbox& outbox) {
  while (!calls_.empty())
    RefuseUnanswered(calls_.begin()->first, "process-ending", outbox);
}

void JobRequestHandler::Tick(Time now, Outbox& outbox) {
  std::vector<JobCallId> due;
  for (const auto& [id, call] : calls_) {
    bool owner_silent =
        call.stage == Stage::kAskingOwner && now >= call.owner_timeout_at;
    if (owner_silent || now >= call.retry_at || now >= call.deadline)
      due.push_back(id);
  }
  for (JobCallId id : due) {
    OpenCall& call = calls_.at(id);
    if (now >= call.deadline) {
      RefuseUnanswered(id, "time-limit", outbox);
      continue;
    }
    call.retry_at = kTimeMax;
    switch (call.stage) {
      case Stage::kAwaitingAdmission:
      case Stage::kReadingAdmission:
        StartCall(now, id, call, outbox);
        break;
      case Stage::kReadingQueuePools:
        ReadFromStore(id, call, outbox);
        break;
      case Stage::kStoringJob:
        StoreJob(now, id, call, outbox);
        break;
      case Stage::kAskingOwner:
        if (call.kind == Kind::kSubmit) {
          // The owner may still store the job.
          call.may_be_stored = true;
          StartSubmission(now, id, call, outbox);
          break;
        }
        ReadFromStore(id, call, outbox);
        break;
      case Stage::kReadingStore:
        if (call.kind == Kind::kSubmit)
          StartCall(now, id, call, outbox);
        else
          ReadFromStore(id, call, outbox);
        break;
      case Stage::kStoringCancellation:
        StoreCancellation(id, call, outbox);
        break;
    }
  }
}

Time JobRequestHandler::next_wake() const {
  Time next = kTimeMax;
  for (const auto& [id, call] : calls_) {
    next = std::min({next, call.deadline, call.retry_at});
    if (call.stage == Stage::kAskingOwner)
      next = std::min(next, call.owner_timeout_at);
  }
  return next;
}

}  // namespace radishmoor
