#include "radishmoor/entry/entry_core.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include "radishmoor/base/hash.h"
#include "radishmoor/base/invariant.h"
#include "radishmoor/fleet/wave.h"

namespace radishmoor {
namespace {

// The permission to send to other zones ends with time, not with an event, so
// targets are compared with it this often. The check before each send is exact.
// Slot demand is refreshed with it.
constexpr Duration kRefreshPeriod = Milliseconds(200);

// Notices of leaving hosts are repeated, and hold for three periods.
constexpr Duration kNoticePeriod = Seconds(1);
constexpr Duration kNoticeTerm = Seconds(3);

// Requests that this process may have in flight on a host of another zone. Such
// hosts only take what the own zone cannot.
constexpr int kOtherZoneLimit = 1;

// Store calls of all slices share one tag space: the low bits name the slice.
enum class CallOwner : uint64_t { kConfig, kMember, kPeers, kClaims };
constexpr uint64_t kOwners = 4;

StoreCall Own(CallOwner owner, StoreCall call) {
  call.tag = call.tag * kOwners + static_cast<uint64_t>(owner);
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

ExchangeResult ResultOf(const BackendAnswer& answer) {
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

unsigned StatusOf(const dispatch::Finish& finish) {
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

EventKind EventOf(dispatch::Outcome outcome) {
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
      view_({.self = options_.member,
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
      holder_(options_.slots,
              options_.member,
              options_.zone,
              options_.incarnation),
      allocator_(options_.slots,
                 options_.member,
                 options_.zone,
                 options_.incarnation) {}

void EntryCore::Enter(Time now, WallMillis wall) {
  now_ = std::max(now_, now);
  wall_ = wall;
  actions_.clear();
}

EntryActions EntryCore::Exit() {
  // ready() follows the permission at once, so the targets must as well.
  if (view_.MaySend(now_) != may_send_) {
    may_send_ = !may_send_;
    RefreshTargets();
  }
  RunDispatch();
  return std::exchange(actions_, {});
}

// Callers.

EntryActions EntryCore::Request(Time now,
                                WallMillis wall,
                                const CallerRequest& request) {
  Enter(now, wall);
  ++counters_.requests;
  if (draining_) {
    Refuse(request.id, 503, "shutting-down", false, Seconds(1));
    return Exit();
  }
  if (!view_.ready()) {
    Refuse(request.id, 503, "no-configuration", false, Seconds(1));
    return Exit();
  }
  const PoolState* pool = view_.state().FindPool(request.service);
  if (pool == nullptr) {
    Refuse(request.id, 404, "unknown-service", false, Duration::zero());
    return Exit();
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
    Arrive(request.id, std::move(live));
    return Exit();
  }
  Time deadline = live.deadline;
  held_.emplace(request.id, std::move(live));
  Run(claims_.Begin(now_, wall_,
                    {request.id, request.key, request.body_hash, deadline}));
  return Exit();
}

void EntryCore::Arrive(RequestId id, LiveRequest request) {
  dispatch::RequestArrived arrived{.request = id,
                                   .pool = request.pool,
                                   .operation = request.operation,
                                   .idempotent = request.idempotent,
                                   .deadline = request.deadline,
                                   .content_hash = request.body_hash};
  live_.emplace(id, std::move(request));
  Dispatch(arrived);
}

EntryActions EntryCore::Cancel(Time now, WallMillis wall, RequestId request) {
  Enter(now, wall);
  if (held_.erase(request) > 0) {
    Run(claims_.Finish(now_, request, ClaimNotRun{}));
    actions_.push_back(DropRequest{request});
    return Exit();
  }
  if (live_.contains(request))
    Dispatch(dispatch::RequestCancelled{request});
  return Exit();
}

void EntryCore::Refuse(RequestId id,
                       unsigned status,
                       std::string_view reason,
                       bool may_have_run,
                       Duration retry_after) {
  actions_.push_back(RefuseRequest{id, status, std::string(reason),
                                   may_have_run, retry_after});
}

// Dispatch.

void EntryCore::Dispatch(const dispatch::Message& message) {
  pending_.push_back(message);
}

// Messages queue up, because a message that results from an action must not
// reach the dispatcher before the other actions of that call were carried out.
void EntryCore::RunDispatch() {
  while (!pending_.empty()) {
    dispatch::Message message = std::move(pending_.front());
    pending_.pop_front();
    for (const dispatch::Action& action : dispatcher_.Handle(now_, message))
      std::visit([this](const auto& a) { On(a); }, action);
  }
}

void EntryCore::On(const dispatch::SendAttempt& send) {
  LiveRequest& request = live_.at(send.request);
  request.attempt = send.attempt;
  request.host = send.host;
  request.connection = {};
  Run(backend_.Acquire(now_, {.host = send.host,
                              .request = send.request,
                              .job = request.body_hash,
                              .idempotent = request.idempotent,
                              .deadline = request.deadline}));
}

void EntryCore::On(const dispatch::AbortAttempt& abort) {
  LiveRequest* request = FindIn(live_, abort.request);
  if (request == nullptr)
    return;
  ConnectionId connection = std::exchange(request->connection, {});
  // The claim of a request that was written must not be released.
  if (connection.value != 0)
    request->may_have_run = true;
  bool timed_out = connection.value != 0 && now_ >= request->deadline;
  exchanges_.erase(connection);
  // A missed deadline is a sign of a silent connection; a cancellation or a
  // restart is not.
  Run(timed_out ? backend_.OnTimeout(now_, connection)
                : backend_.Abandon(now_, abort.host, abort.request));
}

void EntryCore::On(const dispatch::Finish& finish) {
  auto node = live_.extract(finish.request);
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
  Record(EventOf(finish.outcome), std::move(event));
  switch (finish.outcome) {
    case dispatch::Outcome::kCompleted:
      actions_.push_back(DeliverAnswer{finish.request, request.connection});
      return;
    case dispatch::Outcome::kCancelled:
      actions_.push_back(DropRequest{finish.request});
      return;
    case dispatch::Outcome::kRefused:
    case dispatch::Outcome::kUnknown:
      Refuse(finish.request, StatusOf(finish),
             dispatch::ReasonCode(finish.reason),
             finish.outcome == dispatch::Outcome::kUnknown, finish.retry_after);
      return;
  }
}

void EntryCore::ReportAttempt(RequestId id, dispatch::AttemptOutcome outcome) {
  LiveRequest* request = FindIn(live_, id);
  if (request == nullptr)
    return;
  request->may_have_run =
      request->may_have_run ||
      (outcome != dispatch::AttemptOutcome::kNotRun &&
       outcome != dispatch::AttemptOutcome::kFailedBeforeWrite);
  Dispatch(dispatch::AttemptResult{.request = id,
                                   .attempt = request->attempt,
                                   .host = request->host,
                                   .outcome = outcome});
}

// Backend connections.

EntryActions EntryCore::OnConnectionOpened(Time now,
                                           WallMillis wall,
                                           ConnectionId connection) {
  Enter(now, wall);
  Run(backend_.OnConnectionOpened(now_, connection));
  return Exit();
}

EntryActions EntryCore::OnConnectionOpenFailed(Time now,
                                               WallMillis wall,
                                               ConnectionId connection) {
  Enter(now, wall);
  Run(backend_.OnConnectionOpenFailed(now_, connection));
  return Exit();
}

EntryActions EntryCore::OnBackendAnswer(Time now,
                                        WallMillis wall,
                                        const BackendAnswer& answer) {
  Enter(now, wall);
  if (probes_.erase(answer.connection) > 0) {
    Run(backend_.OnProbeAnswered(now_, answer.connection, answer.leaving));
    return Exit();
  }
  auto node = exchanges_.extract(answer.connection);
  if (node.empty()) {
    ++counters_.unmatched_answers;
    return Exit();
  }
  ExchangeResult result = ResultOf(answer);
  Run(backend_.OnExchangeFinished(now_, {.connection = answer.connection,
                                         .result = result,
                                         .reusable = answer.reusable,
                                         .leaving = answer.leaving}));
  if (LiveRequest* request = FindIn(live_, node.mapped()))
    request->encoded = answer.encoded;
  ReportAttempt(node.mapped(), AttemptOutcomeOf(result));
  return Exit();
}

EntryActions EntryCore::OnConnectionEnded(Time now,
                                          WallMillis wall,
                                          ConnectionId connection) {
  Enter(now, wall);
  probes_.erase(connection);
  auto node = exchanges_.extract(connection);
  Run(backend_.OnConnectionClosed(now_, connection));
  if (!node.empty()) {
    if (LiveRequest* request = FindIn(live_, node.mapped()))
      request->connection = {};
    ReportAttempt(node.mapped(), dispatch::AttemptOutcome::kLost);
  }
  return Exit();
}

bool EntryCore::keyed(ConnectionId connection) const {
  auto exchange = exchanges_.find(connection);
  if (exchange == exchanges_.end())
    return false;
  auto it = live_.find(exchange->second);
  return it != live_.end() && it->second.keyed;
}

void EntryCore::Run(const BackendActions& actions) {
  for (const BackendAction& action : actions)
    std::visit([this](const auto& a) { On(a); }, action);
}

void EntryCore::On(const OpenConnection& open) {
  const HostState* host = view_.state().FindHost(open.host);
  if (host == nullptr) {
    Run(backend_.OnConnectionOpenFailed(now_, open.connection));
    return;
  }
  actions_.push_back(
      OpenBackendConnection{open.connection, open.host, host->address});
}

bool EntryCore::MayWrite(RequestId id, const LiveRequest& request) const {
  return now_ < request.deadline && view_.MaySend(now_, request.host) &&
         (!request.keyed || claims_.MaySend(now_, id));
}

void EntryCore::On(const StartExchange& start) {
  LiveRequest* request = FindIn(live_, start.request);
  if (request == nullptr || request->host != start.host) {
    Run(backend_.Abandon(now_, start.host, start.request));
    return;
  }
  if (!MayWrite(start.request, *request)) {
    ++counters_.writes_withheld;
    Run(backend_.Abandon(now_, start.host, start.request));
    ReportAttempt(start.request, dispatch::AttemptOutcome::kFailedBeforeWrite);
    return;
  }
  RADISHMOOR_INVARIANT("entry.one-exchange-per-connection",
                       !exchanges_.contains(start.connection));
  ++counters_.writes;
  request->connection = start.connection;
  request->written = now_;
  exchanges_[start.connection] = start.request;
  actions_.push_back(WriteBackendRequest{start.connection, start.request});
}

void EntryCore::On(const AcquireFailed& failed) {
  ReportAttempt(failed.request, dispatch::AttemptOutcome::kFailedBeforeWrite);
}

void EntryCore::On(const ProbeConnection& probe) {
  probes_.insert(probe.connection);
  actions_.push_back(WriteBackendProbe{probe.connection});
}

void EntryCore::On(const CloseConnection& close) {
  probes_.erase(close.connection);
  actions_.push_back(CloseBackendConnection{close.connection});
}

// An attempt that takes long is not yet a lost one: long work runs far beyond
// the usual run time. It is given up when a third of its time has passed, so
// that two more attempts fit.
void EntryCore::On(const AttemptSuspect& suspect) {
  LiveRequest* request = FindIn(live_, suspect.request);
  if (request == nullptr || !request->idempotent)
    return;
  Duration third = (request->deadline - request->written) / 3;
  suspects_.emplace(request->written + third, suspect.request);
}

void EntryCore::GiveUpSuspects() {
  while (!suspects_.empty() && suspects_.begin()->first <= now_) {
    auto [time, id] = *suspects_.begin();
    suspects_.erase(suspects_.begin());
    LiveRequest* request = FindIn(live_, id);
    if (request == nullptr || request->connection.value == 0)
      continue;
    // A later attempt of the same request has its own time.
    if (request->written + (request->deadline - request->written) / 3 > now_)
      continue;
    ConnectionId connection = std::exchange(request->connection, {});
    exchanges_.erase(connection);
    Run(backend_.OnTimeout(now_, connection));
    ReportAttempt(id, dispatch::AttemptOutcome::kLost);
  }
}

void EntryCore::On(const TargetChanged& changed) {
  RefreshTarget(changed.host);
}

void EntryCore::On(const Ejected& ejected) {
  TimelineEvent event;
  event.host = ejected.host;
  Record(EventKind::kBackendEjected, std::move(event));
}

void EntryCore::On(const Restored& restored) {
  TimelineEvent event;
  event.host = restored.host;
  Record(EventKind::kBackendRestored, std::move(event));
}

void EntryCore::On(const Leaving& leaving) {
  TimelineEvent event;
  event.host = leaving.host;
  Record(EventKind::kBackendLeaving, std::move(event));
  if (leaving.source == LeavingSource::kServer) {
    told_leaving_.insert(leaving.host);
    NotifyLeaving();
  }
}

// A server announces its leaving only in answers, so a process that has not
// asked it lately learns of it from its peers.
void EntryCore::NotifyLeaving() {
  next_notice_ = now_ + kNoticePeriod;
  std::erase_if(told_leaving_, [this](const HostId& id) {
    return !backend_.leaving(id, LeavingSource::kServer);
  });
  if (told_leaving_.empty())
    return;
  LeavingNotice notice{{told_leaving_.begin(), told_leaving_.end()}};
  for (const PeerInfo* peer : peers_.LivePeers()) {
    if (peer->record.role == MemberRole::kEntry)
      SendTo(peer->record.id, notice);
  }
}

void EntryCore::ExpirePeerLeaving() {
  std::erase_if(peer_leaving_, [this](const auto& item) {
    if (now_ < item.second)
      return false;
    Run(backend_.SetPeerLeaving(now_, item.first, false));
    return true;
  });
}

void EntryCore::On(const JobCharged&) {}

// Claims.

void EntryCore::Run(std::vector<ClaimAction> actions) {
  for (ClaimAction& action : actions) {
    if (auto* call = std::get_if<StoreCall>(&action)) {
      actions_.push_back(Own(CallOwner::kClaims, std::move(*call)));
    } else if (auto* granted = std::get_if<ClaimGranted>(&action)) {
      On(*granted);
    } else if (auto* replay = std::get_if<ClaimReplay>(&action)) {
      On(*replay);
    } else {
      On(std::get<ClaimRejected>(action));
    }
  }
}

void EntryCore::On(const ClaimGranted& granted) {
  auto node = held_.extract(granted.request);
  if (node.empty())
    return;
  Arrive(granted.request, std::move(node.mapped()));
}

void EntryCore::On(const ClaimReplay& replay) {
  held_.erase(replay.request);
  actions_.push_back(ReplayAnswer{replay.request, replay.answer});
}

void EntryCore::On(const ClaimRejected& rejected) {
  held_.erase(rejected.request);
  Refuse(rejected.request, static_cast<unsigned>(HttpStatus(rejected.reason)),
         ReasonCode(rejected.reason), rejected.may_have_run, Seconds(1));
}

void EntryCore::FinishClaim(RequestId id,
                            const LiveRequest& request,
                            dispatch::Outcome outcome) {
  bool sent = request.may_have_run || request.connection.value != 0;
  ClaimResult result = ClaimMayHaveRun{};
  if (outcome == dispatch::Outcome::kCompleted) {
    result = ClaimCompleted{request.encoded};
  } else if (outcome == dispatch::Outcome::kRefused ||
             (outcome == dispatch::Outcome::kCancelled && !sent)) {
    result = ClaimNotRun{};
  }
  Run(claims_.Finish(now_, id, std::move(result)));
}

// Configuration.

void EntryCore::Run(std::vector<ConfigAction> actions) {
  for (ConfigAction& action : actions) {
    if (auto* call = std::get_if<StoreCall>(&action)) {
      actions_.push_back(Own(CallOwner::kConfig, std::move(*call)));
    } else if (auto* send = std::get_if<SendConfigMessage>(&action)) {
      SendTo(send->to, std::move(send->message));
    } else {
      TimelineEvent event;
      event.config = std::get<ConfigInForce>(action).version;
      Record(EventKind::kConfigInForce, std::move(event));
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
  const FleetState& state = view_.state();
  for (const auto& [id, pool] : state.pools) {
    pools_.insert(id);
    Dispatch(dispatch::PoolUpdated{id, pool.queue_limit, pool.closed});
  }
  std::erase_if(pools_, [&](const PoolId& id) {
    if (state.pools.contains(id))
      return false;
    Dispatch(dispatch::PoolRemoved{id});
    Run(holder_.RemovePool(now_, id));
    Run(allocator_.RemovePool(now_, id));
    return true;
  });
}

void EntryCore::ApplyHosts() {
  const FleetState& state = view_.state();
  std::vector<HostId> due = SoonDueHosts(state);
  soon_due_ = {due.begin(), due.end()};
  for (const auto& [id, host] : state.hosts) {
    Target& target = targets_[id];
    if (target.pool != host.pool) {
      if (!target.pool.empty())
        Dispatch(dispatch::TargetRemoved{target.pool, id});
      target = Target{.pool = host.pool, .local = host.zone == options_.zone};
    }
    // Only the phase: a host without permission is leaving until the next
    // configuration. MaySend() also depends on the registration and on time,
    // and is asked anew in RefreshTarget() and before each write.
    Run(backend_.SetHost(now_,
                         {.host = id,
                          .pool = host.pool,
                          .epoch = host.epoch,
                          .permitted = host.phase == HostPhase::kActive}));
  }
  std::erase_if(targets_, [&](const auto& item) {
    if (state.hosts.contains(item.first))
      return false;
    Dispatch(dispatch::TargetRemoved{item.second.pool, item.first});
    Run(backend_.RemoveHost(now_, item.first));
    return true;
  });
}

void EntryCore::ApplySlots() {
  std::map<PoolId, std::vector<HostSlots>> slots;
  for (const auto& [id, host] : view_.state().hosts) {
    if (host.zone == options_.zone && host.phase == HostPhase::kActive)
      slots[host.pool].push_back({id, host.slots});
  }
  for (const PoolId& pool : pools_) {
    Run(holder_.SetPool(now_, pool, slots[pool]));
    Run(allocator_.SetPool(now_, pool, slots[pool]));
  }
}

void EntryCore::RefreshTarget(const HostId& id) {
  auto it = targets_.find(id);
  if (it == targets_.end())
    return;
  Target next = it->second;
  next.usable = view_.MaySend(now_, id) && backend_.usable(id);
  next.leaving_soon = soon_due_.contains(id);
  // The learned limit lets a process borrow slots that others leave idle; a
  // grant alone reacts too slowly to shifting demand (design 5.4).
  next.limit =
      next.local
          ? std::min(backend_.ceiling(id),
                     std::max(static_cast<int>(holder_.share(next.pool, id)),
                              backend_.limit(id)))
          : std::min(kOtherZoneLimit, backend_.limit(id));
  if (next == it->second)
    return;
  it->second = next;
  Dispatch(dispatch::TargetUpdated{.pool = next.pool,
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
    Run(holder_.SetWanted(now_, pool,
                          static_cast<uint32_t>(dispatcher_.demand(pool))));
  }
  for (const auto& [id, target] : targets_) {
    if (target.local) {
      holder_.SetInUse(target.pool, id,
                       static_cast<uint32_t>(backend_.in_flight(id)));
    }
  }
}

std::vector<HostId> EntryCore::BusyHosts() const {
  std::vector<HostId> busy;
  for (const auto& [id, host] : view_.state().hosts) {
    if (host.phase == HostPhase::kDraining && backend_.in_flight(id) > 0)
      busy.push_back(id);
  }
  return busy;
}

void EntryCore::RefreshMembership() {
  view_.SetBusyHosts(BusyHosts());
  bool permitted = view_.MaySend(now_);
  view_.SetRegistered(member_.registered());
  // Otherwise a process that is ready would refuse until the next refresh.
  if (!permitted && view_.MaySend(now_))
    RefreshTargets();
  member_.SetDrainAcknowledgement(view_.AcknowledgedVersion(now_),
                                  view_.AcknowledgedBusyHosts(now_));
  peers_.SetSelf(member_.record().incarnation, view_.version());
}

// Members and peers.

void EntryCore::Run(std::vector<MemberAction> actions) {
  for (MemberAction& action : actions) {
    if (auto* call = std::get_if<StoreCall>(&action)) {
      actions_.push_back(Own(CallOwner::kMember, std::move(*call)));
    } else if (std::holds_alternative<MemberSuperseded>(action)) {
      actions_.push_back(EndProcess{"a newer process has the same member id"});
    } else if (std::holds_alternative<MemberRegistered>(action)) {
      Record(EventKind::kMemberJoined, {});
      RefreshMembership();
    }
  }
}

void EntryCore::Run(std::vector<PeerAction> actions) {
  for (PeerAction& action : actions) {
    if (auto* call = std::get_if<StoreCall>(&action)) {
      actions_.push_back(Own(CallOwner::kPeers, std::move(*call)));
    } else if (auto* send = std::get_if<SendHeartbeat>(&action)) {
      actions_.push_back(
          SendPeerMessage{send->to, send->address, std::move(send->heartbeat)});
    } else {
      UpdateMembers();
    }
  }
}

void EntryCore::Run(SlotActions actions) {
  for (SlotAction& action : actions) {
    if (auto* demand = std::get_if<SendDemand>(&action)) {
      if (demand->to == options_.member) {
        Run(allocator_.HandleDemand(now_, options_.member, demand->demand));
      } else {
        SendTo(demand->to, std::move(demand->demand));
      }
    } else if (auto* grant = std::get_if<SendGrant>(&action)) {
      if (grant->to == options_.member) {
        Run(holder_.HandleGrant(now_, options_.member, grant->grant));
      } else {
        SendTo(grant->to, std::move(grant->grant));
      }
    } else {
      RefreshTarget(std::get<ShareChanged>(action).host);
    }
  }
}

// Live entry processes: all as peers of the view, those of the zone as sharers
// of its slots.
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
  view_.SetPeers(std::move(config_peers));
  std::sort(zone_members.begin(), zone_members.end());
  if (zone_members == zone_members_)
    return;
  zone_members_ = std::move(zone_members);
  Run(holder_.SetMembers(now_, zone_members_));
  Run(allocator_.SetMembers(now_, zone_members_));
  RefreshTargets();
}

void EntryCore::SendTo(const MemberId& to, PeerMessage message) {
  const PeerInfo* peer = peers_.Find(to);
  if (peer == nullptr || peer->record.addresses.empty())
    return;
  actions_.push_back(
      SendPeerMessage{to, peer->record.addresses[0], std::move(message)});
}

void EntryCore::OnPeer(const MemberId& from, const PeerHello& hello) {
  MemberRecord record;
  record.id = from;
  record.zone = hello.zone;
  record.addresses = {hello.address};
  peers_.AddConfiguredPeer(record);
}

void EntryCore::OnPeer(const MemberId&, const Heartbeat& heartbeat) {
  Run(peers_.Handle(now_, heartbeat));
}

void EntryCore::OnPeer(const MemberId& from, const ConfigPeerMessage& message) {
  Run(view_.Handle(now_, from, message));
}

void EntryCore::OnPeer(const MemberId& from, const SlotDemand& demand) {
  Run(allocator_.HandleDemand(now_, from, demand));
}

void EntryCore::OnPeer(const MemberId& from, const SlotGrant& grant) {
  Run(holder_.HandleGrant(now_, from, grant));
}

void EntryCore::OnPeer(const MemberId&, const LeavingNotice& notice) {
  for (const HostId& id : notice.hosts) {
    if (!targets_.contains(id))
      continue;
    peer_leaving_[id] = now_ + kNoticeTerm;
    Run(backend_.SetPeerLeaving(now_, id, true));
  }
}

EntryActions EntryCore::Handle(Time now,
                               WallMillis wall,
                               const MemberId& from,
                               HybridTime stamp,
                               const PeerMessage& message) {
  Enter(now, wall);
  clock_.Merge(wall, stamp);
  std::visit([this, &from](const auto& m) { OnPeer(from, m); }, message);
  return Exit();
}

EntryActions EntryCore::Handle(Time now,
                               WallMillis wall,
                               const StoreAnswer& answer) {
  Enter(now, wall);
  StoreAnswer inner{answer.tag / kOwners, answer.reply};
  switch (static_cast<CallOwner>(answer.tag % kOwners)) {
    case CallOwner::kConfig:
      Run(view_.Handle(now_, inner));
      break;
    case CallOwner::kMember:
      Run(member_.Handle(now_, inner));
      break;
    case CallOwner::kPeers:
      Run(peers_.Handle(now_, inner));
      break;
    case CallOwner::kClaims:
      Run(claims_.Handle(now_, wall_, inner));
      break;
  }
  return Exit();
}

EntryActions EntryCore::Tick(Time now, WallMillis wall) {
  Enter(now, wall);
  if (zone_members_.empty())
    UpdateMembers();
  GiveUpSuspects();
  Run(view_.Tick(now_));
  Run(member_.Tick(now_));
  Run(peers_.Tick(now_, clock_.Tick(wall_)));
  Run(claims_.Tick(now_));
  Run(backend_.Tick(now_));
  Run(holder_.Tick(now_));
  Run(allocator_.Tick(now_));
  Dispatch(dispatch::Tick{});
  RunDispatch();
  if (now_ >= next_refresh_) {
    next_refresh_ = now_ + kRefreshPeriod;
    ExpirePeerLeaving();
    if (now_ >= next_notice_)
      NotifyLeaving();
    RefreshTargets();
    RefreshDemand();
    RefreshMembership();
  }
  return Exit();
}

Time EntryCore::next_wake() const {
  Time wake = std::min(
      {view_.next_wake(), member_.next_wake(), peers_.next_wake(),
       claims_.next_wake(), backend_.next_wake(), dispatcher_.next_wake(),
       holder_.next_wake(), allocator_.next_wake(), next_refresh_});
  return suspects_.empty() ? wake : std::min(wake, suspects_.begin()->first);
}

EntryActions EntryCore::Drain(Time now, WallMillis wall, Time grace_deadline) {
  Enter(now, wall);
  draining_ = true;
  Dispatch(dispatch::DrainStarted{grace_deadline});
  return Exit();
}

EntryActions EntryCore::Leave(Time now, WallMillis wall) {
  Enter(now, wall);
  member_.Leave();
  Run(member_.Tick(now_));
  return Exit();
}

void EntryCore::Record(EventKind kind, TimelineEvent event) {
  event.kind = kind;
  event.stamp = clock_.Tick(wall_);
  if (event.config == 0)
    event.config = view_.version();
  actions_.push_back(RecordEvent{std::move(event)});
}

}  // namespace radishmoor
