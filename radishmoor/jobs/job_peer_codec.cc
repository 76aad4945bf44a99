#include "radishmoor/jobs/job_peer_codec.h"

#include <utility>

#include "radishmoor/jobs/job_wire.h"
#include "radishmoor/jobs/thrift_bytes.h"

namespace radishmoor {
namespace {

// To the wire, one overload for each message.

void Put(const OwnerHeartbeat& m, jobs_wire::Envelope& envelope) {
  jobs_wire::OwnerBeat w;
  w.pool = m.pool.str();
  w.token = static_cast<int64_t>(m.token);
  w.lease_version = static_cast<int64_t>(m.lease_version);
  w.renewed_age_ms = WholeMilliseconds(m.renewed_age);
  for (const QueueLoad& load : m.queues) {
    jobs_wire::QueueLoad q;
    q.queue = load.queue.str();
    q.pending = static_cast<int32_t>(load.pending);
    q.wait_ms = WholeMilliseconds(load.wait);
    w.queues.push_back(std::move(q));
  }
  w.released = m.released;
  w.successor = m.successor.str();
  w.demand_cores = m.demand_cores;
  w.offered_cores = m.offered_cores;
  w.capacity_cores = m.capacity_cores;
  w.silent_servers = static_cast<int32_t>(m.silent_servers);
  for (const ZoneId& zone : m.silent_zones)
    w.silent_zones.push_back(zone.str());
  w.servers = static_cast<int32_t>(m.servers);
  w.min_servers = static_cast<int32_t>(m.min_servers);
  for (const ServerId& server : m.spare_servers)
    w.spare_servers.push_back(server.str());
  envelope.__set_owner_beat(w);
}

void Put(const JobNotice& m, jobs_wire::Envelope& envelope) {
  jobs_wire::JobNotice w;
  w.pool = m.pool.str();
  w.job = m.job.str();
  w.definition = JobToWire(m.spec);
  w.age_ms = WholeMilliseconds(m.age);
  w.request = static_cast<int64_t>(m.request);
  envelope.__set_job_notice(w);
}

void Put(const JobQuery& m, jobs_wire::Envelope& envelope) {
  jobs_wire::JobQuery w;
  w.request = static_cast<int64_t>(m.request);
  w.pool = m.pool.str();
  w.job = m.job.str();
  w.cancel = m.cancel;
  envelope.__set_job_query(w);
}

void Put(const JobAnswer& m, jobs_wire::Envelope& envelope) {
  jobs_wire::JobAnswer w;
  w.request = static_cast<int64_t>(m.request);
  w.state = static_cast<int32_t>(m.state);
  envelope.__set_job_answer(w);
}

void Put(const VacateRequest& m, jobs_wire::Envelope& envelope) {
  jobs_wire::VacateRequest w;
  w.pool = m.pool.str();
  w.server = m.server.str();
  w.withdraw = m.withdraw;
  envelope.__set_vacate_request(w);
}

void Put(const VacateAnswer& m, jobs_wire::Envelope& envelope) {
  jobs_wire::VacateAnswer w;
  w.pool = m.pool.str();
  w.server = m.server.str();
  w.state = static_cast<int32_t>(m.state);
  w.token = static_cast<int64_t>(m.token);
  envelope.__set_vacate_answer(w);
}

// From the wire.

OwnerHeartbeat From(const jobs_wire::OwnerBeat& w) {
  OwnerHeartbeat m;
  m.pool = PoolId(w.pool);
  m.token = static_cast<FencingToken>(w.token);
  m.lease_version = static_cast<RowVersion>(w.lease_version);
  m.renewed_age = Milliseconds(w.renewed_age_ms);
  for (const jobs_wire::QueueLoad& q : w.queues) {
    m.queues.push_back({QueueId(q.queue), static_cast<uint32_t>(q.pending),
                        Milliseconds(q.wait_ms)});
  }
  m.released = w.released;
  m.successor = MemberId(w.successor);
  m.demand_cores = w.demand_cores;
  m.offered_cores = w.offered_cores;
  m.capacity_cores = w.capacity_cores;
  m.silent_servers = static_cast<uint32_t>(w.silent_servers);
  for (const std::string& zone : w.silent_zones)
    m.silent_zones.emplace_back(zone);
  m.servers = static_cast<uint32_t>(w.servers);
  m.min_servers = static_cast<uint32_t>(w.min_servers);
  for (const std::string& server : w.spare_servers)
    m.spare_servers.emplace_back(server);
  return m;
}

std::optional<JobPeerMessage> MessageOf(const jobs_wire::Envelope& e) {
  if (e.__isset.owner_beat)
    return From(e.owner_beat);
  if (e.__isset.job_notice) {
    const jobs_wire::JobNotice& w = e.job_notice;
    return JobNotice{PoolId(w.pool), JobId(w.job), JobFromWire(w.definition),
                     Milliseconds(w.age_ms), static_cast<uint64_t>(w.request)};
  }
  if (e.__isset.job_query) {
    const jobs_wire::JobQuery& w = e.job_query;
    return JobQuery{static_cast<uint64_t>(w.request), PoolId(w.pool),
                    JobId(w.job), w.cancel};
  }
  if (e.__isset.job_answer) {
    const jobs_wire::JobAnswer& w = e.job_answer;
    if (w.state < 0 || w.state > static_cast<int>(JobAnswerState::kUnknown))
      return std::nullopt;
    return JobAnswer{static_cast<uint64_t>(w.request),
                     static_cast<JobAnswerState>(w.state)};
  }
  if (e.__isset.vacate_request) {
    const jobs_wire::VacateRequest& w = e.vacate_request;
    return VacateRequest{PoolId(w.pool), ServerId(w.server), w.withdraw};
  }
  if (e.__isset.vacate_answer) {
    const jobs_wire::VacateAnswer& w = e.vacate_answer;
    if (w.state < 0 || w.state > static_cast<int>(VacateState::kUnknownServer))
      return std::nullopt;
    return VacateAnswer{PoolId(w.pool), ServerId(w.server),
                        static_cast<VacateState>(w.state),
                        static_cast<FencingToken>(w.token)};
  }
  return std::nullopt;
}

}  // namespace

std::string EncodeJobPeer(const JobPeerEnvelope& envelope) {
  jobs_wire::Envelope wire;
  wire.sender = envelope.sender.str();
  wire.address = envelope.address;
  std::visit([&wire](const auto& message) { Put(message, wire); },
             envelope.message);
  return ToBytes(wire);
}

std::optional<JobPeerEnvelope> DecodeJobPeer(std::string_view bytes) {
  jobs_wire::Envelope wire;
  if (!FromBytes(bytes, wire))
    return std::nullopt;
  std::optional<JobPeerMessage> message = MessageOf(wire);
  if (!message)
    return std::nullopt;
  return JobPeerEnvelope{MemberId(wire.sender), wire.address,
                         std::move(*message)};
}

}  // namespace radishmoor
