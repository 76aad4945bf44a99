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
// After the last request has ended, the member row is removed; a store that is
// down must not delay the end of the process further.
constexpr Duration kLeaveTimeout = Seconds(1);
constexpr Duration kDrainCheckPeriod = Milliseconds(20);
constexpr Duration kSeedPeriod = Seconds(5);

HttpServerLimits LimitsOf(const EntrySettings& settings) {
  HttpServerLimits limits;
  limits.max_header_bytes = static_cast<uint32_t>(settings.max_header_bytes);
  limits.max_body_bytes = static_cast<uint32_t>(settings.max_body_bytes);
  limits.max_connections =
      static_cast<uint32_t>(settings.max_caller_connections);
  limits.read_timeout = settings.request_read_timeout;
  return limits;
}

HttpResponse BadInput(unsigned status, std::string reason) {
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
  // A request of a caller that has no response yet.
  struct Caller {
    ExchangeId exchange = 0;
    HttpRequest request;
    PoolId service;
    Time arrived;
  };

  void OnRequest(ExchangeId exchange, HttpRequest request);
  void OnAbandoned(ExchangeId exchange);
  void OnBackendResponse(ConnectionId id, HttpResponse response, bool reusable);
  void OnPeer(const PeerEnvelope& envelope);

  void Run(EntryActions actions);
  void On(const OpenBackendConnection& open);
  void On(const WriteBackendRequest& write);
  void On(const WriteBackendProbe& probe);
  void On(const CloseBackendConnection& close);
  void On(const DeliverAnswer& deliver);
  void On(const ReplayAnswer& replay);
  void On(const RefuseRequest& refuse);
  void On(const DropRequest& drop);
  void On(const StoreCall& call);
  void On(const SendPeerMessage& send);
  void On(const RecordEvent& record);
  void On(const EndProcess& end);

  void Respond(RequestId id, HttpResponse response);
  void Tick();
  void GreetSeeds();
  void CheckDrained();
  std::string MetricsPage();
  std::string StatusPage() const;

  EventLoop& loop_;
  EntrySettings settings_;
  HttpServer callers_;
  AdminServer admin_;
  HttpClient backends_;
  StoreClient store_;
  PeerTransport peers_;
  Metrics metrics_;
  Histogram latency_;
  std::unique_ptr<TimelineRecorder> timeline_;
  std::unique_ptr<EntryCore> core_;

  uint64_t next_request_ = 0;
  std::unordered_map<RequestId, Caller> requests_;
  std::unordered_map<ExchangeId, RequestId> by_exchange_;
  // The response that the current call of the core is about.
  ConnectionId response_connection_;
  HttpResponse response_;

  WakeTimer wake_;
  bool shutting_down_ = false;
  bool leaving_ = false;
};

EntryService::Impl::Impl(EventLoop& loop, const EntrySettings& settings)
    : loop_(loop),
      settings_(settings),
      callers_(loop,
               LimitsOf(settings),
               {.on_request =
                    [this](ExchangeId id, HttpRequest request) {
                      OnRequest(id, std::move(request));
                    },
                .on_abandoned = [this](ExchangeId id) { OnAbandoned(id); },
                .on_bad_input =
                    [](unsigned status, const std::string&) {
                      return BadInput(status, ReasonOfStatus(status));
                    }}),
      admin_(loop,
             {.ready = [this] { return core_->ready() && !shutting_down_; },
              .metrics = [this] { return MetricsPage(); },
              .timeline = [this] { return timeline_->Page(); },
              .status = [this] { return StatusPage(); }}),
      backends_(
          loop,
          {.on_opened =
               [this](ConnectionId id) {
                 Run(core_->OnConnectionOpened(loop_.now(), loop_.wall_now(),
                                               id));
               },
           .on_open_failed =
               [this](ConnectionId id, const std::string&) {
                 Run(core_->OnConnectionOpenFailed(loop_.now(),
                                                   loop_.wall_now(), id));
               },
           .on_response =
               [this](ConnectionId id, HttpResponse response, bool reusable) {
                 OnBackendResponse(id, std::move(response), reusable);
               },
           .on_exchange_failed =
               [this](ConnectionId id, const std::string&) {
                 Run(core_->OnConnectionEnded(loop_.now(), loop_.wall_now(),
                                              id));
               },
           .on_closed =
               [this](ConnectionId id) {
                 Run(core_->OnConnectionEnded(loop_.now(), loop_.wall_now(),
                                              id));
               }}),
      store_(loop, EndpointOf(settings.platform_address), kStoreTimeout),
      peers_(loop, [this](const PeerEnvelope& e) { OnPeer(e); }),
      latency_(metrics_.AddHistogram("radishmoor_request_seconds",
                                     "Time from arrival to response.")),
      wake_(loop, [this] { Tick(); }) {}

void EntryService::Impl::Start() {
  peer_endpoint = peers_.Listen(EndpointOf(settings_.peer_address));
  admin_endpoint = admin_.Listen(EndpointOf(settings_.admin_address));
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
  // Request ids are unique over members and restarts with high probability, and
  // fit into a signed number for radishmoorctl.
  next_request_ = (seed & 0x7fff'ffff) << 32;
  caller_endpoint = callers_.Listen(EndpointOf(settings_.listen_address));
  LogInfo("process-started", {{"member", settings_.member.str()},
                              {"zone", settings_.zone.str()},
                              {"callers", FormatEndpoint(caller_endpoint)},
                              {"admin", FormatEndpoint(admin_endpoint)},
                              {"peers", FormatEndpoint(peer_endpoint)}});
  GreetSeeds();
  Tick();
}

void EntryService::Impl::GreetSeeds() {
  PeerEnvelope hello{settings_.member, core_->Stamp(loop_.wall_now()),
                     PeerHello{settings_.member, settings_.zone,
                               FormatEndpoint(peer_endpoint)}};
  for (const SocketAddress& seed : settings_.seed_peers)
    peers_.Send(EndpointOf(seed), hello);
  if (!settings_.seed_peers.empty())
    loop_.RunAfter(kSeedPeriod, [this] { GreetSeeds(); });
}

// Callers.

void EntryService::Impl::OnRequest(ExchangeId exchange, HttpRequest request) {
  RequestId id{next_request_++};
  auto read = ReadCallerRequest(id, request);
  if (auto* bad = std::get_if<BadRequest>(&read)) {
    callers_.Respond(exchange, BadInput(bad->status, bad->reason));
    return;
  }
  const auto& caller = std::get<CallerRequest>(read);
  by_exchange_[exchange] = id;
  requests_[id] = {exchange, std::move(request), caller.service, loop_.now()};
  Run(core_->Request(loop_.now(), loop_.wall_now(), caller));
}

void EntryService::Impl::OnAbandoned(ExchangeId exchange) {
  auto it = by_exchange_.find(exchange);
  if (it != by_exchange_.end())
    Run(core_->Cancel(loop_.now(), loop_.wall_now(), it->second));
}

void EntryService::Impl::Respond(RequestId id, HttpResponse response) {
  auto node = requests_.extract(id);
  if (node.empty())
    return;
  const Caller& caller = node.mapped();
  latency_.Record(ToSeconds(loop_.now() - caller.arrived));
  by_exchange_.erase(caller.exchange);
  response.headers.emplace_back("Radishmoor-Request", std::to_string(id.value));
  callers_.Respond(caller.exchange, std::move(response));
}

void EntryService::Impl::On(const DeliverAnswer& deliver) {
  if (deliver.connection != response_connection_) {
    On(RefuseRequest{deliver.request, 502, "answer-lost", true, {}});
    return;
  }
  Respond(deliver.request, ForwardedAnswer(std::move(response_)));
}

void EntryService::Impl::On(const ReplayAnswer& replay) {
  auto answer = DecodeAnswer(replay.encoded);
  if (!answer) {
    On(RefuseRequest{replay.request, 409, "duplicate-unknown", true, {}});
    return;
  }
  Respond(replay.request, ForwardedAnswer(std::move(*answer)));
}

void EntryService::Impl::On(const RefuseRequest& refuse) {
  Respond(refuse.request, RefusalResponse(refuse));
}

void EntryService::Impl::On(const DropRequest& drop) {
  auto node = requests_.extract(drop.request);
  if (!node.empty())
    by_exchange_.erase(node.mapped().exchange);
}

// Backend servers.

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
  Run(core_->OnBackendAnswer(loop_.now(), loop_.wall_now(), answer));
  response_connection_ = {};
  response_ = {};
}

void EntryService::Impl::On(const OpenBackendConnection& open) {
  auto endpoint = ParseEndpoint(open.address);
  if (!endpoint) {
    loop_.Post([this, id = open.connection] {
      Run(core_->OnConnectionOpenFailed(loop_.now(), loop_.wall_now(), id));
    });
    return;
  }
  backends_.Open(open.connection, *endpoint);
}

void EntryService::Impl::On(const WriteBackendRequest& write) {
  const Caller& caller = requests_.at(write.request);
  bool sent = backends_.Send(
      write.connection, ForwardedRequest(caller.request, caller.service.str()));
  if (!sent) {
    loop_.Post([this, id = write.connection] {
      Run(core_->OnConnectionEnded(loop_.now(), loop_.wall_now(), id));
    });
  }
}

void EntryService::Impl::On(const WriteBackendProbe& probe) {
  backends_.Send(probe.connection, {"OPTIONS", "*", {{"Host", "-"}}, ""});
}

void EntryService::Impl::On(const CloseBackendConnection& close) {
  backends_.Close(close.connection);
}

// Platform and peers.

void EntryService::Impl::On(const StoreCall& call) {
  store_.Execute(call.request, [this, tag = call.tag](StoreReply reply) {
    Run(core_->Handle(loop_.now(), loop_.wall_now(),
                      StoreAnswer{tag, std::move(reply)}));
  });
}

void EntryService::Impl::On(const SendPeerMessage& send) {
  auto endpoint = ParseEndpoint(send.address);
  if (!endpoint)
    return;
  peers_.Send(*endpoint,
              {settings_.member, core_->Stamp(loop_.wall_now()), send.message});
}

void EntryService::Impl::OnPeer(const PeerEnvelope& envelope) {
  if (envelope.sender == settings_.member)
    return;
  Run(core_->Handle(loop_.now(), loop_.wall_now(), envelope.sender,
                    envelope.stamp, envelope.message));
}

// State changes are logged; requests are only counted and kept on the timeline.
void EntryService::Impl::On(const RecordEvent& record) {
  const TimelineEvent& event = record.event;
  bool of_request = event.request.value != 0;
  if (!of_request) {
    LogInfo(EventName(event.kind), {{"host", event.host.str()},
                                    {"config", event.config},
                                    {"detail", event.detail}});
  }
  timeline_->Add(event);
}

void EntryService::Impl::On(const EndProcess& end) {
  LogError("process-superseded", {{"detail", end.why}});
  Shutdown();
}

void EntryService::Impl::Run(EntryActions actions) {
  for (const EntryAction& action : actions)
    std::visit([this](const auto& a) { On(a); }, action);
  wake_.Arm(core_->next_wake());
}

void EntryService::Impl::Tick() {
  Run(core_->Tick(loop_.now(), loop_.wall_now()));
}

// Shutdown.

void EntryService::Impl::Shutdown() {
  if (shutting_down_)
    return;
  shutting_down_ = true;
  LogInfo("process-stopping", {{"live", requests_.size()}});
  callers_.StopAccepting();
  Run(core_->Drain(loop_.now(), loop_.wall_now(),
                   loop_.now() + settings_.grace_period));
  CheckDrained();
}

void EntryService::Impl::CheckDrained() {
  bool done = core_->drained() && callers_.exchange_count() == 0 &&
              callers_.connection_count() == 0;
  if (!done || leaving_) {
    loop_.RunAfter(kDrainCheckPeriod, [this] { CheckDrained(); });
    return;
  }
  leaving_ = true;
  timeline_->Flush();
  Run(core_->Leave(loop_.now(), loop_.wall_now()));
  loop_.RunAfter(kLeaveTimeout, [this] {
    LogInfo("process-stopped", {});
    loop_.Stop();
  });
}

// Admin server.

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
      static_cast<double>(peers_.counters().sent), {{"direction", "sent"}});
  set("radishmoor_peer_messages", "Messages between processes.",
      static_cast<double>(peers_.counters().received),
      {{"direction", "received"}});
  set("radishmoor_store_unknown", "Store requests without an answer.",
      static_cast<double>(store_.counters().unknown));
  set("radishmoor_peer_bytes", "Bytes between processes.",
      static_cast<double>(peers_.counters().bytes_sent),
      {{"direction", "sent"}});
  set("radishmoor_peer_bytes", "Bytes between processes.",
      static_cast<double>(peers_.counters().bytes_received),
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
