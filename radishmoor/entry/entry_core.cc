#include "radishmoor/entry/entry_core.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include "radishmoor/base/hash.h"
#include "radishmoor/base/invariant.h"
#include "radishmoor/fleet/wave.h"

namespace radishmoor {
namespace {

// The permission to send to hosts of other zones expires without an event, so
// the targets are updated from it at this interval; slot demand and membership
// are refreshed at the same time. The check before each send is exact.
constexpr Duration kTargetRefreshPeriod = Milliseconds(200);

// A notice of leaving hosts is repeated once per period, and valid for three
// periods so that the loss of a single notice has no effect.
constexpr Duration kLeavingNoticePeriod = Seconds(1);
constexpr Duration kLeavingNoticeValidity = Seconds(3);

// Requests that this process may have in flight on a host of another zone. Such
// hosts take only the load that the zone of this process cannot.
constexpr int kOtherZoneHostLimit = 1;

// Store calls of all components share one tag space. The remainder modulo
// kCallOwnerCount tells which component made the call.
enum class CallOwner : uint64_t { kConfig, kMember, kPeers, kClaims };
constexpr uint64_t kCallOwnerCount = 4;

StoreCall TagWithOwner(CallOwner owner, StoreCall call) {
  call.tag = call.tag * kCallOwnerCount + static_cast<uint64_t>(owner);
  return call;
}

MemberOptions MemberOptionsOf(const EntryOptions& options) {
  return {.id = options.member,
          .incarnation = options.incarnation,
          .role = MemberRole::kEntry,
          .zone = options.zone,
          .addresses = {options.peer_address, options.admin_address},
          .host = options.host,
          .host_instance = options.host_instance,
          .seed = options.seed};
}

ExchangeResult ExchangeResultOf(const BackendAnswer& answer) {
  if (answer.status == 421)
    return ExchangeResult::kWrongPool;
  if (answer.not_run)
    return ExchangeResult::kNotRunFull;
  if (answer.status >= 500)
    return ExchangeResult::kFailure;
  return ExchangeResult::kSuccess;
}

dispatch::AttemptOutcome AttemptOutcomeOf(ExchangeResult result) {
  switch (result) {
    case ExchangeResult::kSuccess:
      return dispatch::AttemptOutcome::kCompleted;
    case ExchangeResult::kFailure:
      return dispatch::AttemptOutcome::kErrorAnswer;
    case ExchangeResult::kNotRunFull:
    case ExchangeResult::kWrongPool:
      return dispatch::AttemptOutcome::kNotRun;
  }
  return dispatch::AttemptOutcome::kErrorAnswer;
}

unsigned HttpStatusOf(const dispatch::Finish& finish) {
  switch (finish.reason) {
    case dispatch::Reason::kUnknownService:
      return 404;
    case dispatch::Reason::kDeadline:
      return 504;
    case dispatch::Reason::kBackendFailed:
    case dispatch::Reason::kPoisonRequest:
      return 502;
    default:
      return 503;
  }
}

EventKind EventKindOf(dispatch::Outcome outcome) {
  switch (outcome) {
    case dispatch::Outcome::kCompleted:
      return EventKind::kRequestCompleted;
    case dispatch::Outcome::kRefused:
      return EventKind::kRequestRefused;
    case dispatch::Outcome::kUnknown:
      return EventKind::kRequestUnknown;
    case dispatch::Outcome::kCancelled:
      return EventKind::kRequestCancelled;
  }
  return EventKind::kRequestUnknown;
}

template <typename Key, typename Value>
Value* FindIn(std::unordered_map<Key, Value>& map, const Key& key) {
  auto it = map.find(key);
  return it == map.end() ? nullptr : &it->second;
}

}  // namespace

EntryCore::EntryCore(EntryOptions options)
    : options_(std::move(options)),
      config_view_({.self = options_.member,
                    .zone = options_.zone,
                    .incarnation = options_.incarnation,
                    .seed = options_.seed}),
      member_(MemberOptionsOf(options_)),
      peers_({.self = options_.member,
              .role = MemberRole::kEntry,
              .zone = options_.zone,
              .address = options_.peer_address,
              .seed = options_.seed + 1}),
      claims_({.seed = options_.seed + 2}),
      backend_(options_.backend, options_.seed + 3),
      dispatcher_(options_.dispatch),
      slot_holder_(options_.slots,
                   options_.member,
                   options_.zone,
                   options_.incarnation),
      slot_allocator_(options_.slots,
                      options_.member,
                      options_.zone,
                      options_.incarnation) {}

void EntryCore::BeginCall(Time now, WallMillis wall) {
  now_ = std::max(now_, now);
  wall_ = wall;
  actions_.clear();
}

EntryActions EntryCore::EndCall() {
  // ready() follows the permission to send immediately, so the targets must be
  // refreshed immediately too.
  if (config_view_.MaySend(now_) != targets_may_send_) {
    targets_may_send_ = !targets_may_send_;
    RefreshTargets();
  }
  RunDispatcher();
  return std::exchange(actions_, {});
}

EntryActions EntryCore::Request(Time now,
                                WallMillis wall,
                                const CallerRequest& request) {
  BeginCall(now, wall);
  ++counters_.requests;
  if (draining_) {
    Refuse(request.id, 503, "shutting-down", false, Seconds(1));
    return EndCall();
  }
  if (!config_view_.ready()) {
    Refuse(request.id, 503, "no-configuration", false, Seconds(1));
    return EndCall();
  }
  const PoolState* pool = config_view_.state().FindPool(request.service);
  if (pool == nullptr) {
    Refuse(request.id, 404, "unknown-service", false, Duration::zero());
    return EndCall();
  }
  LiveRequest live;
  live.pool = request.service;
  live.operation = request.operation;
  live.body_hash = request.body_hash;
  live.idempotent = request.idempotent;
  live.keyed = !request.idempotent;
  live.deadline = now_ + (request.deadline > Duration::zero()
                              ? request.deadline
                              : Milliseconds(pool->default_deadline_ms));
  if (request.idempotent) {
    SubmitRequest(request.id, std::move(live));
    return EndCall();
  }
  Time deadline = live.deadline;
  awaiting_claim_.emplace(request.id, std::move(live));
  HandleActions(claims_.Begin(
      now_, wall_, {request.id, request.key, request.body_hash, deadline}));
  return EndCall();
}

void EntryCore::SubmitRequest(RequestId id, LiveRequest request) {
  dispatch::RequestArrived arrived{.request = id,
                                   .pool = request.pool,
                                   .operation = request.operation,
                                   .idempotent = request.idempotent,
                                   .deadline = request.deadline,
                                   .content_hash = request.body_hash};
  live_requests_.emplace(id, std::move(request));
  QueueDispatchMessage(arrived);
}

EntryActions EntryCore::Cancel(Time now, WallMillis wall, RequestId request) {
  BeginCall(now, wall);
  if (awaiting_claim_.erase(request) > 0) {
    HandleActions(claims_.Finish(now_, request, ClaimNotRun{}));
    actions_.push_back(DropRequest{request});
    return EndCall();
  }
  if (live_requests_.contains(request))
    QueueDispatchMessage(dispatch::RequestCancelled{request});
  return EndCall();
}

void EntryCore::Refuse(RequestId id,
                       unsigned status,
                       std::string_view reason,
                       bool may_have_run,
                       Duration retry_after) {
  actions_.push_back(RefuseRequest{id, status, std::string(reason),
                                   may_have_run, retry_after});
}

void EntryCore::QueueDispatchMessage(const dispatch::Message& message) {
  dispatch_messages_.push_back(message);
}

// Messages are queued, because a message that results from an action must not
// reach the dispatcher before the other actions of the same Handle() call have
// been carried out.
void EntryCore::RunDispatcher() {
  while (!dispatch_messages_.empty()) {
    dispatch::Message message = std::move(dispatch_messages_.front());
    dispatch_messages_.pop_front();
    for (const dispatch::Action& action : dispatcher_.Handle(now_, message))
      std::visit([this](const auto& a) { HandleAction(a); }, action);
  }
}

void EntryCore::HandleAction(const dispatch::SendAttempt& send) {
  LiveRequest& request = live_requests_.at(send.request);
  request.attempt = send.attempt;
  request.host = send.host;
  request.connection = {};
  HandleActions(backend_.Acquire(now_, {.host = send.host,
                                        .request = send.request,
                                        .request_hash = request.body_hash,
                                        .idempotent = request.idempotent,
                                        .deadline = request.deadline}));
}

void EntryCore::HandleAction(const dispatch::AbortAttempt& abort) {
  LiveRequest* request = FindIn(live_requests_, abort.request);
  if (request == nullptr)
    return;
  ConnectionId connection = std::exchange(request->connection, {});
  // The claim of a request that was written must not be released.
  if (connection.value != 0)
    request->may_have_run = true;
  bool timed_out = connection.value != 0 && now_ >= request->deadline;
  exchanges_.erase(connection);
  // A missed deadline is evidence that the connection is silent; any other
  // reason to abort is not.
  HandleActions(timed_out ? backend_.OnTimeout(now_, connection)
                          : backend_.Abandon(now_, abort.host, abort.request));
}

void EntryCore::HandleAction(const dispatch::Finish& finish) {
  auto node = live_requests_.extract(finish.request);
  if (node.empty())
    return;
  LiveRequest& request = node.mapped();
  if (request.keyed)
    FinishClaim(finish.request, request, finish.outcome);
  TimelineEvent event;
  event.request = finish.request;
  event.pool = request.pool;
  event.host = request.host;
  event.detail = std::string(dispatch::ReasonCode(finish.reason));
  RecordTimelineEvent(EventKindOf(finish.outcome), std::move(event));
  switch (finish.outcome) {
    case dispatch::Outcome::kCompleted:
      actions_.push_back(DeliverAnswer{finish.request, request.connection});
      return;
    case dispatch::Outcome::kCancelled:
      actions_.push_back(DropRequest{finish.request});
      return;
    case dispatch::Outcome::kRefused:
    case dispatch::Outcome::kUnknown:
      Refuse(finish.request, HttpStatusOf(finish),
             dispatch::ReasonCode(finish.reason),
             finish.outcome == dispatch::Outcome::kUnknown, finish.retry_after);
      return;
  }
}

void EntryCore::ReportAttempt(RequestId id, dispatch::AttemptOutcome outcome) {
  LiveRequest* request = FindIn(live_requests_, id);
  if (request == nullptr)
    return;
  request->may_have_run =
      request->may_have_run ||
      (outcome != dispatch::AttemptOutcome::kNotRun &&
       outcome != dispatch::AttemptOutcome::kFailedBeforeWrite);
  QueueDispatchMessage(dispatch::AttemptResult{.request = id,
                                               .attempt = request->attempt,
                                               .host = request->host,
                                               .outcome = outcome});
}

EntryActions EntryCore::OnConnectionOpened(Time now,
                                           WallMillis wall,
                                           ConnectionId connection) {
  BeginCall(now, wall);
  HandleActions(backend_.OnConnectionOpened(now_, connection));
  return EndCall();
}

EntryActions EntryCore::OnConnectionOpenFailed(Time now,
                                               WallMillis wall,
                                               ConnectionId connection) {
  BeginCall(now, wall);
  HandleActions(backend_.OnConnectionOpenFailed(now_, connection));
  return EndCall();
}

EntryActions EntryCore::OnBackendAnswer(Time now,
                                        WallMillis wall,
                                        const BackendAnswer& answer) {
  BeginCall(now, wall);
  if (probe_connections_.erase(answer.connection) > 0) {
    HandleActions(
        backend_.OnProbeAnswered(now_, answer.connection, answer.leaving));
    return EndCall();
  }
  auto node = exchanges_.extract(answer.connection);
  if (node.empty()) {
    ++counters_.unmatched_answers;
    return EndCall();
  }
  ExchangeResult result = ExchangeResultOf(answer);
  HandleActions(
      backend_.OnExchangeFinished(now_, {.connection = answer.connection,
                                         .result = result,
                                         .reusable = answer.reusable,
                                         .leaving = answer.leaving}));
  if (LiveRequest* request = FindIn(live_requests_, node.mapped()))
    request->encoded_answer = answer.encoded;
  ReportAttempt(node.mapped(), AttemptOutcomeOf(result));
  return EndCall();
}

EntryActions EntryCore::OnConnectionEnded(Time now,
                                          WallMillis wall,
                                          ConnectionId connection) {
  BeginCall(now, wall);
  probe_connections_.erase(connection);
  auto node = exchanges_.extract(connection);
  HandleActions(backend_.OnConnectionClosed(now_, connection));
  if (!node.empty()) {
    if (LiveRequest* request = FindIn(live_requests_, node.mapped()))
      request->connection = {};
    ReportAttempt(node.mapped(), dispatch::AttemptOutcome::kLost);
  }
  return EndCall();
}

bool EntryCore::keyed(ConnectionId connection) const {
  auto exchange = exchanges_.find(connection);
  if (exchange == exchanges_.end())
    return false;
  auto it = live_requests_.find(exchange->second);
  return it != live_requests_.end() && it->second.keyed;
}

void EntryCore::HandleActions(const BackendActions& actions) {
  for (const BackendAction& action : actions)
    std::visit([this](const auto& a) { HandleAction(a); }, action);
}

void EntryCore::HandleAction(const OpenConnection& open) {
  const HostState* host = config_view_.state().FindHost(open.host);
  if (host == nullptr) {
    HandleActions(backend_.OnConnectionOpenFailed(now_, open.connection));
    return;
  }
  actions_.push_back(
      OpenBackendConnection{open.connection, open.host, host->address});
}

bool EntryCore::MayWrite(RequestId id, const LiveRequest& request) const {
  return now_ < request.deadline && config_view_.MaySend(now_, request.host) &&
         (!request.keyed || claims_.MaySend(now_, id));
}

void EntryCore::HandleAction(const StartExchange& start) {
  LiveRequest* request = FindIn(live_requests_, start.request);
  if (request == nullptr || request->host != start.host) {
    HandleActions(backend_.Abandon(now_, start.host, start.request));
    return;
  }
  if (!MayWrite(start.request, *request)) {
    ++counters_.writes_withheld;
    HandleActions(backend_.Abandon(now_, start.host, start.request));
    ReportAttempt(start.request, dispatch::AttemptOutcome::kFailedBeforeWrite);
    return;
  }
  RADISHMOOR_INVARIANT("entry.one-exchange-per-connection",
                       !exchanges_.contains(start.connection));
  ++counters_.writes;
  request->connection = start.connection;
  request->written_at = now_;
  exchanges_[start.connection] = start.request;
  actions_.push_back(WriteBackendRequest{start.connection, start.request});
}

void EntryCore::HandleAction(const AcquireFailed& failed) {
  ReportAttempt(failed.request, dispatch::AttemptOutcome::kFailedBeforeWrite);
}

void EntryCore::HandleAction(const ProbeConnection& probe) {
  probe_connections_.insert(probe.connection);
  actions_.push_back(WriteBackendProbe{probe.connection});
}

void EntryCore::HandleAction(const CloseConnection& close) {
  probe_connections_.erase(close.connection);
  actions_.push_back(CloseBackendConnection{close.connection});
}

// A suspect attempt may just be long work, which runs far beyond the usual run
// time. The attempt is given up when a third of the time between its write and
// the deadline has passed, so that two more attempts fit.
void EntryCore::HandleAction(const AttemptSuspect& suspect) {
  LiveRequest* request = FindIn(live_requests_, suspect.request);
  if (request == nullptr || !request->idempotent)
    return;
  Duration third = (request->deadline - request->written_at) / 3;
  suspect_requests_.emplace(request->written_at + third, suspect.request);
}

void EntryCore::GiveUpOverdueSuspects() {
  while (!suspect_requests_.empty() &&
         suspect_requests_.begin()->first <= now_) {
    auto [time, id] = *suspect_requests_.begin();
    suspect_requests_.erase(suspect_requests_.begin());
    LiveRequest* request = FindIn(live_requests_, id);
    if (request == nullptr || request->connection.value == 0)
      continue;
    // The entry belongs to an earlier attempt; the current one started later.
    if (request->written_at + (request->deadline - request->written_at) / 3 >
        now_)
      continue;
    ConnectionId connection = std::exchange(request->connection, {});
    exchanges_.erase(connection);
    HandleActions(backend_.OnTimeout(now_, connection));
    ReportAttempt(id, dispatch::AttemptOutcome::kLost);
  }
}

void EntryCore::HandleAction(const TargetChanged& changed) {
  RefreshTarget(changed.host);
}

void EntryCore::HandleAction(const HostEjected& ejected) {
  TimelineEvent event;
  event.host = ejected.host;
  RecordTimelineEvent(EventKind::kBackendEjected, std::move(event));
}

void EntryCore::HandleAction(const HostRestored& restored) {
  TimelineEvent event;
  event.host = restored.host;
  RecordTimelineEvent(EventKind::kBackendRestored, std::move(event));
}

void EntryCore::HandleAction(const HostLeaving& leaving) {
  TimelineEvent event;
  event.host = leaving.host;
  RecordTimelineEvent(EventKind::kBackendLeaving, std::move(event));
  if (leaving.source == LeavingSource::kServer) {
    leaving_hosts_.insert(leaving.host);
    SendLeavingNotices();
  }
}

// A server announces only in its answers that it is leaving, so an entry
// process that has sent it no request lately learns of it from its peers.
void EntryCore::SendLeavingNotices() {
  next_leaving_notice_ = now_ + kLeavingNoticePeriod;
  std::erase_if(leaving_hosts_, [this](const HostId& id) {
    return !backend_.leaving(id, LeavingSource::kServer);
  });
  if (leaving_hosts_.empty())
    return;
  LeavingNotice notice{{leaving_hosts_.begin(), leaving_hosts_.end()}};
  for (const PeerInfo* peer : peers_.LivePeers()) {
    if (peer->record.role == MemberRole::kEntry)
      SendTo(peer->record.id, notice);
  }
}

void EntryCore::ExpirePeerLeaving() {
  std::erase_if(peer_leaving_until_, [this](const auto& item) {
    if (now_ < item.second)
      return false;
    HandleActions(backend_.SetPeerLeaving(now_, item.first, false));
    return true;
  });
}

void EntryCore::HandleAction(const PoisonRequestDetected&) {}

void EntryCore::HandleActions(std::vector<ClaimAction> actions) {
  for (ClaimAction& action : actions) {
    if (auto* call = std::get_if<StoreCall>(&action)) {
      actions_.push_back(TagWithOwner(CallOwner::kClaims, std::move(*call)));
    } else if (auto* granted = std::get_if<ClaimGranted>(&action)) {
      HandleAction(*granted);
    } else if (auto* replay = std::get_if<ClaimReplay>(&action)) {
      HandleAction(*replay);
    } else {
      HandleAction(std::get<ClaimRejected>(action));
    }
  }
}

void EntryCore::HandleAction(const ClaimGranted& granted) {
  auto node = awaiting_claim_.extract(granted.request);
  if (node.empty())
    return;
  SubmitRequest(granted.request, std::move(node.mapped()));
}

void EntryCore::HandleAction(const ClaimReplay& replay) {
  awaiting_claim_.erase(replay.request);
  actions_.push_back(ReplayAnswer{replay.request, replay.answer});
}

void EntryCore::HandleAction(const ClaimRejected& rejected) {
  awaiting_claim_.erase(rejected.request);
  Refuse(rejected.request, static_cast<unsigned>(HttpStatus(rejected.reason)),
         ReasonCode(rejected.reason), rejected.may_have_run, Seconds(1));
}

void EntryCore::FinishClaim(RequestId id,
                            const LiveRequest& request,
                            dispatch::Outcome outcome) {
  bool sent = request.may_have_run || request.connection.value != 0;
  ClaimResult result = ClaimMayHaveRun{};
  if (outcome == dispatch::Outcome::kCompleted) {
    result = ClaimCompleted{request.encoded_answer};
  } else if (outcome == dispatch::Outcome::kRefused ||
             (outcome == dispatch::Outcome::kCancelled && !sent)) {
    result = ClaimNotRun{};
  }
  HandleActions(claims_.Finish(now_, id, std::move(result)));
}

void EntryCore::HandleActions(std::vector<ConfigAction> actions) {
  for (ConfigAction& action : actions) {
    if (auto* call = std::get_if<StoreCall>(&action)) {
      actions_.push_back(TagWithOwner(CallOwner::kConfig, std::move(*call)));
    } else if (auto* send = std::get_if<SendConfigMessage>(&action)) {
      SendTo(send->to, std::move(send->message));
    } else {
      TimelineEvent event;
      event.config = std::get<ConfigInForce>(action).version;
      RecordTimelineEvent(EventKind::kConfigInForce, std::move(event));
      ApplyConfig();
    }
  }
}

void EntryCore::ApplyConfig() {
  ApplyPools();
  ApplyHosts();
  ApplySlots();
  RefreshTargets();
  RefreshMembership();
}

void EntryCore::ApplyPools() {
  const FleetState& state = config_view_.state();
  for (const auto& [id, pool] : state.pools) {
    pools_.insert(id);
    QueueDispatchMessage(
        dispatch::PoolUpdated{id, pool.queue_limit, pool.closed});
  }
  std::erase_if(pools_, [&](const PoolId& id) {
    if (state.pools.contains(id))
      return false;
    QueueDispatchMessage(dispatch::PoolRemoved{id});
    HandleActions(slot_holder_.RemovePool(now_, id));
    HandleActions(slot_allocator_.RemovePool(now_, id));
    return true;
  });
}

void EntryCore::ApplyHosts() {
  const FleetState& state = config_view_.state();
  std::vector<HostId> due_hosts = SoonDueHosts(state);
  hosts_due_for_drain_ = {due_hosts.begin(), due_hosts.end()};
  for (const auto& [id, host] : state.hosts) {
    Target& target = targets_[id];
    if (target.pool != host.pool) {
      if (!target.pool.empty())
        QueueDispatchMessage(dispatch::TargetRemoved{target.pool, id});
      target = Target{.pool = host.pool, .local = host.zone == options_.zone};
    }
    // Permission here depends on the host's phase only, because a host without
    // it counts as leaving until the next configuration. MaySend() also depends
    // on the registration and on time, so RefreshTarget() and each write check
    // it again.
    HandleActions(backend_.SetHost(
        now_, {.host = id,
               .pool = host.pool,
               .epoch = host.epoch,
               .permitted = host.phase == HostPhase::kActive}));
  }
  std::erase_if(targets_, [&](const auto& item) {
    if (state.hosts.contains(item.first))
      return false;
    QueueDispatchMessage(dispatch::TargetRemoved{item.second.pool, item.first});
    HandleActions(backend_.RemoveHost(now_, item.first));
    return true;
  });
}

void EntryCore::ApplySlots() {
  std::map<PoolId, std::vector<HostSlots>> slots;
  for (const auto& [id, host] : config_view_.state().hosts) {
    if (host.zone == options_.zone && host.phase == HostPhase::kActive)
      slots[host.pool].push_back({id, host.slots});
  }
  for (const PoolId& pool : pools_) {
    HandleActions(slot_holder_.SetPool(now_, pool, slots[pool]));
    HandleActions(slot_allocator_.SetPool(now_, pool, slots[pool]));
  }
}

void EntryCore::RefreshTarget(const HostId& id) {
  auto it = targets_.find(id);
  if (it == targets_.end())
    return;
  Target next = it->second;
  next.usable = config_view_.MaySend(now_, id) && backend_.usable(id);
  next.leaving_soon = hosts_due_for_drain_.contains(id);
  // The learned limit lets this process use slots that other entry processes
  // leave idle; slot grants alone react too slowly to shifting demand.
  next.limit =
      next.local
          ? std::min(
                backend_.ceiling(id),
                std::max(static_cast<int>(slot_holder_.share(next.pool, id)),
                         backend_.limit(id)))
          : std::min(kOtherZoneHostLimit, backend_.limit(id));
  if (next == it->second)
    return;
  it->second = next;
  QueueDispatchMessage(
      dispatch::TargetUpdated{.pool = next.pool,
                              .host = id,
                              .usable = next.usable,
                              .local_zone = next.local,
                              .limit = next.limit,
                              .leaving_soon = next.leaving_soon});
}

void EntryCore::RefreshTargets() {
  for (const auto& [id, target] : targets_)
    RefreshTarget(id);
}

void EntryCore::RefreshDemand() {
  for (const PoolId& pool : pools_) {
    HandleActions(slot_holder_.SetWanted(
        now_, pool, static_cast<uint32_t>(dispatcher_.demand(pool))));
  }
  for (const auto& [id, target] : targets_) {
    if (target.local) {
      slot_holder_.SetInUse(target.pool, id,
                            static_cast<uint32_t>(backend_.in_flight(id)));
    }
  }
}

std::vector<HostId> EntryCore::BusyHosts() const {
  std::vector<HostId> busy;
  for (const auto& [id, host] : config_view_.state().hosts) {
    if (host.phase == HostPhase::kDraining && backend_.in_flight(id) > 0)
      busy.push_back(id);
  }
  return busy;
}

void EntryCore::RefreshMembership() {
  config_view_.SetBusyHosts(BusyHosts());
  bool permitted = config_view_.MaySend(now_);
  config_view_.SetRegistered(member_.registered());
  // Without this, a process that has just become ready would refuse requests
  // until the next periodic refresh.
  if (!permitted && config_view_.MaySend(now_))
    RefreshTargets();
  member_.SetDrainAcknowledgement(config_view_.AcknowledgedVersion(now_),
                                  config_view_.AcknowledgedBusyHosts(now_));
  peers_.SetSelf(member_.record().incarnation, config_view_.version());
}

void EntryCore::HandleActions(std::vector<MemberAction> actions) {
  for (MemberAction& action : actions) {
    if (auto* call = std::get_if<StoreCall>(&action)) {
      actions_.push_back(TagWithOwner(CallOwner::kMember, std::move(*call)));
    } else if (std::holds_alternative<MemberSuperseded>(action)) {
      actions_.push_back(EndProcess{"a newer process has the same member id"});
    } else if (std::holds_alternative<MemberRegistered>(action)) {
      RecordTimelineEvent(EventKind::kMemberJoined, {});
      RefreshMembership();
    }
  }
}

void EntryCore::HandleActions(std::vector<PeerAction> actions) {
  for (PeerAction& action : actions) {
    if (auto* call = std::get_if<StoreCall>(&action)) {
      actions_.push_back(TagWithOwner(CallOwner::kPeers, std::move(*call)));
    } else if (auto* send = std::get_if<SendHeartbeat>(&action)) {
      actions_.push_back(
          SendPeerMessage{send->to, send->address, std::move(send->heartbeat)});
    } else {
      UpdateMembers();
    }
  }
}

void EntryCore::HandleActions(SlotActions actions) {
  for (SlotAction& action : actions) {
    if (auto* demand = std::get_if<SendDemand>(&action)) {
      if (demand->to == options_.member) {
        HandleActions(slot_allocator_.HandleDemand(now_, options_.member,
                                                   demand->demand));
      } else {
        SendTo(demand->to, std::move(demand->demand));
      }
    } else if (auto* grant = std::get_if<SendGrant>(&action)) {
      if (grant->to == options_.member) {
        HandleActions(
            slot_holder_.HandleGrant(now_, options_.member, grant->grant));
      } else {
        SendTo(grant->to, std::move(grant->grant));
      }
    } else {
      RefreshTarget(std::get<ShareChanged>(action).host);
    }
  }
}

// Updates the live entry processes: all of them are peers of the configuration
// view, and those of this zone share the zone's slots.
void EntryCore::UpdateMembers() {
  std::vector<ConfigPeer> config_peers;
  std::vector<MemberId> zone_members{options_.member};
  for (const PeerInfo* peer : peers_.LivePeers()) {
    const MemberRecord& record = peer->record;
    if (record.role != MemberRole::kEntry || record.id == options_.member)
      continue;
    config_peers.push_back({record.id, record.zone});
    if (record.zone == options_.zone)
      zone_members.push_back(record.id);
  }
  config_view_.SetPeers(std::move(config_peers));
  std::sort(zone_members.begin(), zone_members.end());
  if (zone_members == zone_members_)
    return;
  zone_members_ = std::move(zone_members);
  HandleActions(slot_holder_.SetMembers(now_, zone_members_));
  HandleActions(slot_allocator_.SetMembers(now_, zone_members_));
  RefreshTargets();
}

void EntryCore::SendTo(const MemberId& to, PeerMessage message) {
  const PeerInfo* peer = peers_.Find(to);
  if (peer == nullptr || peer->record.addresses.empty())
    return;
  actions_.push_back(
      SendPeerMessage{to, peer->record.addresses[0], std::move(message)});
}

void EntryCore::HandlePeerMessage(const MemberId& from,
                                  const PeerHello& hello) {
  MemberRecord record;
  record.id = from;
  record.zone = hello.zone;
  record.addresses = {hello.address};
  peers_.AddConfiguredPeer(record);
}

void EntryCore::HandlePeerMessage(const MemberId&, const Heartbeat& heartbeat) {
  HandleActions(peers_.Handle(now_, heartbeat));
}

void EntryCore::HandlePeerMessage(const MemberId& from,
                                  const ConfigPeerMessage& message) {
  HandleActions(config_view_.Handle(now_, from, message));
}

void EntryCore::HandlePeerMessage(const MemberId& from,
                                  const SlotDemand& demand) {
  HandleActions(slot_allocator_.HandleDemand(now_, from, demand));
}

void EntryCore::HandlePeerMessage(const MemberId& from,
                                  const SlotGrant& grant) {
  HandleActions(slot_holder_.HandleGrant(now_, from, grant));
}

void EntryCore::HandlePeerMessage(const MemberId&,
                                  const LeavingNotice& notice) {
  for (const HostId& id : notice.hosts) {
    if (!targets_.contains(id))
      continue;
    peer_leaving_until_[id] = now_ + kLeavingNoticeValidity;
    HandleActions(backend_.SetPeerLeaving(now_, id, true));
  }
}

EntryActions EntryCore::Handle(Time now,
                               WallMillis wall,
                               const MemberId& from,
                               HybridTime stamp,
                               const PeerMessage& message) {
  BeginCall(now, wall);
  clock_.Merge(wall, stamp);
  std::visit([this, &from](const auto& m) { HandlePeerMessage(from, m); },
             message);
  return EndCall();
}

EntryActions EntryCore::Handle(Time now,
                               WallMillis wall,
                               const StoreAnswer& answer) {
  BeginCall(now, wall);
  StoreAnswer inner{answer.tag / kCallOwnerCount, answer.reply};
  switch (static_cast<CallOwner>(answer.tag % kCallOwnerCount)) {
    case CallOwner::kConfig:
      HandleActions(config_view_.Handle(now_, inner));
      break;
    case CallOwner::kMember:
      HandleActions(member_.Handle(now_, inner));
      break;
    case CallOwner::kPeers:
      HandleActions(peers_.Handle(now_, inner));
      break;
    case CallOwner::kClaims:
      HandleActions(claims_.Handle(now_, wall_, inner));
      break;
  }
  return EndCall();
}

EntryActions EntryCore::Tick(Time now, WallMillis wall) {
  BeginCall(now, wall);
  if (zone_members_.empty())
    UpdateMembers();
  GiveUpOverdueSuspects();
  HandleActions(config_view_.Tick(now_));
  HandleActions(member_.Tick(now_));
  HandleActions(peers_.Tick(now_, clock_.Tick(wall_)));
  HandleActions(claims_.Tick(now_));
  HandleActions(backend_.Tick(now_));
  HandleActions(slot_holder_.Tick(now_));
  HandleActions(slot_allocator_.Tick(now_));
  QueueDispatchMessage(dispatch::Tick{});
  RunDispatcher();
  if (now_ >= next_target_refresh_) {
    next_target_refresh_ = now_ + kTargetRefreshPeriod;
    ExpirePeerLeaving();
    if (now_ >= next_leaving_notice_)
      SendLeavingNotices();
    RefreshTargets();
    RefreshDemand();
    RefreshMembership();
  }
  return EndCall();
}

Time EntryCore::next_wake() const {
  Time wake =
      std::min({config_view_.next_wake(), member_.next_wake(),
                peers_.next_wake(), claims_.next_wake(), backend_.next_wake(),
                dispatcher_.next_wake(), slot_holder_.next_wake(),
                slot_allocator_.next_wake(), next_target_refresh_});
  return suspect_requests_.empty()
             ? wake
             : std::min(wake, suspect_requests_.begin()->first);
}

EntryActions EntryCore::Drain(Time now, WallMillis wall, Time grace_deadline) {
  BeginCall(now, wall);
  draining_ = true;
  QueueDispatchMessage(dispatch::DrainStarted{grace_deadline});
  return EndCall();
}

EntryActions EntryCore::Leave(Time now, WallMillis wall) {
  BeginCall(now, wall);
  member_.Leave();
  HandleActions(member_.Tick(now_));
  return EndCall();
}

void EntryCore::RecordTimelineEvent(EventKind kind, TimelineEvent event) {
  event.kind = kind;
  event.stamp = clock_.Tick(wall_);
  if (event.config == 0)
    event.config = config_view_.version();
  actions_.push_back(RecordEvent{std::move(event)});
}

}  // namespace radishmoor
