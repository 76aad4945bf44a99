#include "radishmoor/net/http_client.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "radishmoor/net/asio_types.h"
#include "radishmoor/net/event_loop.h"

namespace radishmoor {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

class ClientConnection;

HttpResponse ToResponse(http::response<http::string_body>&& message) {
  HttpResponse response;
  response.status = message.result_int();
  for (const auto& field : message) {
    response.headers.emplace_back(std::string(field.name_string()),
                                  std::string(field.value()));
  }
  response.body = std::move(message.body());
  return response;
}

}  // namespace

struct HttpClient::Impl {
  EventLoop& loop;
  HttpClientHandlers handlers;
  uint64_t max_response_bytes;
  std::unordered_map<ConnectionId, std::shared_ptr<ClientConnection>>
      connections;
};

namespace {

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(ConnectionId id, const std::shared_ptr<HttpClient::Impl>& c)
      : id_(id), client_(c), socket_(c->loop.io_context()) {}

  void Open(const Endpoint& endpoint) {
    tcp::endpoint address(asio::ip::make_address(endpoint.ip), endpoint.port);
    error_code ignored;
    socket_.open(address.protocol(), ignored);
    DiscardUndeliveredBytes();
    socket_.async_connect(address,
                          [self = shared_from_this()](error_code error) {
                            self->OnConnected(error);
                          });
  }

  bool Send(const HttpRequest& request) {
    if (state_ != State::kIdle)
      return false;
    state_ = State::kBusy;
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    for (const auto& [name, value] : request.headers)
      message.insert(name, value);
    message.body() = request.body;
    message.prepare_payload();
    serialized_request_ = SerializeMessage(message);
    response_.emplace();
    response_->body_limit(client_->max_response_bytes);
    response_->header_limit(64 * 1024);
    if (request.method == "HEAD")
      response_->skip(true);
    asio::async_write(socket_, asio::buffer(serialized_request_),
                      [self = shared_from_this()](error_code error, size_t) {
                        if (error)
                          self->FailExchange(error.message());
                      });
    http::async_read(socket_, buffer_, *response_,
                     [self = shared_from_this()](error_code error, size_t) {
                       self->OnRead(error);
                     });
    return true;
  }

  void Close() {
    state_ = State::kClosed;
    error_code ignored;
    socket_.close(ignored);
  }

 private:
  enum class State { kConnecting, kIdle, kBusy, kClosed };

  // Sets the socket options that keep the kernel from delivering a request
  // after the connection was closed, the process has ended, or the peer was
  // unreachable for long.
  void DiscardUndeliveredBytes() {
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    int timeout_ms =
        static_cast<int>(WholeMilliseconds(kMaxUnacknowledgedTime));
    ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                 &timeout_ms, sizeof(timeout_ms));
  }

  // Closes the connection. Completions that are still pending see kClosed and
  // do nothing.
  void CloseAndRemove() {
    Close();
    client_->connections.erase(id_);
  }

  void OnConnected(error_code error) {
    if (state_ == State::kClosed)
      return;
    auto self = shared_from_this();
    if (error) {
      CloseAndRemove();
      client_->handlers.on_open_failed(id_, error.message());
      return;
    }
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    state_ = State::kIdle;
    WatchForClose();
    client_->handlers.on_opened(id_);
  }

  void OnRead(error_code error) {
    if (state_ != State::kBusy)
      return;
    if (error) {
      FailExchange(error.message());
      return;
    }
    bool complete =
        !response_->need_eof() || response_->get().result_int() == 204;
    if (!complete) {
      FailExchange("response without a length");
      return;
    }
    // Bytes after the end of the response answer no request; the next exchange
    // would read them as its response.
    bool reusable = response_->keep_alive() && buffer_.size() == 0;
    auto self = shared_from_this();
    HttpResponse response = ToResponse(response_->release());
    serialized_request_.clear();
    if (reusable) {
      state_ = State::kIdle;
      WatchForClose();
    } else {
      CloseAndRemove();
    }
    client_->handlers.on_response(id_, std::move(response), reusable);
  }

  void FailExchange(const std::string& error) {
    if (state_ != State::kBusy)
      return;
    auto self = shared_from_this();
    CloseAndRemove();
    client_->handlers.on_exchange_failed(id_, error);
  }

  // Waits until an idle connection becomes readable. It is then closed, because
  // bytes that arrive without a request, or the end of the stream, make it
  // unusable.
  void WatchForClose() {
    if (waiting_for_close_)
      return;
    waiting_for_close_ = true;
    socket_.async_wait(LoopSocket::wait_read,
                       [self = shared_from_this()](error_code) {
                         self->waiting_for_close_ = false;
                         self->OnIdleReadable();
                       });
  }

  void OnIdleReadable() {
    if (state_ != State::kIdle)
      return;
    error_code error;
    // The wait may have ended because of bytes of the last response, which were
    // read in the meantime; the connection is then still usable.
    if (socket_.available(error) == 0 && !error) {
      char byte;
      ssize_t n =
          ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
      if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        WatchForClose();
        return;
      }
    }
    auto self = shared_from_this();
    CloseAndRemove();
    client_->handlers.on_closed(id_);
  }

  ConnectionId id_;
  std::shared_ptr<HttpClient::Impl> client_;
  LoopSocket socket_;
  beast::flat_buffer buffer_;
  std::string serialized_request_;
  std::optional<http::response_parser<http::string_body>> response_;
  State state_ = State::kConnecting;
  bool waiting_for_close_ = false;
};

}  // namespace

HttpClient::HttpClient(EventLoop& loop,
                       HttpClientHandlers handlers,
                       uint64_t max_response_bytes)
    : impl_(std::make_shared<Impl>(
          Impl{loop, std::move(handlers), max_response_bytes, {}})) {}

HttpClient::~HttpClient() {
  for (auto& [id, connection] : impl_->connections)
    connection->Close();
  impl_->connections.clear();
}

void HttpClient::Open(ConnectionId id, const Endpoint& endpoint) {
  auto connection = std::make_shared<ClientConnection>(id, impl_);
  impl_->connections.emplace(id, connection);
  connection->Open(endpoint);
}

bool HttpClient::Send(ConnectionId id, const HttpRequest& request) {
  auto it = impl_->connections.find(id);
  return it != impl_->connections.end() && it->second->Send(request);
}

void HttpClient::Close(ConnectionId id) {
  auto node = impl_->connections.extract(id);
  if (!node.empty())
    node.mapped()->Close();
}

size_t HttpClient::connection_count() const {
  return impl_->connections.size();
}

namespace {

// Estimated size of the start line, the blank line and the Content-Length
// header that Beast adds.
constexpr uint64_t kFramingBytes = 40;
// If the timer of a request fires later than its deadline by more than
// kLateTimerThreshold, the process was not running in the meantime, and the
// response may have arrived without being read. The deadline is then extended
// once by that delay, up to kMaxDeadlineExtension.
constexpr Duration kLateTimerThreshold = Milliseconds(5);
constexpr Duration kMaxDeadlineExtension = Milliseconds(500);

uint64_t WireBytes(const HttpHeaders& headers, const std::string& body) {
  uint64_t bytes = kFramingBytes + body.size();
  for (const auto& [name, value] : headers)
    bytes += name.size() + value.size() + 4;  // ": " and the line end.
  return bytes;
}

}  // namespace

struct HttpFetcher::Impl {
  struct Exchange {
    Endpoint endpoint;
    HttpRequest request;
    Callback callback;
    TimerId timer = 0;
    Time deadline;
    Time connect_by;
    Time answer_by;
    Time valid_until = kTimeMax;
    bool extended = false;
    bool sent = false;
  };

  explicit Impl(EventLoop& event_loop)
      : loop(event_loop),
        client(event_loop,
               {.on_opened = [this](ConnectionId id) { SendRequest(id); },
                .on_open_failed =
                    [this](ConnectionId id, std::string error) {
                      Finish(id, Failure{false, false, std::move(error)});
                    },
                .on_response =
                    [this](ConnectionId id,
                           HttpResponse response,
                           bool may_reuse) {
                      if (may_reuse)
                        idle[exchanges.at(id).endpoint].push_back(id);
                      Finish(id, std::move(response));
                    },
                .on_exchange_failed =
                    [this](ConnectionId id, std::string error) {
                      Finish(id, Failure{true, false, std::move(error)});
                    },
                .on_closed =
                    [this](ConnectionId id) {
                      for (auto& [endpoint, ids] : idle)
                        std::erase(ids, id);
                    }}) {}

  void SendRequest(ConnectionId id) {
    auto it = exchanges.find(id);
    if (it == exchanges.end())
      return;
    // The timer, whose deadline is not later, ends the exchange.
    if (loop.now() >= it->second.valid_until)
      return;
    it->second.sent = true;
    if (it->second.connect_by < it->second.answer_by) {
      loop.Cancel(it->second.timer);
      ArmTimer(id, it->second.answer_by);
    }
    const HttpRequest& request = it->second.request;
    counters.bytes_sent +=
        WireBytes(request.headers, request.body) + request.target.size();
    client.Send(id, it->second.request);
  }

  // Called after a timeout: its cause may have broken the idle connections to
  // the same endpoint as well.
  void CloseIdleConnections(const Endpoint& endpoint) {
    auto node = idle.extract(endpoint);
    if (node.empty())
      return;
    for (ConnectionId id : node.mapped())
      client.Close(id);
  }

  void ArmTimer(ConnectionId id, Time deadline) {
    Exchange& exchange = exchanges.at(id);
    exchange.deadline = deadline;
    exchange.timer = loop.RunAt(deadline, [this, id] { OnDeadline(id); });
  }

  void OnDeadline(ConnectionId id) {
    Exchange& exchange = exchanges.at(id);
    Time now = loop.now();
    Duration late = now - exchange.deadline;
    if (late > kLateTimerThreshold && !exchange.extended &&
        now < exchange.valid_until) {
      exchange.extended = true;
      ArmTimer(id, std::min(now + std::min(late, kMaxDeadlineExtension),
                            exchange.valid_until));
      return;
    }
    bool sent = exchange.sent;
    client.Close(id);
    CloseIdleConnections(exchange.endpoint);
    Finish(id, Failure{sent, true, "timed out"});
  }

  void Finish(ConnectionId id, Result result) {
    auto node = exchanges.extract(id);
    if (node.empty())
      return;
    loop.Cancel(node.mapped().timer);
    if (const auto* response = std::get_if<HttpResponse>(&result))
      counters.bytes_received += WireBytes(response->headers, response->body);
    node.mapped().callback(std::move(result));
  }

  EventLoop& loop;
  HttpClient client;
  Counters counters;
  uint64_t next_id = 1;
  std::map<ConnectionId, Exchange> exchanges;
  std::map<Endpoint, std::vector<ConnectionId>> idle;
};

HttpFetcher::HttpFetcher(EventLoop& loop)
    : impl_(std::make_shared<Impl>(loop)) {}

HttpFetcher::~HttpFetcher() {
  for (auto& [id, exchange] : impl_->exchanges)
    impl_->loop.Cancel(exchange.timer);
}

void HttpFetcher::Fetch(const Endpoint& endpoint,
                        HttpRequest request,
                        Duration timeout,
                        Callback callback,
                        Time valid_until,
                        Duration connect_timeout) {
  std::vector<ConnectionId>& idle = impl_->idle[endpoint];
  bool reuse = !idle.empty();
  ConnectionId id = reuse ? idle.back() : ConnectionId{impl_->next_id++};
  if (reuse)
    idle.pop_back();
  Impl::Exchange& exchange = impl_->exchanges[id];
  exchange = {endpoint, std::move(request), std::move(callback)};
  exchange.valid_until = valid_until;
  exchange.answer_by = std::min(impl_->loop.now() + timeout, valid_until);
  exchange.connect_by =
      reuse ? exchange.answer_by
            : impl_->loop.now() + std::min(timeout, connect_timeout);
  impl_->ArmTimer(id, std::min(exchange.connect_by, exchange.answer_by));
  if (reuse) {
    impl_->SendRequest(id);
  } else {
    impl_->client.Open(id, endpoint);
  }
}

const HttpFetcher::Counters& HttpFetcher::counters() const {
  return impl_->counters;
}

}  // namespace radishmoor
