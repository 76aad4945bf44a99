#include "radishmoor/standins/relay.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <unordered_set>
#include <utility>

#include "radishmoor/net/event_loop.h"

namespace radishmoor {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

class Link;

}  // namespace

struct Relay::Impl : std::enable_shared_from_this<Relay::Impl> {
  explicit Impl(EventLoop& event_loop)
      : loop(event_loop), acceptor(event_loop.io_context()) {}

  void Accept();

  EventLoop& loop;
  tcp::acceptor acceptor;
  std::vector<Endpoint> targets;
  size_t next_target = 0;
  RelayMode mode = RelayMode::kForward;
  Duration delay = Duration::zero();
  std::unordered_set<std::shared_ptr<Link>> links;
};

namespace {

// One relayed connection: the caller's socket (0) and the target's (1).
class Link : public std::enable_shared_from_this<Link> {
 public:
  Link(tcp::socket caller, std::shared_ptr<Relay::Impl> relay)
      : relay_(std::move(relay)),
        sockets_{std::move(caller), tcp::socket(relay_->loop.io_context())},
        attempts_left_(relay_->targets.size()) {}

  void Connect() {
    if (attempts_left_ == 0) {
      Close();
      return;
    }
    --attempts_left_;
    const std::vector<Endpoint>& targets = relay_->targets;
    const Endpoint& target = targets[relay_->next_target++ % targets.size()];
    sockets_[1] = tcp::socket(relay_->loop.io_context());
    sockets_[1].async_connect(
        tcp::endpoint(asio::ip::make_address(target.ip), target.port),
        [self = shared_from_this()](error_code error) {
          self->OnConnected(error);
        });
  }

  void Close() {
    error_code ignored;
    sockets_[0].close(ignored);
    sockets_[1].close(ignored);
    relay_->links.erase(shared_from_this());
  }

  void set_silent(bool silent) { silent_ = silent; }

 private:
  void OnConnected(error_code error) {
    if (!sockets_[0].is_open())
      return;
    if (error) {
      Connect();
      return;
    }
    error_code ignored;
    sockets_[0].set_option(tcp::no_delay(true), ignored);
    sockets_[1].set_option(tcp::no_delay(true), ignored);
    Pump(0);
    Pump(1);
  }

  // Reads from sockets_[source] and forwards the data to the other socket.
  void Pump(size_t source) {
    sockets_[source].async_read_some(
        asio::buffer(buffers_[source]),
        [self = shared_from_this(), source](error_code error, size_t bytes) {
          self->OnRead(source, error, bytes);
        });
  }

  void OnRead(size_t source, error_code error, size_t bytes) {
    if (error) {
      if (!silent_)
        Close();
      return;
    }
    if (silent_) {
      Pump(source);
      return;
    }
    if (relay_->delay == Duration::zero()) {
      Forward(source, bytes);
      return;
    }
    relay_->loop.RunAfter(relay_->delay,
                          [self = shared_from_this(), source, bytes] {
                            self->Forward(source, bytes);
                          });
  }

  void Forward(size_t source, size_t bytes) {
    asio::async_write(
        sockets_[1 - source], asio::buffer(buffers_[source].data(), bytes),
        [self = shared_from_this(), source](error_code error, size_t) {
          if (error) {
            self->Close();
          } else {
            self->Pump(source);
          }
        });
  }

  std::shared_ptr<Relay::Impl> relay_;
  std::array<tcp::socket, 2> sockets_;
  std::array<std::array<char, 16 * 1024>, 2> buffers_;
  size_t attempts_left_;
  bool silent_ = false;
};

}  // namespace

void Relay::Impl::Accept() {
  acceptor.async_accept([self = shared_from_this()](error_code error,
                                                    tcp::socket socket) {
    if (error == asio::error::operation_aborted)
      return;
    if (!error && self->mode != RelayMode::kRefuse && !self->targets.empty()) {
      auto link = std::make_shared<Link>(std::move(socket), self);
      link->set_silent(self->mode == RelayMode::kSilent);
      self->links.insert(link);
      link->Connect();
    }
    self->Accept();
  });
}

Relay::Relay(EventLoop& loop) : impl_(std::make_shared<Impl>(loop)) {}

Relay::~Relay() {
  error_code ignored;
  impl_->acceptor.close(ignored);
  auto links = impl_->links;
  for (const auto& link : links)
    link->Close();
}

Endpoint Relay::Listen(const Endpoint& endpoint) {
  tcp::endpoint address(asio::ip::make_address(endpoint.ip), endpoint.port);
  impl_->acceptor.open(address.protocol());
  impl_->acceptor.set_option(tcp::acceptor::reuse_address(true));
  impl_->acceptor.bind(address);
  impl_->acceptor.listen(4096);
  impl_->Accept();
  return {endpoint.ip, impl_->acceptor.local_endpoint().port()};
}

void Relay::SetTargets(std::vector<Endpoint> targets) {
  impl_->targets = std::move(targets);
}

void Relay::SetMode(RelayMode mode) {
  impl_->mode = mode;
  auto links = impl_->links;
  for (const auto& link : links) {
    if (mode == RelayMode::kRefuse)
      link->Close();
    if (mode == RelayMode::kSilent || mode == RelayMode::kSilenceOpen)
      link->set_silent(true);
  }
}

void Relay::SetDelay(Duration delay) {
  impl_->delay = delay;
}

size_t Relay::connection_count() const {
  return impl_->links.size();
}

}  // namespace radishmoor
