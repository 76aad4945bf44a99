// Outgoing HTTP/1.1 connections, addressed by ids that the user chooses.
//
//   HttpClient client(loop, {.on_opened = ..., .on_response = ...});
//   client.Open(id, endpoint);
//   client.Send(id, request);     // after on_opened; one exchange at a time
//   client.Close(id);
//
// HttpClient has no timeouts; its user decides when to close a connection.
// Closing resets the connection, also when the process dies: bytes that the
// peer has not received by then are discarded, not delivered later. The kernel
// does the same if the peer acknowledges nothing for kMaxUnacknowledgedTime,
// so that a stopped process leaves no request in transit for longer than that.
// After Close(id) no handler is called for that connection. A response without
// a length is reported as a failed exchange: it ends with the connection, so a
// truncated one cannot be told from a complete one.

#ifndef RADISHMOOR_NET_HTTP_CLIENT_H_
#define RADISHMOOR_NET_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "radishmoor/base/ids.h"
#include "radishmoor/base/time.h"
#include "radishmoor/net/http_message.h"

namespace radishmoor {

class EventLoop;

struct HttpClientHandlers {
  std::function<void(ConnectionId)> on_opened;
  std::function<void(ConnectionId, std::string error)> on_open_failed;
  // `reusable`: the connection may carry another exchange.
  std::function<void(ConnectionId, HttpResponse, bool reusable)> on_response;
  // The exchange ended without a complete response. The connection is closed.
  std::function<void(ConnectionId, std::string error)> on_exchange_failed;
  // The peer closed an idle connection.
  std::function<void(ConnectionId)> on_closed;
};

// Limit on the time for which sent bytes wait for an acknowledgement of the
// peer's host. Network round trips take some milliseconds; a partition that
// lasts longer than this ends the connection.
inline constexpr Duration kMaxUnacknowledgedTime = Milliseconds(1500);

class HttpClient {
 public:
  HttpClient(EventLoop& loop,
             HttpClientHandlers handlers,
             uint64_t max_response_bytes = 8 * 1024 * 1024);
  ~HttpClient();

  // Connects in the background; on_opened or on_open_failed follows. `id` must
  // not be in use.
  void Open(ConnectionId id, const Endpoint& endpoint);

  // Writes `request` on connection `id`. Returns false and writes nothing
  // unless the connection is open and has no exchange in progress.
  bool Send(ConnectionId id, const HttpRequest& request);

  void Close(ConnectionId id);

  size_t connection_count() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

// Sends single requests with a timeout and reuses idle connections.
class HttpFetcher {
 public:
  struct Failure {
    bool sent = false;       // The request may have reached the server.
    bool timed_out = false;  // No answer came, and the connection did not end.
    std::string error;
  };
  using Result = std::variant<HttpResponse, Failure>;
  using Callback = std::function<void(Result)>;

  explicit HttpFetcher(EventLoop& loop);
  ~HttpFetcher();

  // Calls `callback` exactly once, after Fetch() has returned. If the process
  // was not running when `timeout` passed, the request gets up to 500 ms more,
  // so that a response that arrived in the meantime is read.
  //
  // The request is not sent at or after `valid_until`, and its connection is
  // reset then, without the additional time: the server receives the request
  // before that time or never. A new connection that is not open after
  // `connect_timeout` is given up, and the request is not sent.
  void Fetch(const Endpoint& endpoint,
             HttpRequest request,
             Duration timeout,
             Callback callback,
             Time valid_until = kTimeMax,
             Duration connect_timeout = Duration::max());

  // Estimated numbers of bytes, with headers. Sent bytes are counted when a
  // request is written, received bytes when a response is complete.
  struct Counters {
    uint64_t bytes_sent = 0;
    uint64_t bytes_received = 0;
  };
  const Counters& counters() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_NET_HTTP_CLIENT_H_
