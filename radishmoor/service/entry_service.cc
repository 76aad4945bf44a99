#include "radishmoor/service/entry_service.h"

#include <boost/json.hpp>
#include <string>
#include <unordered_map>
#include <utility>

#include "radishmoor/base/hash.h"
#include "radishmoor/entry/entry_core.h"
#include "radishmoor/net/answer_codec.h"
#include "radishmoor/net/event_loop.h"
#include "radishmoor/net/http_client.h"
#include "radishmoor/net/http_server.h"
#include "radishmoor/net/peer_transport.h"
#include "radishmoor/net/store_client.h"
#include "radishmoor/ops/log.h"
#include "radishmoor/ops/metrics.h"
#include "radishmoor/ops/program_settings.h"
#include "radishmoor/service/admin_server.h"
#include "radishmoor/service/endpoints.h"
#include "radishmoor/service/http_rules.h"
#include "radishmoor/service/timeline_recorder.h"

namespace radishmoor {
namespace {

constexpr Duration kStoreTimeout = Seconds(2);
// Time for removing the member row and writing the timeline after the last
// request has ended. The process then ends even if the store has not answered.
constexpr Duration kLeaveTimeout = Seconds(1);
constexpr Duration kDrainCheckPeriod = Milliseconds(20);
constexpr Duration kSeedHelloPeriod = Seconds(5);

HttpServerLimits HttpLimitsOf(const EntrySettings& settings) {
  HttpServerLimits limits;
  limits.max_header_bytes = static_cast<uint32_t>(settings.max_header_bytes);
  limits.max_body_bytes = static_cast<uint32_t>(settings.max_body_bytes);
  limits.max_connections =
      static_cast<uint32_t>(settings.max_caller_connections);
  limits.read_timeout = settings.request_read_timeout;
  return limits;
}

HttpResponse BadRequestResponse(unsigned status, std::string reason) {
  return RefusalResponse({.status = status, .reason = std::move(reason)});
}

std::string ReasonOfStatus(unsigned status) {
  switch (status) {
    case 413:
      return "body-too-large";
    case 431:
      return "headers-too-large";
    default:
      return "malformed-http";
  }
}

}  // namespace

class EntryService::Impl {
 public:
  Impl(EventLoop& loop, const EntrySettings& settings);

  void Start();
  void Shutdown();

  Endpoint caller_endpoint;
  Endpoint admin_endpoint;
  Endpoint peer_endpoint;

 private:
  // A caller's request whose response has not been sent yet.
  struct PendingRequest {
    ExchangeId exchange = 0;
    HttpRequest request;
    PoolId service;
    Time arrived_at;
  };

  void OnRequest(ExchangeId exchange, HttpRequest request);
  void OnAbandoned(ExchangeId exchange);
  void OnBackendResponse(ConnectionId id, HttpResponse response, bool reusable);
  void OnPeerMessage(const PeerEnvelope& envelope);

  // Carries out what EntryCore returned and arms the timer for its next
  // wake-up.
  void PerformAll(EntryActions actions);
  void Perform(const OpenBackendConnection& open);
  void Perform(const WriteBackendRequest& write);
  void Perform(const WriteBackendProbe& probe);
  void Perform(const CloseBackendConnection& close);
  void Perform(const DeliverAnswer& deliver);
  void Perform(const ReplayAnswer& replay);
  void Perform(const RefuseRequest& refuse);
  void Perform(const DropRequest& drop);
  void Perform(const StoreCall& call);
  void Perform(const SendPeerMessage& send);
  void Perform(const RecordEvent& record);
  void Perform(const EndProcess& end);

  void Respond(RequestId id, HttpResponse response);
  void Tick();
  void SendHelloToSeedPeers();
  void CheckDrained();
  std::string MetricsPage();
  std::string StatusPage() const;

  EventLoop& loop_;
  EntrySettings settings_;
  HttpServer caller_http_server_;
  AdminServer admin_;
  HttpClient backend_http_client_;
  StoreClient store_;
  PeerTransport peer_transport_;
  Metrics metrics_;
  Histogram latency_;
  std::unique_ptr<TimelineRecorder> timeline_;
  std::unique_ptr<EntryCore> core_;

  uint64_t next_request_ = 0;
  std::unordered_map<RequestId, PendingRequest> pending_requests_;
  std::unordered_map<ExchangeId, RequestId> request_by_exchange_;
  // Connection and content of the response that OnBackendResponse() is passing
  // to the core; empty at other times.
  ConnectionId response_connection_;
  HttpResponse response_;

  WakeTimer wake_;
  bool shutting_down_ = false;
  bool leaving_ = false;
};

EntryService::Impl::Impl(EventLoop& loop, const EntrySettings& settings)
    : loop_(loop),
      settings_(settings),
      caller_http_server_(
          loop,
          HttpLimitsOf(settings),
          {.on_request =
               [this](ExchangeId id, HttpRequest request) {
                 OnRequest(id, std::move(request));
               },
           .on_abandoned = [this](ExchangeId id) { OnAbandoned(id); },
           .on_bad_input =
               [](unsigned status, const std::string&) {
                 return BadRequestResponse(status, ReasonOfStatus(status));
               }}),
      admin_(loop,
             {.ready = [this] { return core_->ready() && !shutting_down_; },
              .metrics = [this] { return MetricsPage(); },
              .timeline = [this] { return timeline_->EventsAsJson(); },
              .status = [this] { return StatusPage(); }}),
      backend_http_client_(
          loop,
          {.on_opened =
               [this](ConnectionId id) {
                 PerformAll(core_->OnConnectionOpened(loop_.now(),
                                                      loop_.wall_now(), id));
               },
           .on_open_failed =
               [this](ConnectionId id, const std::string&) {
                 PerformAll(core_->OnConnectionOpenFailed(
                     loop_.now(), loop_.wall_now(), id));
               },
           .on_response =
               [this](ConnectionId id, HttpResponse response, bool reusable) {
                 OnBackendResponse(id, std::move(response), reusable);
               },
           .on_exchange_failed =
               [this](ConnectionId id, const std::string&) {
                 PerformAll(core_->OnConnectionEnded(loop_.now(),
                                                     loop_.wall_now(), id));
               },
           .on_closed =
               [this](ConnectionId id) {
                 PerformAll(core_->OnConnectionEnded(loop_.now(),
                                                     loop_.wall_now(), id));
               }}),
      store_(loop, ToEndpoint(settings.platform_address), kStoreTimeout),
      peer_transport_(loop,
                      [this](const PeerEnvelope& e) { OnPeerMessage(e); }),
      latency_(metrics_.AddHistogram("radishmoor_request_seconds",
                                     "Time from arrival to response.")),
      wake_(loop, [this] { Tick(); }) {}

void EntryService::Impl::Start() {
  peer_endpoint = peer_transport_.Listen(ToEndpoint(settings_.peer_address));
  admin_endpoint = admin_.Listen(ToEndpoint(settings_.admin_address));
  EntryOptions options;
  options.member = settings_.member;
  options.zone = settings_.zone;
  options.host = settings_.host_name;
  options.host_instance = settings_.host_instance;
  options.incarnation = {static_cast<uint64_t>(loop_.wall_now())};
  options.peer_address = FormatEndpoint(peer_endpoint);
  options.admin_address = FormatEndpoint(admin_endpoint);
  options.seed = StableHash(settings_.member.str(), options.incarnation.value);
  options.dispatch.seed = options.seed;
  options.dispatch.policy = dispatch::RestartLong{};
  timeline_ = std::make_unique<TimelineRecorder>(
      loop_, store_, options.member, options.incarnation,
      settings_.timeline_ring_size, settings_.timeline_flush_period);
  uint64_t seed = options.seed;
  core_ = std::make_unique<EntryCore>(std::move(options));
  // Request ids are unique across members and restarts with high probability.
  // They stay below 2^63 because radishmoorctl takes them as signed integers.
  next_request_ = (seed & 0x7fff'ffff) << 32;
  caller_endpoint =
      caller_http_server_.Listen(ToEndpoint(settings_.listen_address));
  LogInfo("process-started", {{"member", settings_.member.str()},
                              {"zone", settings_.zone.str()},
                              {"callers", FormatEndpoint(caller_endpoint)},
                              {"admin", FormatEndpoint(admin_endpoint)},
                              {"peers", FormatEndpoint(peer_endpoint)}});
  SendHelloToSeedPeers();
  Tick();
}

void EntryService::Impl::SendHelloToSeedPeers() {
  PeerEnvelope hello{settings_.member, core_->Stamp(loop_.wall_now()),
                     PeerHello{settings_.member, settings_.zone,
                               FormatEndpoint(peer_endpoint)}};
  for (const SocketAddress& seed : settings_.seed_peers)
    peer_transport_.Send(ToEndpoint(seed), hello);
  if (!settings_.seed_peers.empty())
    loop_.RunAfter(kSeedHelloPeriod, [this] { SendHelloToSeedPeers(); });
}

void EntryService::Impl::OnRequest(ExchangeId exchange, HttpRequest request) {
  RequestId id{next_request_++};
  auto read = ReadCallerRequest(id, request);
  if (auto* bad = std::get_if<BadRequest>(&read)) {
    caller_http_server_.Respond(exchange,
                                BadRequestResponse(bad->status, bad->reason));
    return;
  }
  const auto& caller = std::get<CallerRequest>(read);
  request_by_exchange_[exchange] = id;
  pending_requests_[id] = {exchange, std::move(request), caller.service,
                           loop_.now()};
  PerformAll(core_->Request(loop_.now(), loop_.wall_now(), caller));
}

void EntryService::Impl::OnAbandoned(ExchangeId exchange) {
  auto it = request_by_exchange_.find(exchange);
  if (it != request_by_exchange_.end())
    PerformAll(core_->Cancel(loop_.now(), loop_.wall_now(), it->second));
}

void EntryService::Impl::Respond(RequestId id, HttpResponse response) {
  auto node = pending_requests_.extract(id);
  if (node.empty())
    return;
  const PendingRequest& pending = node.mapped();
  latency_.Record(ToSeconds(loop_.now() - pending.arrived_at));
  request_by_exchange_.erase(pending.exchange);
  response.headers.emplace_back("Radishmoor-Request", std::to_string(id.value));
  caller_http_server_.Respond(pending.exchange, std::move(response));
}

void EntryService::Impl::Perform(const DeliverAnswer& deliver) {
  if (deliver.connection != response_connection_) {
    Perform(RefuseRequest{deliver.request, 502, "answer-lost", true, {}});
    return;
  }
  Respond(deliver.request, ForwardedAnswer(std::move(response_)));
}

void EntryService::Impl::Perform(const ReplayAnswer& replay) {
  auto answer = DecodeAnswer(replay.encoded);
  if (!answer) {
    Perform(RefuseRequest{replay.request, 409, "duplicate-unknown", true, {}});
    return;
  }
  Respond(replay.request, ForwardedAnswer(std::move(*answer)));
}

void EntryService::Impl::Perform(const RefuseRequest& refuse) {
  Respond(refuse.request, RefusalResponse(refuse));
}

void EntryService::Impl::Perform(const DropRequest& drop) {
  auto node = pending_requests_.extract(drop.request);
  if (!node.empty())
    request_by_exchange_.erase(node.mapped().exchange);
}

void EntryService::Impl::OnBackendResponse(ConnectionId id,
                                           HttpResponse response,
                                           bool reusable) {
  BackendAnswer answer;
  answer.connection = id;
  answer.status = response.status;
  answer.not_run = FindHeader(response.headers, "Radishmoor-Run") == "not-run";
  answer.leaving =
      FindHeader(response.headers, "Radishmoor-Leaving").has_value();
  answer.reusable = reusable;
  if (core_->keyed(id))
    answer.encoded = EncodeAnswer(response);
  response_connection_ = id;
  response_ = std::move(response);
  PerformAll(core_->OnBackendAnswer(loop_.now(), loop_.wall_now(), answer));
  response_connection_ = {};
  response_ = {};
}

void EntryService::Impl::Perform(const OpenBackendConnection& open) {
  auto endpoint = ParseEndpoint(open.address);
  if (!endpoint) {
    loop_.Post([this, id = open.connection] {
      PerformAll(
          core_->OnConnectionOpenFailed(loop_.now(), loop_.wall_now(), id));
    });
    return;
  }
  backend_http_client_.Open(open.connection, *endpoint);
}

void EntryService::Impl::Perform(const WriteBackendRequest& write) {
  const PendingRequest& pending = pending_requests_.at(write.request);
  bool sent = backend_http_client_.Send(
      write.connection,
      ForwardedRequest(pending.request, pending.service.str()));
  if (!sent) {
    loop_.Post([this, id = write.connection] {
      PerformAll(core_->OnConnectionEnded(loop_.now(), loop_.wall_now(), id));
    });
  }
}

void EntryService::Impl::Perform(const WriteBackendProbe& probe) {
  backend_http_client_.Send(probe.connection,
                            {"OPTIONS", "*", {{"Host", "-"}}, ""});
}

void EntryService::Impl::Perform(const CloseBackendConnection& close) {
  backend_http_client_.Close(close.connection);
}

void EntryService::Impl::Perform(const StoreCall& call) {
  store_.Execute(call.request, [this, tag = call.tag](StoreReply reply) {
    PerformAll(core_->Handle(loop_.now(), loop_.wall_now(),
                             StoreAnswer{tag, std::move(reply)}));
  });
}

void EntryService::Impl::Perform(const SendPeerMessage& send) {
  auto endpoint = ParseEndpoint(send.address);
  if (!endpoint)
    return;
  peer_transport_.Send(
      *endpoint,
      {settings_.member, core_->Stamp(loop_.wall_now()), send.message});
}

void EntryService::Impl::OnPeerMessage(const PeerEnvelope& envelope) {
  if (envelope.sender == settings_.member)
    return;
  PerformAll(core_->Handle(loop_.now(), loop_.wall_now(), envelope.sender,
                           envelope.stamp, envelope.message));
}

// Logs state events. Request events go to the timeline only, as there are too
// many of them for the log.
void EntryService::Impl::Perform(const RecordEvent& record) {
  const TimelineEvent& event = record.event;
  bool is_request_event = event.request.value != 0;
  if (!is_request_event) {
    LogInfo(EventName(event.kind), {{"host", event.host.str()},
                                    {"config", event.config},
                                    {"detail", event.detail}});
  }
  timeline_->Add(event);
}

void EntryService::Impl::Perform(const EndProcess& end) {
  LogError("process-superseded", {{"detail", end.why}});
  Shutdown();
}

void EntryService::Impl::PerformAll(EntryActions actions) {
  for (const EntryAction& action : actions)
    std::visit([this](const auto& a) { Perform(a); }, action);
  wake_.Arm(core_->next_wake());
}

void EntryService::Impl::Tick() {
  PerformAll(core_->Tick(loop_.now(), loop_.wall_now()));
}

void EntryService::Impl::Shutdown() {
  if (shutting_down_)
    return;
  shutting_down_ = true;
  LogInfo("process-stopping", {{"live", pending_requests_.size()}});
  caller_http_server_.StopAccepting();
  PerformAll(core_->Drain(loop_.now(), loop_.wall_now(),
                          loop_.now() + settings_.grace_period));
  CheckDrained();
}

void EntryService::Impl::CheckDrained() {
  bool done = core_->drained() && caller_http_server_.exchange_count() == 0 &&
              caller_http_server_.connection_count() == 0;
  if (!done || leaving_) {
    loop_.RunAfter(kDrainCheckPeriod, [this] { CheckDrained(); });
    return;
  }
  leaving_ = true;
  timeline_->Flush();
  PerformAll(core_->Leave(loop_.now(), loop_.wall_now()));
  loop_.RunAfter(kLeaveTimeout, [this] {
    LogInfo("process-stopped", {});
    loop_.Stop();
  });
}

std::string EntryService::Impl::MetricsPage() {
  auto set = [this](const char* name, const char* help, double value,
                    const Labels& labels = {}) {
    metrics_.AddGauge(name, help, labels).Set(value);
  };
  const auto& dispatch = core_->dispatcher().counters();
  constexpr const char* kOutcomeNames[] = {"completed", "refused", "unknown",
                                           "cancelled"};
  for (size_t i = 0; i < dispatch.outcomes.size(); ++i) {
    set("radishmoor_outcomes", "Requests by outcome.",
        static_cast<double>(dispatch.outcomes[i]),
        {{"outcome", kOutcomeNames[i]}});
  }
  set("radishmoor_requests_live", "Requests without an outcome.",
      static_cast<double>(core_->dispatcher().live()));
  set("radishmoor_retries", "Attempts after the first.",
      static_cast<double>(dispatch.retries));
  set("radishmoor_config_version", "Configuration version in force.",
      static_cast<double>(core_->view().version()));
  set("radishmoor_backend_ejections", "Backend servers ejected.",
      static_cast<double>(core_->backend().counters().ejections));
  set("radishmoor_backend_attempt_timeouts", "Attempts that timed out.",
      static_cast<double>(core_->backend().counters().attempt_timeouts));
  set("radishmoor_writes_withheld", "Sends stopped by the last check.",
      static_cast<double>(core_->counters().writes_withheld));
  set("radishmoor_claim_transactions", "Claim transactions.",
      static_cast<double>(core_->claims().counters().transactions));
  set("radishmoor_store_requests", "Requests to the platform.",
      static_cast<double>(store_.counters().requests));
  set("radishmoor_store_writes", "Writes to the platform.",
      static_cast<double>(store_.counters().writes));
  set("radishmoor_store_bytes_sent", "Bytes sent to the platform.",
      static_cast<double>(store_.counters().bytes_sent));
  set("radishmoor_store_bytes_received", "Bytes received from the platform.",
      static_cast<double>(store_.counters().bytes_received));
  set("radishmoor_peer_messages", "Messages between processes.",
      static_cast<double>(peer_transport_.counters().sent),
      {{"direction", "sent"}});
  set("radishmoor_peer_messages", "Messages between processes.",
      static_cast<double>(peer_transport_.counters().received),
      {{"direction", "received"}});
  set("radishmoor_store_unknown", "Store requests without an answer.",
      static_cast<double>(store_.counters().unknown));
  set("radishmoor_peer_bytes", "Bytes between processes.",
      static_cast<double>(peer_transport_.counters().bytes_sent),
      {{"direction", "sent"}});
  set("radishmoor_peer_bytes", "Bytes between processes.",
      static_cast<double>(peer_transport_.counters().bytes_received),
      {{"direction", "received"}});
  set("radishmoor_timeline_dropped", "Events overwritten before a flush.",
      static_cast<double>(timeline_->dropped()));
  return metrics_.Exposition();
}

std::string EntryService::Impl::StatusPage() const {
  boost::json::object status{
      {"member", settings_.member.str()},
      {"zone", settings_.zone.str()},
      {"incarnation", core_->member().record().incarnation.value},
      {"ready", core_->ready()},
      {"registered", core_->member().registered()},
      {"in_force", core_->view().version()},
      {"live_requests", core_->dispatcher().live()}};
  return boost::json::serialize(status) + "\n";
}

EntryService::EntryService(EventLoop& loop, const EntrySettings& settings)
    : impl_(std::make_unique<Impl>(loop, settings)) {}

EntryService::~EntryService() = default;

void EntryService::Start() {
  impl_->Start();
}

void EntryService::Shutdown() {
  impl_->Shutdown();
}

std::string EntryService::Addresses() const {
  return "listening " + FormatEndpoint(impl_->caller_endpoint) + " admin " +
         FormatEndpoint(impl_->admin_endpoint) + " peer " +
         FormatEndpoint(impl_->peer_endpoint);
}

}  // namespace radishmoor
