// HTTP/1.1 server with hard limits on size and time. Each connection carries
// one exchange at a time.
//
//   HttpServer server(loop, limits, {.on_request = ..., .on_abandoned = ...});
//   Endpoint bound = server.Listen({"127.0.0.1", 0});
//   server.Respond(exchange, response);   // Once for each on_request.
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

// Identifies one request and its response. Never reused within a server.
using ExchangeId = uint64_t;

struct HttpServerLimits {
  uint32_t max_header_bytes = 16 * 1024;
  uint32_t max_body_bytes = 1024 * 1024;
  uint32_t max_connections = 12'000;
  // From the first byte of a request to its last.
  Duration read_timeout = Seconds(5);
  // From the end of a response, or the start of the connection, to the first
  // byte of the next request.
  Duration idle_timeout = Seconds(120);
  // For writing a whole response.
  Duration write_timeout = Seconds(10);
};

struct HttpServerHandlers {
  std::function<void(ExchangeId, HttpRequest)> on_request;
  // The caller closed the connection before Respond(). A later Respond() for
  // this exchange is ignored.
  std::function<void(ExchangeId)> on_abandoned;
  // Builds the response to malformed or oversized input, which does not reach
  // on_request. Optional; without it the response has the status only.
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

  // Closes the connection of an exchange without a response. If `partial` is
  // not empty, writes it first, as the start of a truncated response. For fault
  // injection in stand-ins.
  void Abort(ExchangeId exchange, std::string partial = {});

  // Returns the number of the connection that carries `exchange`, or 0 if the
  // exchange has ended. Connections are numbered from 1 in the order in which
  // they are accepted.
  uint64_t ConnectionNumber(ExchangeId exchange) const;
  // Returns the number that the next accepted connection will have.
  uint64_t next_connection() const;

  size_t connection_count() const;
  size_t exchange_count() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_NET_HTTP_SERVER_H_
