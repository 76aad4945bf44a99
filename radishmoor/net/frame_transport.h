// Frames between radishmoor's processes over TCP: a 4-byte length (big-endian)
// and a payload.
//
//   FrameTransport frames(loop, [](std::string_view payload) { ... });
//   Endpoint bound = frames.Listen({"127.0.0.1", 0});
//   frames.Send(endpoint, payload);
//
// Frames may be lost and are not retried. Each endpoint has one outgoing
// connection; what its process sends arrives on that process's own connections.
//
// Limits: frames of kMaxFrame, kMaxQueued bytes waiting for each endpoint
// (further frames are dropped), kMaxConnections incoming.

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
  static constexpr uint32_t kMaxFrame = 1024 * 1024;
  static constexpr size_t kMaxQueued = 256 * 1024;
  static constexpr size_t kMaxConnections = 1024;

  struct Counters {
    uint64_t sent = 0;
    uint64_t dropped = 0;
    uint64_t malformed = 0;
    uint64_t reopened = 0;
    uint64_t bytes_sent = 0;
    uint64_t bytes_received = 0;
  };

  // A connection that is not set up, or whose bytes are not acknowledged,
  // within `unacknowledged_limit` is closed; 0 leaves that to the kernel.
  FrameTransport(EventLoop& loop,
                 std::function<void(std::string_view)> on_frame,
                 Duration unacknowledged_limit = Duration::zero());
  ~FrameTransport();

  // Throws std::system_error when it cannot bind.
  Endpoint Listen(const Endpoint& endpoint);

  void Send(const Endpoint& endpoint, const std::string& payload);

  // When the outgoing connection was opened; nothing if there is none.
  std::optional<Time> opened(const Endpoint& endpoint) const;
  // Closes the outgoing connection; the next frame opens a new one.
  void Drop(const Endpoint& endpoint);

  const Counters& counters() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_NET_FRAME_TRANSPORT_H_
