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

// Thrift has signed integers only; the bits stay the same.
int64_t ToSigned(uint64_t value) {
  return static_cast<int64_t>(value);
}

uint64_t ToUnsigned(int64_t value) {
  return static_cast<uint64_t>(value);
}

std::vector<std::string> HostNames(const std::vector<HostId>& hosts) {
  std::vector<std::string> names;
  names.reserve(hosts.size());
  for (const HostId& host : hosts)
    names.push_back(host.str());
  return names;
}

std::vector<HostId> HostIds(const std::vector<std::string>& names) {
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

// Sets the field of `body` for the type of the message.

void EncodeMessage(const PeerHello& m, wire::Body& body) {
  wire::Hello w;
  w.zone = m.zone.str();
  w.peer_address = m.address;
  body.__set_hello(w);
}

void EncodeMessage(const Heartbeat& m, wire::Body& body) {
  wire::Heartbeat w;
  w.incarnation = ToSigned(m.incarnation.value);
  w.role = static_cast<int32_t>(m.role);
  w.zone = m.zone.str();
  w.address = m.address;
  w.version = ToSigned(m.version);
  body.__set_heartbeat(w);
}

void EncodeMessage(const ConfigAnnouncement& m, wire::Body& body) {
  wire::ConfigAnnouncement w;
  w.request = ToSigned(m.request);
  w.version = ToSigned(m.version);
  w.incarnation = ToSigned(m.incarnation.value);
  w.wants_sponsor = m.wants_sponsor;
  w.busy_hosts = HostNames(m.busy_hosts);
  body.__set_announcement(w);
}

void EncodeMessage(const ConfigAnnouncementReply& m, wire::Body& body) {
  wire::ConfigAnnouncementReply w;
  w.request = ToSigned(m.request);
  w.version = ToSigned(m.version);
  if (m.confirmed_age)
    w.__set_confirmed_age_us(m.confirmed_age->count());
  w.sponsors = m.sponsors;
  body.__set_announcement_reply(w);
}

void EncodeMessage(const ConfigDeltaRequest& m, wire::Body& body) {
  wire::ConfigDeltaRequest w;
  w.request = ToSigned(m.request);
  w.version = ToSigned(m.version);
  w.state_version = ToSigned(m.state_version);
  w.state_offset = ToSigned(m.state_offset);
  body.__set_delta_request(w);
}

void EncodeMessage(const ConfigDeltaAnswer& m, wire::Body& body) {
  wire::ConfigDeltaAnswer w;
  w.request = ToSigned(m.request);
  w.deltas = m.deltas;
  w.state_version = ToSigned(m.state_version);
  w.state_offset = ToSigned(m.state_offset);
  w.state_size = ToSigned(m.state_size);
  w.state_part = m.state_part;
  body.__set_delta_answer(w);
}

void EncodeMessage(const ConfigPeerMessage& m, wire::Body& body) {
  std::visit([&body](const auto& inner) { EncodeMessage(inner, body); }, m);
}

void EncodeMessage(const SlotDemand& m, wire::Body& body) {
  wire::SlotDemand w;
  w.pool = m.pool.str();
  w.zone = m.zone.str();
  w.member = m.member.str();
  w.incarnation = ToSigned(m.incarnation.value);
  w.sequence = ToSigned(m.sequence);
  w.applied_grant = ToSigned(m.applied_grant);
  w.wanted = static_cast<int32_t>(m.wanted);
  w.in_use = static_cast<int32_t>(m.in_use);
  w.above_grant = ToWire(m.above_grant);
  body.__set_slot_demand(w);
}

void EncodeMessage(const LeavingNotice& m, wire::Body& body) {
  wire::LeavingNotice w;
  w.hosts = HostNames(m.hosts);
  body.__set_leaving_notice(w);
}

void EncodeMessage(const SlotGrant& m, wire::Body& body) {
  wire::SlotGrant w;
  w.pool = m.pool.str();
  w.zone = m.zone.str();
  w.allocator = m.allocator.str();
  w.member = m.member.str();
  w.incarnation = ToSigned(m.incarnation.value);
  w.allocator_incarnation = ToSigned(m.allocator_incarnation.value);
  w.demand_sequence = ToSigned(m.demand_sequence);
  w.sequence = ToSigned(m.sequence);
  w.slots = ToWire(m.slots);
  body.__set_slot_grant(w);
}

Heartbeat DecodeMessage(const wire::Heartbeat& w,
                        const PeerEnvelope& envelope) {
  Heartbeat m;
  m.from = envelope.sender;
  m.incarnation = {ToUnsigned(w.incarnation)};
  m.role = w.role == 0 ? MemberRole::kEntry : MemberRole::kControl;
  m.zone = ZoneId(w.zone);
  m.address = w.address;
  m.version = ToUnsigned(w.version);
  m.sent = envelope.stamp;
  return m;
}

ConfigPeerMessage DecodeMessage(const wire::ConfigAnnouncement& w) {
  return ConfigAnnouncement{.request = ToUnsigned(w.request),
                            .version = ToUnsigned(w.version),
                            .incarnation = {ToUnsigned(w.incarnation)},
                            .wants_sponsor = w.wants_sponsor,
                            .busy_hosts = HostIds(w.busy_hosts)};
}

ConfigPeerMessage DecodeMessage(const wire::ConfigAnnouncementReply& w) {
  ConfigAnnouncementReply m;
  m.request = ToUnsigned(w.request);
  m.version = ToUnsigned(w.version);
  // A negative age would make the confirmation look newer than it is.
  if (w.__isset.confirmed_age_us && w.confirmed_age_us >= 0)
    m.confirmed_age = Microseconds(w.confirmed_age_us);
  m.sponsors = w.sponsors;
  return m;
}

ConfigPeerMessage DecodeMessage(const wire::ConfigDeltaRequest& w) {
  return ConfigDeltaRequest{ToUnsigned(w.request), ToUnsigned(w.version),
                            ToUnsigned(w.state_version),
                            ToUnsigned(w.state_offset)};
}

ConfigPeerMessage DecodeMessage(const wire::ConfigDeltaAnswer& w) {
  return ConfigDeltaAnswer{
      ToUnsigned(w.request),       w.deltas,
      ToUnsigned(w.state_version), ToUnsigned(w.state_offset),
      ToUnsigned(w.state_size),    w.state_part};
}

SlotDemand DecodeMessage(const wire::SlotDemand& w) {
  SlotDemand m;
  m.pool = PoolId(w.pool);
  m.zone = ZoneId(w.zone);
  m.member = MemberId(w.member);
  m.incarnation = {ToUnsigned(w.incarnation)};
  m.sequence = ToUnsigned(w.sequence);
  m.applied_grant = ToUnsigned(w.applied_grant);
  m.wanted = static_cast<uint32_t>(w.wanted);
  m.in_use = static_cast<uint32_t>(w.in_use);
  m.above_grant = FromWire(w.above_grant);
  return m;
}

SlotGrant DecodeMessage(const wire::SlotGrant& w) {
  SlotGrant m;
  m.pool = PoolId(w.pool);
  m.zone = ZoneId(w.zone);
  m.allocator = MemberId(w.allocator);
  m.member = MemberId(w.member);
  m.incarnation = {ToUnsigned(w.incarnation)};
  m.allocator_incarnation = {ToUnsigned(w.allocator_incarnation)};
  m.demand_sequence = ToUnsigned(w.demand_sequence);
  m.sequence = ToUnsigned(w.sequence);
  m.slots = FromWire(w.slots);
  return m;
}

std::optional<PeerMessage> DecodeBody(const wire::Body& body,
                                      const PeerEnvelope& envelope) {
  if (body.__isset.hello)
    return PeerHello{envelope.sender, ZoneId(body.hello.zone),
                     body.hello.peer_address};
  if (body.__isset.heartbeat)
    return DecodeMessage(body.heartbeat, envelope);
  if (body.__isset.announcement)
    return DecodeMessage(body.announcement);
  if (body.__isset.announcement_reply)
    return DecodeMessage(body.announcement_reply);
  if (body.__isset.delta_request)
    return DecodeMessage(body.delta_request);
  if (body.__isset.delta_answer)
    return DecodeMessage(body.delta_answer);
  if (body.__isset.slot_demand)
    return DecodeMessage(body.slot_demand);
  if (body.__isset.slot_grant)
    return DecodeMessage(body.slot_grant);
  if (body.__isset.leaving_notice)
    return LeavingNotice{HostIds(body.leaving_notice.hosts)};
  return std::nullopt;
}

}  // namespace

std::string EncodePeerEnvelope(const PeerEnvelope& envelope) {
  wire::Envelope message;
  message.sender = envelope.sender.str();
  message.stamp.wall_ms = envelope.stamp.wall;
  message.stamp.logical = static_cast<int32_t>(envelope.stamp.logical);
  std::visit([&message](const auto& m) { EncodeMessage(m, message.body); },
             envelope.message);
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocol protocol(buffer);
  message.write(&protocol);
  return buffer->getBufferAsString();
}

std::optional<PeerEnvelope> DecodePeerEnvelope(std::string_view bytes) {
  // The const_cast is safe: Thrift does not write to a buffer with OBSERVE.
  auto* data = reinterpret_cast<uint8_t*>(const_cast<char*>(bytes.data()));
  auto size = static_cast<uint32_t>(bytes.size());
  // Limits message, container and string sizes to the size of the input, so
  // that a false length cannot cause a large allocation; nesting is limited
  // to 16.
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
  auto body = DecodeBody(message.body, envelope);
  if (!body)
    return std::nullopt;
  envelope.message = std::move(*body);
  return envelope;
}

}  // namespace radishmoor
