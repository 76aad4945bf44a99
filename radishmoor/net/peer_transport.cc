#include "radishmoor/net/peer_transport.h"

#include <map>
#include <utility>

#include "radishmoor/net/event_loop.h"
#include "radishmoor/net/frame_transport.h"

namespace radishmoor {
namespace {

// Returns the peer address that the sender gives in `message`, if any.
std::optional<Endpoint> AnnouncedAddress(const PeerMessage& message) {
  if (auto* hello = std::get_if<PeerHello>(&message))
    return ParseEndpoint(hello->address);
  if (auto* heartbeat = std::get_if<Heartbeat>(&message))
    return ParseEndpoint(heartbeat->address);
  return std::nullopt;
}

}  // namespace

struct PeerTransport::Impl {
  Impl(EventLoop& event_loop, std::function<void(PeerEnvelope)> handler)
      : loop(event_loop),
        on_message(std::move(handler)),
        frames(event_loop,
               [this](std::string_view payload) { Receive(payload); }) {}

  void Receive(std::string_view payload);
  // Returns true if the connection to `endpoint` is older than kMaxPeerSilence
  // and the member there has sent nothing for that long. Returns false if the
  // member is not known.
  bool IsSilent(const Endpoint& endpoint);

  EventLoop& loop;
  std::function<void(PeerEnvelope)> on_message;
  FrameTransport frames;
  std::map<MemberId, Time> last_received;
  // Members by the peer address that they announced.
  std::map<Endpoint, MemberId> member_at;
  uint64_t received = 0;
  uint64_t malformed = 0;
  Counters counters;
};

void PeerTransport::Impl::Receive(std::string_view payload) {
  auto envelope = DecodePeerEnvelope(payload);
  if (!envelope) {
    ++malformed;
    return;
  }
  ++received;
  if (last_received.size() < kMaxConnections ||
      last_received.contains(envelope->sender)) {
    last_received[envelope->sender] = loop.now();
    if (auto address = AnnouncedAddress(envelope->message))
      member_at[*address] = envelope->sender;
  }
  on_message(std::move(*envelope));
}

bool PeerTransport::Impl::IsSilent(const Endpoint& endpoint) {
  Time now = loop.now();
  std::optional<Time> opened_at = frames.outgoing_opened_at(endpoint);
  if (!opened_at || now - *opened_at <= kMaxPeerSilence)
    return false;
  auto member = member_at.find(endpoint);
  return member != member_at.end() &&
         now - last_received[member->second] > kMaxPeerSilence;
}

PeerTransport::PeerTransport(EventLoop& loop,
                             std::function<void(PeerEnvelope)> on_message)
    : impl_(std::make_shared<Impl>(loop, std::move(on_message))) {}

PeerTransport::~PeerTransport() = default;

Endpoint PeerTransport::Listen(const Endpoint& endpoint) {
  return impl_->frames.Listen(endpoint);
}

void PeerTransport::Send(const Endpoint& endpoint,
                         const PeerEnvelope& envelope) {
  if (impl_->IsSilent(endpoint))
    impl_->frames.CloseOutgoing(endpoint);
  impl_->frames.Send(endpoint, EncodePeerEnvelope(envelope));
}

const PeerTransport::Counters& PeerTransport::counters() const {
  const FrameTransport::Counters& frames = impl_->frames.counters();
  impl_->counters = {.sent = frames.sent,
                     .received = impl_->received,
                     .dropped = frames.dropped,
                     .malformed = frames.malformed + impl_->malformed,
                     .reopened = frames.reopened,
                     .bytes_sent = frames.bytes_sent,
                     .bytes_received = frames.bytes_received};
  return impl_->counters;
}

}  // namespace radishmoor
