#include "radishmoor/net/peer_codec.h"

#include <peer_types.h>
#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <utility>

namespace radishmoor {
namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

int64_t Wire(uint64_t value) {
  return static_cast<int64_t>(value);
}

uint64_t Value(int64_t value) {
  return static_cast<uint64_t>(value);
}

std::vector<std::string> Names(const std::vector<HostId>& hosts) {
  std::vector<std::string> names;
  names.reserve(hosts.size());
  for (const HostId& host : hosts)
    names.push_back(host.str());
  return names;
}

std::vector<HostId> Hosts(const std::vector<std::string>& names) {
  return {names.begin(), names.end()};
}

std::vector<wire::HostSlots> ToWire(const std::vector<HostSlots>& slots) {
  std::vector<wire::HostSlots> result;
  result.reserve(slots.size());
  for (const HostSlots& s : slots) {
    wire::HostSlots w;
    w.host = s.host.str();
    w.slots = static_cast<int32_t>(s.slots);
    result.push_back(std::move(w));
  }
  return result;
}

std::vector<HostSlots> FromWire(const std::vector<wire::HostSlots>& slots) {
  std::vector<HostSlots> result;
  result.reserve(slots.size());
  for (const wire::HostSlots& w : slots)
    result.push_back({HostId(w.host), static_cast<uint32_t>(w.slots)});
  return result;
}

// To the wire, one overload for each message.

void Put(const PeerHello& m, wire::Body& body) {
  wire::Hello w;
  w.zone = m.zone.str();
  w.peer_address = m.address;
  body.__set_hello(w);
}

void Put(const Heartbeat& m, wire::Body& body) {
  wire::Heartbeat w;
  w.incarnation = Wire(m.incarnation.value);
  w.role = static_cast<int32_t>(m.role);
  w.zone = m.zone.str();
  w.address = m.address;
  w.version = Wire(m.version);
  body.__set_heartbeat(w);
}

void Put(const ConfigAnnouncement& m, wire::Body& body) {
  wire::ConfigAnnouncement w;
  w.request = Wire(m.request);
  w.version = Wire(m.version);
  w.incarnation = Wire(m.incarnation.value);
  w.wants_sponsor = m.wants_sponsor;
  w.busy_hosts = Names(m.busy_hosts);
  body.__set_announcement(w);
}

void Put(const ConfigAnnouncementReply& m, wire::Body& body) {
  wire::ConfigAnnouncementReply w;
  w.request = Wire(m.request);
  w.version = Wire(m.version);
  if (m.confirmed_age)
    w.__set_confirmed_age_us(m.confirmed_age->count());
  w.sponsors = m.sponsors;
  body.__set_announcement_reply(w);
}

void Put(const ConfigDeltaRequest& m, wire::Body& body) {
  wire::ConfigDeltaRequest w;
  w.request = Wire(m.request);
  w.version = Wire(m.version);
  w.state_version = Wire(m.state_version);
  w.state_offset = Wire(m.state_offset);
  body.__set_delta_request(w);
}

void Put(const ConfigDeltaAnswer& m, wire::Body& body) {
  wire::ConfigDeltaAnswer w;
  w.request = Wire(m.request);
  w.deltas = m.deltas;
  w.state_version = Wire(m.state_version);
  w.state_offset = Wire(m.state_offset);
  w.state_size = Wire(m.state_size);
  w.state_part = m.state_part;
  body.__set_delta_answer(w);
}

void Put(const ConfigPeerMessage& m, wire::Body& body) {
  std::visit([&body](const auto& inner) { Put(inner, body); }, m);
}

void Put(const SlotDemand& m, wire::Body& body) {
  wire::SlotDemand w;
  w.pool = m.pool.str();
  w.zone = m.zone.str();
  w.member = m.member.str();
  w.incarnation = Wire(m.incarnation.value);
  w.sequence = Wire(m.sequence);
  w.applied_grant = Wire(m.applied_grant);
  w.wanted = static_cast<int32_t>(m.wanted);
  w.in_use = static_cast<int32_t>(m.in_use);
  w.above_grant = ToWire(m.above_grant);
  body.__set_slot_demand(w);
}

void Put(const LeavingNotice& m, wire::Body& body) {
  wire::LeavingNotice w;
  w.hosts = Names(m.hosts);
  body.__set_leaving_notice(w);
}

void Put(const SlotGrant& m, wire::Body& body) {
  wire::SlotGrant w;
  w.pool = m.pool.str();
  w.zone = m.zone.str();
  w.allocator = m.allocator.str();
  w.member = m.member.str();
  w.incarnation = Wire(m.incarnation.value);
  w.allocator_incarnation = Wire(m.allocator_incarnation.value);
  w.demand_sequence = Wire(m.demand_sequence);
  w.sequence = Wire(m.sequence);
  w.slots = ToWire(m.slots);
  body.__set_slot_grant(w);
}

// From the wire.

Heartbeat Read(const wire::Heartbeat& w, const PeerEnvelope& envelope) {
  Heartbeat m;
  m.from = envelope.sender;
  m.incarnation = {Value(w.incarnation)};
  m.role = w.role == 0 ? MemberRole::kEntry : MemberRole::kControl;
  m.zone = ZoneId(w.zone);
  m.address = w.address;
  m.version = Value(w.version);
  m.sent = envelope.stamp;
  return m;
}

ConfigPeerMessage Read(const wire::ConfigAnnouncement& w) {
  return ConfigAnnouncement{.request = Value(w.request),
                            .version = Value(w.version),
                            .incarnation = {Value(w.incarnation)},
                            .wants_sponsor = w.wants_sponsor,
                            .busy_hosts = Hosts(w.busy_hosts)};
}

ConfigPeerMessage Read(const wire::ConfigAnnouncementReply& w) {
  ConfigAnnouncementReply m;
  m.request = Value(w.request);
  m.version = Value(w.version);
  // A negative age would make the answer look fresher than it is.
  if (w.__isset.confirmed_age_us && w.confirmed_age_us >= 0)
    m.confirmed_age = Microseconds(w.confirmed_age_us);
  m.sponsors = w.sponsors;
  return m;
}

ConfigPeerMessage Read(const wire::ConfigDeltaRequest& w) {
  return ConfigDeltaRequest{Value(w.request), Value(w.version),
                            Value(w.state_version), Value(w.state_offset)};
}

ConfigPeerMessage Read(const wire::ConfigDeltaAnswer& w) {
  return ConfigDeltaAnswer{Value(w.request),       w.deltas,
                           Value(w.state_version), Value(w.state_offset),
                           Value(w.state_size),    w.state_part};
}

SlotDemand Read(const wire::SlotDemand& w) {
  SlotDemand m;
  m.pool = PoolId(w.pool);
  m.zone = ZoneId(w.zone);
  m.member = MemberId(w.member);
  m.incarnation = {Value(w.incarnation)};
  m.sequence = Value(w.sequence);
  m.applied_grant = Value(w.applied_grant);
  m.wanted = static_cast<uint32_t>(w.wanted);
  m.in_use = static_cast<uint32_t>(w.in_use);
  m.above_grant = FromWire(w.above_grant);
  return m;
}

SlotGrant Read(const wire::SlotGrant& w) {
  SlotGrant m;
  m.pool = PoolId(w.pool);
  m.zone = ZoneId(w.zone);
  m.allocator = MemberId(w.allocator);
  m.member = MemberId(w.member);
  m.incarnation = {Value(w.incarnation)};
  m.allocator_incarnation = {Value(w.allocator_incarnation)};
  m.demand_sequence = Value(w.demand_sequence);
  m.sequence = Value(w.sequence);
  m.slots = FromWire(w.slots);
  return m;
}

std::optional<PeerMessage> ReadBody(const wire::Body& body,
                                    const PeerEnvelope& envelope) {
  if (body.__isset.hello)
    return PeerHello{envelope.sender, ZoneId(body.hello.zone),
                     body.hello.peer_address};
  if (body.__isset.heartbeat)
    return Read(body.heartbeat, envelope);
  if (body.__isset.announcement)
    return Read(body.announcement);
  if (body.__isset.announcement_reply)
    return Read(body.announcement_reply);
  if (body.__isset.delta_request)
    return Read(body.delta_request);
  if (body.__isset.delta_answer)
    return Read(body.delta_answer);
  if (body.__isset.slot_demand)
    return Read(body.slot_demand);
  if (body.__isset.slot_grant)
    return Read(body.slot_grant);
  if (body.__isset.leaving_notice)
    return LeavingNotice{Hosts(body.leaving_notice.hosts)};
  return std::nullopt;
}

}  // namespace

std::string EncodePeerEnvelope(const PeerEnvelope& envelope) {
  wire::Envelope message;
  message.sender = envelope.sender.str();
  message.stamp.wall_ms = envelope.stamp.wall;
  message.stamp.logical = static_cast<int32_t>(envelope.stamp.logical);
  std::visit([&message](const auto& m) { Put(m, message.body); },
             envelope.message);
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocol protocol(buffer);
  message.write(&protocol);
  return buffer->getBufferAsString();
}

std::optional<PeerEnvelope> DecodePeerEnvelope(std::string_view bytes) {
  // Thrift does not write to an observed buffer.
  auto* data = reinterpret_cast<uint8_t*>(const_cast<char*>(bytes.data()));
  auto size = static_cast<uint32_t>(bytes.size());
  // Containers and strings that claim more than the frame holds are refused.
  auto config = std::make_shared<apache::thrift::TConfiguration>(
      static_cast<int>(size), static_cast<int>(size), 16);
  auto buffer = std::make_shared<TMemoryBuffer>(data, size,
                                                TMemoryBuffer::OBSERVE, config);
  TCompactProtocol protocol(buffer, static_cast<int32_t>(size),
                            static_cast<int32_t>(size));
  wire::Envelope message;
  try {
    message.read(&protocol);
  } catch (const apache::thrift::TException&) {
    return std::nullopt;
  }
  PeerEnvelope envelope;
  envelope.sender = MemberId(message.sender);
  envelope.stamp = {message.stamp.wall_ms,
                    static_cast<uint32_t>(message.stamp.logical)};
  auto body = ReadBody(message.body, envelope);
  if (!body)
    return std::nullopt;
  envelope.message = std::move(*body);
  return envelope;
}

}  // namespace radishmoor
