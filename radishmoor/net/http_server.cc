#include "radishmoor/net/http_server.h"

#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "radishmoor/net/asio_types.h"
#include "radishmoor/net/event_loop.h"

namespace radishmoor {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

class Session;

}  // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(EventLoop& event_loop,
       const HttpServerLimits& server_limits,
       HttpServerHandlers server_handlers)
      : loop(event_loop),
        limits(server_limits),
        handlers(std::move(server_handlers)),
        acceptor(event_loop.io_context()) {}

  void Accept();
  void StartSession(LoopSocket socket);

  EventLoop& loop;
  HttpServerLimits limits;
  HttpServerHandlers handlers;
  LoopAcceptor acceptor;
  bool accepting = false;
  bool closed = false;
  ExchangeId next_exchange = 1;
  uint64_t next_connection = 1;
  std::unordered_set<std::shared_ptr<Session>> sessions;
  std::unordered_map<ExchangeId, std::shared_ptr<Session>> exchanges;
};

namespace {

HttpRequest ToRequest(http::request<http::string_body>&& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.emplace_back(std::string(field.name_string()),
                                 std::string(field.value()));
  }
  request.body = std::move(message.body());
  return request;
}

unsigned StatusOfReadError(const error_code& error) {
  if (error == http::error::header_limit)
    return 431;
  if (error == http::error::body_limit)
    return 413;
  return 400;
}

// Serves the requests of one connection one after another: reads a request,
// waits for Respond() and writes the response.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(LoopSocket socket, std::shared_ptr<HttpServer::Impl> server)
      : stream_(std::move(socket)),
        server_(std::move(server)),
        connection_number_(server_->next_connection++) {}

  uint64_t number() const { return connection_number_; }

  void Start() { AwaitRequest(); }

  bool idle() const { return state_ == State::kIdle; }

  void Close() {
    error_code ignored;
    stream_.socket().shutdown(LoopSocket::shutdown_both, ignored);
    stream_.socket().close(ignored);
    server_->sessions.erase(shared_from_this());
  }

  void Respond(HttpResponse response) {
    state_ = State::kWriting;
    exchange_ = 0;
    bool keep_alive = keep_alive_ && server_->accepting && !response.close;
    Write(std::move(response), keep_alive);
  }

  void Abort(std::string partial) {
    if (partial.empty()) {
      Close();
      return;
    }
    partial_response_ = std::move(partial);
    asio::async_write(
        stream_, asio::buffer(partial_response_),
        [self = shared_from_this()](error_code, size_t) { self->Close(); });
  }

 private:
  enum class State { kIdle, kReading, kProcessing, kWriting };

  void AwaitRequest() {
    state_ = State::kIdle;
    if (buffer_.size() > 0) {
      ReadRequest();
      return;
    }
    // The read timeout starts with the first bytes of a request, so that an
    // idle connection is not closed as a slow sender.
    stream_.expires_after(server_->limits.idle_timeout);
    stream_.async_read_some(
        buffer_.prepare(4096),
        [self = shared_from_this()](error_code error, size_t bytes) {
          self->OnFirstBytes(error, bytes);
        });
  }

  void OnFirstBytes(error_code error, size_t bytes) {
    if (error) {
      Close();
      return;
    }
    buffer_.commit(bytes);
    ReadRequest();
  }

  void ReadRequest() {
    state_ = State::kReading;
    parser_.emplace();
    parser_->header_limit(server_->limits.max_header_bytes);
    parser_->body_limit(server_->limits.max_body_bytes);
    stream_.expires_after(server_->limits.read_timeout);
    http::async_read(stream_, buffer_, *parser_,
                     [self = shared_from_this()](error_code error, size_t) {
                       self->OnRequest(error);
                     });
  }

  void OnRequest(error_code error) {
    stream_.expires_never();
    if (error == http::error::end_of_stream ||
        error == asio::error::connection_reset ||
        error == asio::error::operation_aborted) {
      Close();
      return;
    }
    if (error) {
      RejectInput(error);
      return;
    }
    state_ = State::kProcessing;
    keep_alive_ = parser_->get().keep_alive();
    is_head_request_ = parser_->get().method() == http::verb::head;
    exchange_ = server_->next_exchange++;
    server_->exchanges.emplace(exchange_, shared_from_this());
    WatchForClose();
    server_->handlers.on_request(exchange_, ToRequest(parser_->release()));
  }

  void RejectInput(error_code error) {
    // Beast has closed the socket if the read timed out.
    if (!stream_.socket().is_open()) {
      Close();
      return;
    }
    unsigned status = StatusOfReadError(error);
    HttpResponse response{.status = status};
    if (server_->handlers.on_bad_input)
      response = server_->handlers.on_bad_input(status, error.message());
    state_ = State::kWriting;
    Write(std::move(response), false);
  }

  // Detects that the caller closes the connection while its request is
  // processed. Reads nothing, so that the bytes of a next request stay in the
  // socket.
  void WatchForClose() {
    if (waiting_for_close_)
      return;
    waiting_for_close_ = true;
    stream_.socket().async_wait(
        LoopSocket::wait_read, [self = shared_from_this()](error_code error) {
          self->waiting_for_close_ = false;
          if (!error && self->state_ == State::kProcessing)
            self->CheckClosed();
        });
  }

  // Stops watching if bytes of a next request have arrived: a close behind them
  // cannot be seen without reading them.
  void CheckClosed() {
    char byte;
    ssize_t n = ::recv(stream_.socket().native_handle(), &byte, 1,
                       MSG_PEEK | MSG_DONTWAIT);
    if (n > 0)
      return;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      WatchForClose();
      return;
    }
    ExchangeId exchange = std::exchange(exchange_, 0);
    server_->exchanges.erase(exchange);
    auto self = shared_from_this();
    Close();
    server_->handlers.on_abandoned(exchange);
  }

  void Write(HttpResponse response, bool keep_alive) {
    http::response<http::string_body> message;
    message.version(11);
    message.result(response.status);
    for (auto& [name, value] : response.headers)
      message.insert(name, value);
    message.body() = std::move(response.body);
    message.keep_alive(keep_alive);
    message.prepare_payload();
    if (is_head_request_)
      message.body().clear();
    serialized_response_ = SerializeMessage(message);
    stream_.expires_after(server_->limits.write_timeout);
    asio::async_write(
        stream_, asio::buffer(serialized_response_),
        [self = shared_from_this(), keep_alive](error_code error, size_t) {
          self->OnWritten(error, keep_alive);
        });
  }

  void OnWritten(error_code error, bool keep_alive) {
    serialized_response_.clear();
    if (error || !keep_alive || !server_->accepting) {
      Close();
      return;
    }
    AwaitRequest();
  }

  LoopStream stream_;
  std::shared_ptr<HttpServer::Impl> server_;
  uint64_t connection_number_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string serialized_response_;
  std::string partial_response_;
  State state_ = State::kIdle;
  ExchangeId exchange_ = 0;
  bool keep_alive_ = true;
  bool is_head_request_ = false;
  bool waiting_for_close_ = false;
};

}  // namespace

void HttpServer::Impl::Accept() {
  acceptor.async_accept(
      [self = shared_from_this()](error_code error, LoopSocket socket) {
        if (self->closed || !self->accepting)
          return;
        if (!error)
          self->StartSession(std::move(socket));
        self->Accept();
      });
}

void HttpServer::Impl::StartSession(LoopSocket socket) {
  if (sessions.size() >= limits.max_connections)
    return;  // The destructor of `socket` closes the connection.
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  auto session =
      std::make_shared<Session>(std::move(socket), shared_from_this());
  sessions.insert(session);
  session->Start();
}

HttpServer::HttpServer(EventLoop& loop,
                       const HttpServerLimits& limits,
                       HttpServerHandlers handlers)
    : impl_(std::make_shared<Impl>(loop, limits, std::move(handlers))) {}

HttpServer::~HttpServer() {
  impl_->closed = true;
  StopAccepting();
  impl_->exchanges.clear();
  auto sessions = impl_->sessions;
  for (const auto& session : sessions)
    session->Close();
}

Endpoint HttpServer::Listen(const Endpoint& endpoint) {
  tcp::endpoint address(asio::ip::make_address(endpoint.ip), endpoint.port);
  impl_->acceptor.open(address.protocol());
  impl_->acceptor.set_option(LoopAcceptor::reuse_address(true));
  impl_->acceptor.bind(address);
  impl_->acceptor.listen(4096);
  impl_->accepting = true;
  impl_->Accept();
  return {endpoint.ip, impl_->acceptor.local_endpoint().port()};
}

void HttpServer::StopAccepting() {
  impl_->accepting = false;
  error_code ignored;
  impl_->acceptor.close(ignored);
  auto sessions = impl_->sessions;
  for (const auto& session : sessions) {
    if (session->idle())
      session->Close();
  }
}

void HttpServer::Respond(ExchangeId exchange, HttpResponse response) {
  auto node = impl_->exchanges.extract(exchange);
  if (!node.empty())
    node.mapped()->Respond(std::move(response));
}

void HttpServer::Abort(ExchangeId exchange, std::string partial) {
  auto node = impl_->exchanges.extract(exchange);
  if (!node.empty())
    node.mapped()->Abort(std::move(partial));
}

uint64_t HttpServer::ConnectionNumber(ExchangeId exchange) const {
  auto it = impl_->exchanges.find(exchange);
  return it == impl_->exchanges.end() ? 0 : it->second->number();
}

uint64_t HttpServer::next_connection() const {
  return impl_->next_connection;
}

size_t HttpServer::connection_count() const {
  return impl_->sessions.size();
}

size_t HttpServer::exchange_count() const {
  return impl_->exchanges.size();
}

}  // namespace radishmoor
