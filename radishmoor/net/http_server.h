// HTTP/1.1 server with hard limits, one exchange at a time on each connection.
//
//   HttpServer server(loop, limits, {.on_request = ..., .on_abandoned = ...});
//   Endpoint bound = server.Listen({"127.0.0.1", 0});
//   server.Respond(exchange, response);   // later, once for each exchange
//
// A connection that sends malformed or oversized input is answered with 400,
// 413 or 431 and closed; one that sends too slowly is closed without an answer.
// Memory is bounded by max_connections * (max_header_bytes + max_body_bytes).

#ifndef RADISHMOOR_NET_HTTP_SERVER_H_
#define RADISHMOOR_NET_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "radishmoor/base/time.h"
#include "radishmoor/net/http_message.h"

namespace radishmoor {

class EventLoop;

// One request and its response on a connection. Never reused.
using ExchangeId = uint64_t;

struct HttpServerLimits {
  uint32_t max_header_bytes = 16 * 1024;
  uint32_t max_body_bytes = 1024 * 1024;
  uint32_t max_connections = 12'000;
  // From the first byte of a request to its last.
  Duration read_timeout = Seconds(5);
  // Between requests on a connection.
  Duration idle_timeout = Seconds(120);
  // For writing a whole response.
  Duration write_timeout = Seconds(10);
};

struct HttpServerHandlers {
  std::function<void(ExchangeId, HttpRequest)> on_request;
  // The caller closed the connection before the response was written. No
  // response may follow, and a Respond() that does is ignored.
  std::function<void(ExchangeId)> on_abandoned;
  // Builds the response to input that is refused before on_request. Optional.
  std::function<HttpResponse(unsigned status, std::string reason)> on_bad_input;
};

class HttpServer {
 public:
  HttpServer(EventLoop& loop,
             const HttpServerLimits& limits,
             HttpServerHandlers handlers);
  ~HttpServer();

  // Binds and starts to accept. Returns the bound endpoint; port 0 lets the
  // kernel choose. Throws std::system_error when it cannot bind.
  Endpoint Listen(const Endpoint& endpoint);

  // Stops accepting and closes idle connections. Exchanges in progress finish;
  // their responses carry "Connection: close".
  void StopAccepting();

  // Sends the response of an exchange. Ignored if the exchange has ended.
  void Respond(ExchangeId exchange, HttpResponse response);

  // Closes the connection of an exchange without a response, or after half of
  // it when `partial` holds bytes. For fault injection in stand-ins.
  void Abort(ExchangeId exchange, std::string partial = {});

  // Connections are numbered from 1 in the order of their acceptance. 0 for an
  // exchange that has ended.
  uint64_t ConnectionOf(ExchangeId exchange) const;
  // The number of the next connection.
  uint64_t next_connection() const;

  size_t connection_count() const;
  size_t exchange_count() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_NET_HTTP_SERVER_H_
