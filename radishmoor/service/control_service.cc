#include "radishmoor/service/control_service.h"

#include <boost/json.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "radishmoor/base/hash.h"
#include "radishmoor/control/control_core.h"
#include "radishmoor/net/event_loop.h"
#include "radishmoor/net/http_client.h"
#include "radishmoor/net/store_client.h"
#include "radishmoor/ops/log.h"
#include "radishmoor/ops/metrics.h"
#include "radishmoor/ops/program_settings.h"
#include "radishmoor/service/admin_server.h"
#include "radishmoor/service/endpoints.h"
#include "radishmoor/service/timeline_recorder.h"

namespace radishmoor {
namespace {

namespace json = boost::json;

constexpr Duration kStoreTimeout = Seconds(2);
constexpr Duration kPlatformTimeout = Seconds(5);
constexpr Duration kProbePeriod = Seconds(2);
constexpr Duration kProbeTimeout = Seconds(1);
// Interval of the status requests for a host that is rebooting.
constexpr Duration kRebootPollPeriod = Milliseconds(250);
constexpr Duration kRebootTimeout = Seconds(600);
// Time for the writes of a shutdown (leases, member row, timeline) to reach the
// store before the loop stops.
constexpr Duration kLeaveDelay = Milliseconds(500);

LendingPolicy LendingPolicyOf(LendingMode mode) {
  switch (mode) {
    case LendingMode::kStatic:
      return StaticLending{};
    case LendingMode::kHysteresis:
      return HysteresisLending{};
    case LendingMode::kPredictive:
      return PredictiveLending{};
  }
  return StaticLending{};
}

bool Succeeded(const HttpFetcher::Result& result) {
  auto* response = std::get_if<HttpResponse>(&result);
  return response != nullptr && response->status == 200;
}

}  // namespace

class ControlService::Impl {
 public:
  Impl(EventLoop& loop, const ControlSettings& settings);

  void Start();
  void Shutdown();

  Endpoint admin_endpoint;

 private:
  // Carries out what ControlCore returned and arms the timer for its next
  // wake-up.
  void PerformAll(ControlActions actions);
  void Perform(const StoreCall& call);
  void Perform(const CheckpointTasks& checkpoint);
  void Perform(const RebootHost& reboot);
  void Perform(const AdmitHost& admit);
  void Perform(const WaveReport& report);
  void Perform(const RecordControlEvent& record);
  void Perform(const EndControlProcess& end);

  // Sends POST /operations/<operation> for `host` to the platform. Does nothing
  // if the configuration does not have the host.
  void CallPlatform(const char* operation,
                    const HostId& host,
                    json::object body,
                    HttpFetcher::Callback callback);
  void ReportPlatformResult(const HostId& host,
                            PlatformResultKind kind,
                            uint64_t key);
  void PollReboot(const RebootHost& reboot, Time give_up_at);

  void ProbeHosts();
  void ProbeHost(const HostState& host);
  std::string MetricsPage();
  std::string StatusPage() const;
  void Tick();

  EventLoop& loop_;
  ControlSettings settings_;
  AdminServer admin_;
  HttpFetcher fetcher_;
  StoreClient store_;
  Metrics metrics_;
  std::unique_ptr<TimelineRecorder> timeline_;
  std::unique_ptr<ControlCore> core_;
  WakeTimer wake_;
  bool stopping_ = false;
};

ControlService::Impl::Impl(EventLoop& loop, const ControlSettings& settings)
    : loop_(loop),
      settings_(settings),
      admin_(loop,
             {.ready = [this] { return core_->ready() && !stopping_; },
              .metrics = [this] { return MetricsPage(); },
              .timeline = [this] { return timeline_->EventsAsJson(); },
              .status = [this] { return StatusPage(); }}),
      fetcher_(loop),
      store_(loop, ToEndpoint(settings.platform_address), kStoreTimeout),
      wake_(loop, [this] { Tick(); }) {}

void ControlService::Impl::Start() {
  admin_endpoint = admin_.Listen(ToEndpoint(settings_.admin_address));
  Incarnation incarnation{static_cast<uint64_t>(loop_.wall_now())};
  timeline_ = std::make_unique<TimelineRecorder>(
      loop_, store_, settings_.member, incarnation, 4096, Seconds(1));
  ControlOptions options;
  options.member = settings_.member;
  options.zone = settings_.zone;
  options.host = settings_.host_name;
  options.host_instance = settings_.host_instance;
  options.incarnation = incarnation;
  options.peer_address = settings_.peer_address.str();
  options.admin_address = FormatEndpoint(admin_endpoint);
  options.seed = StableHash(settings_.member.str(), incarnation.value);
  options.controller.lending = LendingPolicyOf(settings_.lending_policy);
  options.controller.writer.site_writes_per_second =
      settings_.max_writes_per_second;
  core_ = std::make_unique<ControlCore>(std::move(options));
  LogInfo("process-started", {{"member", settings_.member.str()},
                              {"zone", settings_.zone.str()},
                              {"admin", FormatEndpoint(admin_endpoint)}});
  Tick();
  ProbeHosts();
}

void ControlService::Impl::PerformAll(ControlActions actions) {
  for (const ControlAction& action : actions)
    std::visit([this](const auto& a) { Perform(a); }, action);
  wake_.Arm(core_->next_wake());
}

void ControlService::Impl::Tick() {
  PerformAll(core_->Tick(loop_.now(), loop_.wall_now()));
}

void ControlService::Impl::Perform(const StoreCall& call) {
  store_.Execute(call.request, [this, tag = call.tag](StoreReply reply) {
    PerformAll(core_->Handle(loop_.now(), loop_.wall_now(),
                             StoreAnswer{tag, std::move(reply)}));
  });
}

void ControlService::Impl::CallPlatform(const char* operation,
                                        const HostId& host,
                                        json::object body,
                                        HttpFetcher::Callback callback) {
  const HostState* state = core_->view().state().FindHost(host);
  if (state == nullptr)
    return;
  body["host"] = host.str();
  body["address"] = state->address;
  fetcher_.Fetch(ToEndpoint(settings_.platform_address),
                 {"POST",
                  std::string("/operations/") + operation,
                  {{"Content-Type", "application/json"}},
                  json::serialize(body)},
                 kPlatformTimeout, std::move(callback));
}

void ControlService::Impl::ReportPlatformResult(const HostId& host,
                                                PlatformResultKind kind,
                                                uint64_t key) {
  PerformAll(
      core_->Handle(loop_.now(), loop_.wall_now(),
                    PlatformResult{.host = host, .kind = kind, .key = key}));
}

void ControlService::Impl::Perform(const CheckpointTasks& checkpoint) {
  CallPlatform("checkpoint", checkpoint.host, {{"key", checkpoint.key}},
               [this, checkpoint](const HttpFetcher::Result& result) {
                 if (Succeeded(result)) {
                   ReportPlatformResult(checkpoint.host,
                                        PlatformResultKind::kTasksCheckpointed,
                                        checkpoint.key);
                 }
               });
}

void ControlService::Impl::Perform(const RebootHost& reboot) {
  CallPlatform("reboot", reboot.host, {{"key", reboot.key}},
               [this, reboot](const HttpFetcher::Result& result) {
                 // The platform refuses while requests run on the host; the
                 // controller then asks again.
                 if (!Succeeded(result))
                   return;
                 ReportPlatformResult(reboot.host,
                                      PlatformResultKind::kRebootStarted,
                                      reboot.key);
                 PollReboot(reboot, loop_.now() + kRebootTimeout);
               });
}

void ControlService::Impl::PollReboot(const RebootHost& reboot,
                                      Time give_up_at) {
  loop_.RunAfter(kRebootPollPeriod, [this, reboot, give_up_at] {
    CallPlatform(
        "status", reboot.host, {{"key", reboot.key}},
        [this, reboot, give_up_at](const HttpFetcher::Result& result) {
          if (Succeeded(result)) {
            ReportPlatformResult(
                reboot.host, PlatformResultKind::kRebootFinished, reboot.key);
          } else if (loop_.now() >= give_up_at) {
            ReportPlatformResult(reboot.host, PlatformResultKind::kRebootFailed,
                                 reboot.key);
          } else {
            PollReboot(reboot, give_up_at);
          }
        });
  });
}

void ControlService::Impl::Perform(const AdmitHost& admit) {
  CallPlatform("assign", admit.host,
               {{"key", admit.key}, {"pool", admit.pool.str()}},
               [this, admit](const HttpFetcher::Result& result) {
                 if (Succeeded(result))
                   ReportPlatformResult(
                       admit.host, PlatformResultKind::kAdmitted, admit.key);
               });
}

void ControlService::Impl::Perform(const WaveReport& report) {
  LogInfo("wave-report", {{"round", report.round},
                          {"roll_out_s", ToSeconds(report.roll_out)},
                          {"hosts_maintained", report.hosts_maintained},
                          {"hosts_moved", report.hosts_moved},
                          {"requests_cut", report.requests_cut},
                          {"partial", report.partial}});
}

void ControlService::Impl::Perform(const RecordControlEvent& record) {
  const TimelineEvent& event = record.event;
  LogInfo(EventName(event.kind), {{"host", event.host.str()},
                                  {"pool", event.pool.str()},
                                  {"config", event.config},
                                  {"detail", event.detail}});
  timeline_->Add(event);
}

void ControlService::Impl::Perform(const EndControlProcess& end) {
  LogError("process-superseded", {{"detail", end.why}});
  Shutdown();
}

// Sends an OPTIONS request, which runs no work, to the backend server of each
// observed host. Any response shows that the server is healthy.
void ControlService::Impl::ProbeHosts() {
  for (const HostState* host : core_->ObservedHosts(loop_.now()))
    ProbeHost(*host);
  loop_.RunAfter(kProbePeriod, [this] { ProbeHosts(); });
}

void ControlService::Impl::ProbeHost(const HostState& host) {
  auto endpoint = ParseEndpoint(host.address);
  if (!endpoint)
    return;
  fetcher_.Fetch(
      *endpoint, {"OPTIONS", "*", {{"Host", "-"}}, ""}, kProbeTimeout,
      [this, id = host.id](const HttpFetcher::Result& result) {
        HostObservation observation{.host = id,
                                    .health = HostHealth::kUnreachable,
                                    .observed_at = loop_.now()};
        if (std::holds_alternative<HttpResponse>(result))
          observation.health = HostHealth::kHealthy;
        PerformAll(
            core_->SetHealth(loop_.now(), loop_.wall_now(), {&observation, 1}));
      });
}

void ControlService::Impl::Shutdown() {
  if (stopping_)
    return;
  stopping_ = true;
  LogInfo("process-stopping", {});
  PerformAll(core_->Leave(loop_.now(), loop_.wall_now()));
  timeline_->Flush();
  loop_.RunAfter(kLeaveDelay, [this] { loop_.Stop(); });
}

std::string ControlService::Impl::MetricsPage() {
  auto set = [this](const char* name, const char* help, uint64_t value) {
    metrics_.AddGauge(name, help).Set(static_cast<double>(value));
  };
  FleetCounters fleet = core_->controller().fleet_counters();
  set("radishmoor_control_commits", "Changes committed.", fleet.commits);
  set("radishmoor_control_conflicts", "Changes that lost a race.",
      fleet.conflicts);
  set("radishmoor_control_unknown", "Changes whose answer was lost.",
      fleet.unknown);
  set("radishmoor_control_drains", "Drains started.", fleet.drains_started);
  set("radishmoor_control_give_backs", "Reservations given back.",
      fleet.drains_cancelled);
  set("radishmoor_control_moves", "Hosts moved.", fleet.moves);
  set("radishmoor_control_reboots", "Hosts rebooted.", fleet.reboots);
  set("radishmoor_control_budget_refusals",
      "Starts refused by an availability budget.", fleet.budget_refusals);
  set("radishmoor_control_wave_paused", "1 while a wave is paused.",
      core_->controller().wave_paused() ? 1 : 0);
  set("radishmoor_config_version", "Configuration version in force.",
      core_->view().version());
  set("radishmoor_leases_held", "Pool leases held.",
      core_->leases().HeldPools(loop_.now()).size());
  set("radishmoor_store_requests", "Requests to the platform.",
      store_.counters().requests);
  set("radishmoor_store_writes", "Writes to the platform.",
      store_.counters().writes);
  set("radishmoor_fetch_bytes_sent", "Bytes of operations and health probes.",
      fetcher_.counters().bytes_sent);
  set("radishmoor_fetch_bytes_received",
      "Bytes received for operations and health probes.",
      fetcher_.counters().bytes_received);
  set("radishmoor_store_bytes_sent", "Bytes sent to the platform.",
      store_.counters().bytes_sent);
  set("radishmoor_store_bytes_received", "Bytes received from the platform.",
      store_.counters().bytes_received);
  return metrics_.Exposition();
}

std::string ControlService::Impl::StatusPage() const {
  json::array leases;
  for (const PoolId& pool : core_->leases().HeldPools(loop_.now()))
    leases.push_back(json::string(pool.str()));
  json::object status{{"member", settings_.member.str()},
                      {"zone", settings_.zone.str()},
                      {"ready", core_->ready()},
                      {"in_force", core_->view().version()},
                      {"leases", std::move(leases)},
                      {"wave_paused", core_->controller().wave_paused()}};
  return json::serialize(status) + "\n";
}

ControlService::ControlService(EventLoop& loop, const ControlSettings& settings)
    : impl_(std::make_unique<Impl>(loop, settings)) {}

ControlService::~ControlService() = default;

void ControlService::Start() {
  impl_->Start();
}

void ControlService::Shutdown() {
  impl_->Shutdown();
}

std::string ControlService::Addresses() const {
  return "admin " + FormatEndpoint(impl_->admin_endpoint);
}

}  // namespace radishmoor
