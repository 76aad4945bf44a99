#include "radishmoor/jobs/job_peer_codec.h"

#include <utility>

#include "radishmoor/jobs/job_wire.h"
#include "radishmoor/jobs/thrift_bytes.h"

namespace radishmoor {
namespace {

// Sets the envelope's field for one kind of message.

void SetMessage(const OwnerHeartbeat& message, jobs_wire::Envelope& envelope) {
  jobs_wire::OwnerBeat wire;
  wire.pool = message.pool.str();
  wire.token = static_cast<int64_t>(message.token);
  wire.lease_version = static_cast<int64_t>(message.lease_version);
  wire.renewed_age_ms = WholeMilliseconds(message.renewed_age);
  for (const QueueLoad& load : message.queues) {
    jobs_wire::QueueLoad wire_load;
    wire_load.queue = load.queue.str();
    wire_load.pending = static_cast<int32_t>(load.pending);
    wire_load.wait_ms = WholeMilliseconds(load.wait);
    wire.queues.push_back(std::move(wire_load));
  }
  wire.released = message.released;
  wire.successor = message.successor.str();
  wire.demand_cores = message.demand_cores;
  wire.offered_cores = message.offered_cores;
  wire.capacity_cores = message.capacity_cores;
  wire.silent_servers = static_cast<int32_t>(message.silent_servers);
  for (const ZoneId& zone : message.silent_zones)
    wire.silent_zones.push_back(zone.str());
  wire.servers = static_cast<int32_t>(message.servers);
  wire.min_servers = static_cast<int32_t>(message.min_servers);
  for (const ServerId& server : message.spare_servers)
    wire.spare_servers.push_back(server.str());
  envelope.__set_owner_beat(wire);
}

void SetMessage(const JobNotice& message, jobs_wire::Envelope& envelope) {
  jobs_wire::JobNotice wire;
  wire.pool = message.pool.str();
  wire.job = message.job.str();
  wire.definition = JobToWire(message.spec);
  wire.age_ms = WholeMilliseconds(message.age);
  wire.request = static_cast<int64_t>(message.request);
  envelope.__set_job_notice(wire);
}

void SetMessage(const JobQuery& message, jobs_wire::Envelope& envelope) {
  jobs_wire::JobQuery wire;
  wire.request = static_cast<int64_t>(message.request);
  wire.pool = message.pool.str();
  wire.job = message.job.str();
  wire.cancel = message.cancel;
  envelope.__set_job_query(wire);
}

void SetMessage(const JobAnswer& message, jobs_wire::Envelope& envelope) {
  jobs_wire::JobAnswer wire;
  wire.request = static_cast<int64_t>(message.request);
  wire.state = static_cast<int32_t>(message.state);
  envelope.__set_job_answer(wire);
}

void SetMessage(const VacateRequest& message, jobs_wire::Envelope& envelope) {
  jobs_wire::VacateRequest wire;
  wire.pool = message.pool.str();
  wire.server = message.server.str();
  wire.withdraw = message.withdraw;
  envelope.__set_vacate_request(wire);
}

void SetMessage(const VacateAnswer& message, jobs_wire::Envelope& envelope) {
  jobs_wire::VacateAnswer wire;
  wire.pool = message.pool.str();
  wire.server = message.server.str();
  wire.state = static_cast<int32_t>(message.state);
  wire.token = static_cast<int64_t>(message.token);
  envelope.__set_vacate_answer(wire);
}

OwnerHeartbeat HeartbeatFromWire(const jobs_wire::OwnerBeat& wire) {
  OwnerHeartbeat message;
  message.pool = PoolId(wire.pool);
  message.token = static_cast<FencingToken>(wire.token);
  message.lease_version = static_cast<RowVersion>(wire.lease_version);
  message.renewed_age = Milliseconds(wire.renewed_age_ms);
  for (const jobs_wire::QueueLoad& wire_load : wire.queues) {
    message.queues.push_back({QueueId(wire_load.queue),
                              static_cast<uint32_t>(wire_load.pending),
                              Milliseconds(wire_load.wait_ms)});
  }
  message.released = wire.released;
  message.successor = MemberId(wire.successor);
  message.demand_cores = wire.demand_cores;
  message.offered_cores = wire.offered_cores;
  message.capacity_cores = wire.capacity_cores;
  message.silent_servers = static_cast<uint32_t>(wire.silent_servers);
  for (const std::string& zone : wire.silent_zones)
    message.silent_zones.emplace_back(zone);
  message.servers = static_cast<uint32_t>(wire.servers);
  message.min_servers = static_cast<uint32_t>(wire.min_servers);
  for (const std::string& server : wire.spare_servers)
    message.spare_servers.emplace_back(server);
  return message;
}

std::optional<JobPeerMessage> MessageFromWire(
    const jobs_wire::Envelope& envelope) {
  if (envelope.__isset.owner_beat)
    return HeartbeatFromWire(envelope.owner_beat);
  if (envelope.__isset.job_notice) {
    const jobs_wire::JobNotice& wire = envelope.job_notice;
    return JobNotice{PoolId(wire.pool), JobId(wire.job),
                     JobFromWire(wire.definition), Milliseconds(wire.age_ms),
                     static_cast<uint64_t>(wire.request)};
  }
  if (envelope.__isset.job_query) {
    const jobs_wire::JobQuery& wire = envelope.job_query;
    return JobQuery{static_cast<uint64_t>(wire.request), PoolId(wire.pool),
                    JobId(wire.job), wire.cancel};
  }
  if (envelope.__isset.job_answer) {
    const jobs_wire::JobAnswer& wire = envelope.job_answer;
    if (wire.state < 0 ||
        wire.state > static_cast<int>(JobAnswerState::kUnknown))
      return std::nullopt;
    return JobAnswer{static_cast<uint64_t>(wire.request),
                     static_cast<JobAnswerState>(wire.state)};
  }
  if (envelope.__isset.vacate_request) {
    const jobs_wire::VacateRequest& wire = envelope.vacate_request;
    return VacateRequest{PoolId(wire.pool), ServerId(wire.server),
                         wire.withdraw};
  }
  if (envelope.__isset.vacate_answer) {
    const jobs_wire::VacateAnswer& wire = envelope.vacate_answer;
    if (wire.state < 0 ||
        wire.state > static_cast<int>(VacateState::kUnknownServer))
      return std::nullopt;
    return VacateAnswer{PoolId(wire.pool), ServerId(wire.server),
                        static_cast<VacateState>(wire.state),
                        static_cast<FencingToken>(wire.token)};
  }
  return std::nullopt;
}

}  // namespace

std::string EncodeJobPeer(const JobPeerEnvelope& envelope) {
  jobs_wire::Envelope wire;
  wire.sender = envelope.sender.str();
  wire.address = envelope.address;
  std::visit([&wire](const auto& message) { SetMessage(message, wire); },
             envelope.message);
  return ToBytes(wire);
}

std::optional<JobPeerEnvelope> DecodeJobPeer(std::string_view bytes) {
  jobs_wire::Envelope wire;
  if (!FromBytes(bytes, wire))
    return std::nullopt;
  std::optional<JobPeerMessage> message = MessageFromWire(wire);
  if (!message)
    return std::nullopt;
  return JobPeerEnvelope{MemberId(wire.sender), wire.address,
                         std::move(*message)};
}

}  // namespace radishmoor
