// Sends frames between radishmoor's processes over TCP. A frame is a 4-byte
// length (big-endian) and a payload.
//
//   FrameTransport frames(loop, [](std::string_view payload) { ... });
//   Endpoint bound = frames.Listen({"127.0.0.1", 0});
//   frames.Send(endpoint, payload);
//
// Frames may be lost and are not retried. Connections carry frames in one
// direction: this process opens one to each endpoint that it sends to, and
// receives on those that other processes open.
//
// Limits: an incoming payload has at most kMaxFrameBytes, at most
// kMaxQueuedBytes wait for each endpoint (further frames are dropped), and at
// most kMaxConnections incoming connections are open (further ones are closed).

#ifndef RADISHMOOR_NET_FRAME_TRANSPORT_H_
#define RADISHMOOR_NET_FRAME_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "radishmoor/base/time.h"
#include "radishmoor/net/http_message.h"

namespace radishmoor {

class EventLoop;

class FrameTransport {
 public:
  static constexpr uint32_t kMaxFrameBytes = 1024 * 1024;
  static constexpr size_t kMaxQueuedBytes = 256 * 1024;
  static constexpr size_t kMaxConnections = 1024;

  struct Counters {
    uint64_t sent = 0;     // Frames given to Send(), dropped ones included.
    uint64_t dropped = 0;  // Frames not sent: full queue or failed connection.
    uint64_t malformed = 0;  // Incoming frames that are empty or too long.
    uint64_t reopened = 0;   // Connections closed by CloseOutgoing().
    uint64_t bytes_sent = 0;
    uint64_t bytes_received = 0;
  };

  // Closes an outgoing connection that is not established within `ack_timeout`,
  // or whose bytes the peer's kernel does not acknowledge within that time; 0
  // leaves both to the kernel's defaults.
  FrameTransport(EventLoop& loop,
                 std::function<void(std::string_view)> on_frame,
                 Duration ack_timeout = Duration::zero());
  ~FrameTransport();

  // Returns the bound endpoint; port 0 lets the kernel choose. Throws
  // std::system_error if the address cannot be bound.
  Endpoint Listen(const Endpoint& endpoint);

  // Opens a connection to `endpoint` if there is none.
  void Send(const Endpoint& endpoint, const std::string& payload);

  // Returns the time at which the outgoing connection to `endpoint` was
  // started, or nullopt if there is none.
  std::optional<Time> outgoing_opened_at(const Endpoint& endpoint) const;
  // Closes the outgoing connection to `endpoint` and drops its queued frames.
  // The next Send() opens a new connection.
  void CloseOutgoing(const Endpoint& endpoint);

  const Counters& counters() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_NET_FRAME_TRANSPORT_H_
