// Outgoing HTTP/1.1 connections, addressed by ids that the user chooses.
//
//   HttpClient client(loop, {.on_opened = ..., .on_response = ...});
//   client.Open(id, endpoint);
//   client.Send(id, request);     // after on_opened; one exchange at a time
//   client.Close(id);
//
// The client has no time-outs of its own: its user decides when to close. After
// Close(id) no handler is called for that connection. A response counts only
// when it is whole: one without a length that ends with the connection is a
// failure, since a cut cannot be told from its end.

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
  // The exchange ended without a whole response. The connection is closed.
  std::function<void(ConnectionId, std::string error)> on_exchange_failed;
  // The peer closed an idle connection.
  std::function<void(ConnectionId)> on_closed;
};

class HttpClient {
 public:
  HttpClient(EventLoop& loop,
             HttpClientHandlers handlers,
             uint64_t max_response_bytes = 8 * 1024 * 1024);
  ~HttpClient();

  void Open(ConnectionId id, const Endpoint& endpoint);

  // Writes `request` on an open connection without an exchange in progress.
  // False, with nothing written, if there is no such connection.
  bool Send(ConnectionId id, const HttpRequest& request);

  void Close(ConnectionId id);

  size_t connection_count() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

// Single requests to one endpoint with a time-out, over kept connections.
class HttpFetcher {
 public:
  struct Failure {
    bool sent = false;  // The request may have reached the server.
    std::string error;
  };
  using Result = std::variant<HttpResponse, Failure>;
  using Callback = std::function<void(Result)>;

  explicit HttpFetcher(EventLoop& loop);
  ~HttpFetcher();

  // Calls `callback` exactly once, not before Fetch returns. A process that is
  // kept from running waits longer than `timeout`, by at most half a second.
  void Fetch(const Endpoint& endpoint,
             HttpRequest request,
             Duration timeout,
             Callback callback);

  // Requests and responses with their headers, as far as exchanged whole.
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
