// Messages between radishmoor's processes: frames (frame_transport.h) that hold
// an encoded envelope (peer_codec.h).
//
//   PeerTransport transport(loop, self, zone, on_message);
//   Endpoint bound = transport.Listen({"127.0.0.1", 0});
//   transport.Send(MemberId("entry-2"), endpoint, envelope);
//
// Messages may be lost and are not retried; the slices that send them repeat
// what matters. Each peer has one outgoing connection; what it sends arrives on
// its own. A connection whose peer sent nothing for kSilence while messages
// went out is opened anew, since something between the ends may have lost it.
//
// Limits: those of frame_transport.h, and kMaxConnections known peers.

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
  static constexpr Duration kSilence = Seconds(5);

  struct Counters {
    uint64_t sent = 0;
    uint64_t received = 0;
    uint64_t dropped = 0;
    uint64_t malformed = 0;
    uint64_t reopened = 0;
    uint64_t bytes_sent = 0;
    uint64_t bytes_received = 0;
  };

  PeerTransport(EventLoop& loop, std::function<void(PeerEnvelope)> on_message);
  ~PeerTransport();

  // Throws std::system_error when it cannot bind.
  Endpoint Listen(const Endpoint& endpoint);

  void Send(const Endpoint& endpoint, const PeerEnvelope& envelope);

  const Counters& counters() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_NET_PEER_TRANSPORT_H_
