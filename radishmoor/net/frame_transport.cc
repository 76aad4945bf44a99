#include "radishmoor/net/frame_transport.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <map>
#include <string>
#include <unordered_set>
#include <utility>

#include "radishmoor/net/event_loop.h"

namespace radishmoor {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

class IncomingConnection;
class OutgoingConnection;

// Returns the payload after its length, 4 bytes, big-endian.
std::string EncodeFrame(const std::string& payload) {
  auto size = static_cast<uint32_t>(payload.size());
  std::string frame;
  frame.reserve(payload.size() + 4);
  for (int shift = 24; shift >= 0; shift -= 8)
    frame.push_back(static_cast<char>((size >> shift) & 0xff));
  return frame + payload;
}

}  // namespace

struct FrameTransport::Impl
    : std::enable_shared_from_this<FrameTransport::Impl> {
  Impl(EventLoop& event_loop, std::function<void(std::string_view)> handler)
      : loop(event_loop),
        on_frame(std::move(handler)),
        acceptor(event_loop.io_context()) {}

  void Accept();
  void Receive(std::string_view bytes);

  EventLoop& loop;
  std::function<void(std::string_view)> on_frame;
  tcp::acceptor acceptor;
  std::unordered_set<std::shared_ptr<IncomingConnection>> incoming;
  std::map<Endpoint, std::shared_ptr<OutgoingConnection>> outgoing;
  Counters counters;
  Duration ack_timeout{};
};

namespace {

class IncomingConnection
    : public std::enable_shared_from_this<IncomingConnection> {
 public:
  IncomingConnection(tcp::socket socket,
                     std::shared_ptr<FrameTransport::Impl> transport)
      : socket_(std::move(socket)), transport_(std::move(transport)) {}

  void ReadLength() {
    asio::async_read(socket_, asio::buffer(header_),
                     [self = shared_from_this()](error_code error, size_t) {
                       if (error) {
                         self->Close();
                         return;
                       }
                       self->ReadPayload();
                     });
  }

  void Close() {
    error_code ignored;
    socket_.close(ignored);
    transport_->incoming.erase(shared_from_this());
  }

 private:
  void ReadPayload() {
    uint32_t size = 0;
    for (unsigned char byte : header_)
      size = (size << 8) | byte;
    if (size == 0 || size > FrameTransport::kMaxFrameBytes) {
      ++transport_->counters.malformed;
      Close();
      return;
    }
    payload_.resize(size);
    asio::async_read(socket_, asio::buffer(payload_),
                     [self = shared_from_this()](error_code error, size_t) {
                       if (error) {
                         self->Close();
                         return;
                       }
                       self->transport_->Receive(self->payload_);
                       self->ReadLength();
                     });
  }

  tcp::socket socket_;
  std::shared_ptr<FrameTransport::Impl> transport_;
  std::array<unsigned char, 4> header_{};
  std::string payload_;
};

class OutgoingConnection
    : public std::enable_shared_from_this<OutgoingConnection> {
 public:
  OutgoingConnection(const Endpoint& endpoint,
                     std::shared_ptr<FrameTransport::Impl> transport)
      : endpoint_(endpoint),
        transport_(std::move(transport)),
        socket_(transport_->loop.io_context()),
        opened_at_(transport_->loop.now()) {}

  void Connect() {
    if (transport_->ack_timeout > Duration::zero()) {
      connect_timer_ = transport_->loop.RunAfter(
          transport_->ack_timeout, [self = shared_from_this()] {
            if (!self->connected_ && !self->closed_)
              self->CloseAndRemove();
          });
    }
    tcp::endpoint address(asio::ip::make_address(endpoint_.ip), endpoint_.port);
    socket_.async_connect(address,
                          [self = shared_from_this()](error_code error) {
                            self->OnConnected(error);
                          });
  }

  void Send(std::string frame) {
    if (queued_bytes_ + frame.size() > FrameTransport::kMaxQueuedBytes) {
      ++transport_->counters.dropped;
      return;
    }
    queued_bytes_ += frame.size();
    queue_.push_back(std::move(frame));
    if (connected_ && queue_.size() == 1)
      Write();
  }

  void Close() {
    closed_ = true;
    error_code ignored;
    socket_.close(ignored);
  }

  Time opened_at() const { return opened_at_; }

 private:
  void OnConnected(error_code error) {
    if (closed_)
      return;
    if (error) {
      CloseAndRemove();
      return;
    }
    transport_->loop.Cancel(connect_timer_);
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    SetUserTimeout();
    connected_ = true;
    if (!queue_.empty())
      Write();
  }

  void SetUserTimeout() {
    auto limit =
        static_cast<unsigned>(WholeMilliseconds(transport_->ack_timeout));
    if (limit > 0)
      ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                   &limit, sizeof(limit));
  }

  void Write() {
    asio::async_write(
        socket_, asio::buffer(queue_.front()),
        [self = shared_from_this()](error_code error, size_t bytes) {
          self->OnWritten(error, bytes);
        });
  }

  void OnWritten(error_code error, size_t bytes) {
    if (closed_)
      return;
    if (error) {
      CloseAndRemove();
      return;
    }
    transport_->counters.bytes_sent += bytes;
    queued_bytes_ -= queue_.front().size();
    queue_.pop_front();
    if (!queue_.empty())
      Write();
  }

  // Drops the queued frames. The next Send() opens a new connection.
  void CloseAndRemove() {
    transport_->counters.dropped += queue_.size();
    auto self = shared_from_this();
    Close();
    auto it = transport_->outgoing.find(endpoint_);
    if (it != transport_->outgoing.end() && it->second == self)
      transport_->outgoing.erase(it);
  }

  Endpoint endpoint_;
  std::shared_ptr<FrameTransport::Impl> transport_;
  tcp::socket socket_;
  std::deque<std::string> queue_;
  size_t queued_bytes_ = 0;
  Time opened_at_;
  TimerId connect_timer_ = 0;
  bool connected_ = false;
  bool closed_ = false;
};

}  // namespace

void FrameTransport::Impl::Accept() {
  acceptor.async_accept(
      [self = shared_from_this()](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
          return;
        if (!error && self->incoming.size() < kMaxConnections) {
          auto connection =
              std::make_shared<IncomingConnection>(std::move(socket), self);
          self->incoming.insert(connection);
          connection->ReadLength();
        }
        self->Accept();
      });
}

void FrameTransport::Impl::Receive(std::string_view payload) {
  counters.bytes_received += payload.size() + 4;
  on_frame(payload);
}

FrameTransport::FrameTransport(EventLoop& loop,
                               std::function<void(std::string_view)> on_frame,
                               Duration ack_timeout)
    : impl_(std::make_shared<Impl>(loop, std::move(on_frame))) {
  impl_->ack_timeout = ack_timeout;
}

FrameTransport::~FrameTransport() {
  error_code ignored;
  impl_->acceptor.close(ignored);
  auto incoming = impl_->incoming;
  for (const auto& connection : incoming)
    connection->Close();
  for (const auto& [endpoint, connection] : impl_->outgoing)
    connection->Close();
  impl_->outgoing.clear();
}

Endpoint FrameTransport::Listen(const Endpoint& endpoint) {
  tcp::endpoint address(asio::ip::make_address(endpoint.ip), endpoint.port);
  impl_->acceptor.open(address.protocol());
  impl_->acceptor.set_option(tcp::acceptor::reuse_address(true));
  impl_->acceptor.bind(address);
  impl_->acceptor.listen(256);
  impl_->Accept();
  return {endpoint.ip, impl_->acceptor.local_endpoint().port()};
}

void FrameTransport::Send(const Endpoint& endpoint,
                          const std::string& payload) {
  ++impl_->counters.sent;
  auto it = impl_->outgoing.find(endpoint);
  if (it == impl_->outgoing.end()) {
    auto connection = std::make_shared<OutgoingConnection>(endpoint, impl_);
    it = impl_->outgoing.emplace(endpoint, connection).first;
    connection->Connect();
  }
  it->second->Send(EncodeFrame(payload));
}

std::optional<Time> FrameTransport::outgoing_opened_at(
    const Endpoint& endpoint) const {
  auto it = impl_->outgoing.find(endpoint);
  if (it == impl_->outgoing.end())
    return std::nullopt;
  return it->second->opened_at();
}

void FrameTransport::CloseOutgoing(const Endpoint& endpoint) {
  auto it = impl_->outgoing.find(endpoint);
  if (it == impl_->outgoing.end())
    return;
  ++impl_->counters.reopened;
  it->second->Close();
  impl_->outgoing.erase(it);
}

const FrameTransport::Counters& FrameTransport::counters() const {
  return impl_->counters;
}

}  // namespace radishmoor
