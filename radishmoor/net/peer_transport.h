// Sends messages between radishmoor's processes. Each message is an encoded
// envelope (peer_codec.h) in one frame (frame_transport.h).
//
//   PeerTransport transport(loop, on_message);
//   Endpoint bound = transport.Listen({"127.0.0.1", 0});
//   transport.Send(endpoint, envelope);
//
// Messages may be lost and are not retried; senders repeat those that must
// arrive. Connections carry messages in one direction, as in frame_transport.h.
// If a peer has sent nothing for kMaxPeerSilence, the connection to it is
// closed and opened again with the next message, because a device on the path
// may have dropped the connection without either end noticing.
//
// Limits: those of frame_transport.h. The silence of at most kMaxConnections
// peers is watched.

#ifndef RADISHMOOR_NET_PEER_TRANSPORT_H_
#define RADISHMOOR_NET_PEER_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "radishmoor/base/time.h"
#include "radishmoor/net/http_message.h"
#include "radishmoor/net/peer_codec.h"

namespace radishmoor {

class EventLoop;

class PeerTransport {
 public:
  static constexpr size_t kMaxConnections = 1024;
  static constexpr Duration kMaxPeerSilence = Seconds(5);

  struct Counters {
    uint64_t sent = 0;  // Messages given to Send(), dropped ones included.
    uint64_t received = 0;
    uint64_t dropped = 0;    // Not sent: full queue or failed connection.
    uint64_t malformed = 0;  // Frames or envelopes that could not be decoded.
    uint64_t reopened = 0;   // Connections closed because the peer was silent.
    uint64_t bytes_sent = 0;
    uint64_t bytes_received = 0;
  };

  PeerTransport(EventLoop& loop, std::function<void(PeerEnvelope)> on_message);
  ~PeerTransport();

  // Returns the bound endpoint; port 0 lets the kernel choose. Throws
  // std::system_error if the address cannot be bound.
  Endpoint Listen(const Endpoint& endpoint);

  void Send(const Endpoint& endpoint, const PeerEnvelope& envelope);

  const Counters& counters() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_NET_PEER_TRANSPORT_H_
