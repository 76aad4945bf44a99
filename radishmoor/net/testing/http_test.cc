#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <thread>

#include "radishmoor/net/event_loop.h"
#include "radishmoor/net/http_client.h"
#include "radishmoor/net/http_server.h"

namespace radishmoor {
namespace {

size_t CountHeaders(const HttpHeaders& headers, const std::string& name) {
  size_t count = 0;
  for (const auto& header : headers)
    count += header.first == name ? 1 : 0;
  return count;
}

// Sends `request` to a server that calls `handle` and returns the result of the
// fetch.
HttpFetcher::Result FetchOnce(
    const HttpRequest& request,
    const std::function<void(HttpServer&, ExchangeId, const HttpRequest&)>&
        handle) {
  EventLoop loop;
  std::optional<HttpServer> server;
  server.emplace(
      loop, HttpServerLimits{},
      HttpServerHandlers{.on_request =
                             [&](ExchangeId id, const HttpRequest& received) {
                               handle(*server, id, received);
                             },
                         .on_abandoned = [](ExchangeId) {}});
  Endpoint endpoint = server->Listen({"127.0.0.1", 0});
  HttpFetcher fetcher(loop);
  HttpFetcher::Result result;
  fetcher.Fetch(endpoint, request, Seconds(5), [&](HttpFetcher::Result r) {
    result = std::move(r);
    loop.Stop();
  });
  loop.Run();
  return result;
}

// Guards against code that keeps only the last value of a repeated header, such
// as Set-Cookie.
TEST_CASE("repeated headers are kept in requests and responses") {
  size_t received = 0;
  HttpRequest request{"GET", "/", {{"Accept", "a"}, {"Accept", "b"}}, ""};
  auto result = FetchOnce(request, [&](HttpServer& server, ExchangeId id,
                                       const HttpRequest& r) {
    received = CountHeaders(r.headers, "Accept");
    server.Respond(id, {200, {{"Set-Cookie", "a"}, {"Set-Cookie", "b"}}, "x"});
  });
  REQUIRE(received == 2);
  const auto& response = std::get<HttpResponse>(result);
  REQUIRE(CountHeaders(response.headers, "Set-Cookie") == 2);
  REQUIRE(response.body == "x");
}

// Guards against a truncated response that is taken for a complete one.
TEST_CASE("a response shorter than its Content-Length is a failure") {
  auto result =
      FetchOnce({}, [](HttpServer& server, ExchangeId id, const HttpRequest&) {
        server.Abort(id, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
      });
  REQUIRE(std::get<HttpFetcher::Failure>(result).sent);
}

// Guards against a truncated response that is taken for a complete one: without
// a length, both kinds of response end with the connection.
TEST_CASE("a response without a length is a failure") {
  auto result =
      FetchOnce({}, [](HttpServer& server, ExchangeId id, const HttpRequest&) {
        server.Abort(id, "HTTP/1.1 200 OK\r\n\r\nall or half");
      });
  REQUIRE(std::holds_alternative<HttpFetcher::Failure>(result));
}

// Guards against false timeouts: after the process was stopped for a while,
// the timer expires before the response that arrived meanwhile is read.
TEST_CASE("a response that arrives while the process is stopped is not lost") {
  constexpr size_t kBodyBytes = 200'000;  // Takes several reads.
  EventLoop server_loop;
  std::optional<HttpServer> server;
  server.emplace(
      server_loop, HttpServerLimits{},
      HttpServerHandlers{
          .on_request =
              [&](ExchangeId id, const HttpRequest&) {
                server_loop.RunAfter(Milliseconds(50), [&, id] {
                  server->Respond(id, {200, {}, std::string(kBodyBytes, 'x')});
                });
              },
          .on_abandoned = [](ExchangeId) {}});
  Endpoint endpoint = server->Listen({"127.0.0.1", 0});
  std::thread server_thread([&] { server_loop.Run(); });

  EventLoop loop;
  HttpFetcher fetcher(loop);
  HttpFetcher::Result result;
  fetcher.Fetch(endpoint, {"GET", "/", {}, ""}, Milliseconds(200),
                [&](HttpFetcher::Result r) {
                  result = std::move(r);
                  loop.Stop();
                });
  // Blocks the loop after the request is sent and before the response is, until
  // after the deadline.
  loop.RunAfter(Milliseconds(20), [] {
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
  });
  loop.Run();
  server_loop.Post([&] { server_loop.Stop(); });
  server_thread.join();
  REQUIRE(std::holds_alternative<HttpResponse>(result));
  REQUIRE(std::get<HttpResponse>(result).body.size() == kBodyBytes);
}

// Accepts connections whose receive buffer holds only the first part of a large
// request. The rest waits in the sender's kernel until the test reads.
class SlowReader {
 public:
  SlowReader() : listener_(::socket(AF_INET, SOCK_STREAM, 0)) {
    int bytes = 4096;
    ::setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    ::listen(listener_, 4);
    socklen_t length = sizeof(address);
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
    endpoint_ = {"127.0.0.1", ntohs(address.sin_port)};
  }
  ~SlowReader() { ::close(listener_); }

  const Endpoint& endpoint() const { return endpoint_; }

  // Accepts one connection and reads until its end. Returns the number of bytes
  // that were received.
  size_t ReadConnection() const {
    int connection = ::accept(listener_, nullptr, nullptr);
    char buffer[65536];
    size_t received = 0;
    ssize_t n = 0;
    while ((n = ::read(connection, buffer, sizeof(buffer))) > 0)
      received += static_cast<size_t>(n);
    ::close(connection);
    return received;
  }

 private:
  int listener_;
  Endpoint endpoint_;
};

constexpr size_t kLargeBodyBytes = 200'000;

// Guards against a request that waits in the send buffer of a connection behind
// a partition and is carried out seconds after its sender has given up.
TEST_CASE("a request that timed out is not delivered later") {
  SlowReader server;
  EventLoop loop;
  HttpFetcher fetcher(loop);
  HttpFetcher::Result result;
  fetcher.Fetch(server.endpoint(),
                {"POST", "/", {}, std::string(kLargeBodyBytes, 'x')},
                Milliseconds(100), [&](HttpFetcher::Result r) {
                  result = std::move(r);
                  loop.Stop();
                });
  loop.Run();
  REQUIRE(std::get<HttpFetcher::Failure>(result).sent);
  REQUIRE(server.ReadConnection() < kLargeBodyBytes);
}

// Guards against the same for a process that ends while a request is in its
// send buffer.
TEST_CASE("a request in transit is lost when its sender ends") {
  SlowReader server;
  EventLoop loop;
  {
    HttpFetcher fetcher(loop);
    fetcher.Fetch(server.endpoint(),
                  {"POST", "/", {}, std::string(kLargeBodyBytes, 'x')},
                  Seconds(5), [](const HttpFetcher::Result&) {});
    loop.RunAfter(Milliseconds(100), [&] { loop.Stop(); });
    loop.Run();
  }
  REQUIRE(server.ReadConnection() < kLargeBodyBytes);
}

// Guards against a request that is sent although the permission that it relies
// on ran out while the connection was set up.
TEST_CASE("a request is not sent after the end of its validity") {
  size_t requests = 0;
  EventLoop loop;
  HttpServer server(
      loop, HttpServerLimits{},
      HttpServerHandlers{
          .on_request = [&](ExchangeId, const HttpRequest&) { ++requests; },
          .on_abandoned = [](ExchangeId) {}});
  Endpoint endpoint = server.Listen({"127.0.0.1", 0});
  HttpFetcher fetcher(loop);
  HttpFetcher::Result result;
  Time valid_until = loop.now() + Milliseconds(50);
  fetcher.Fetch(
      endpoint, {"POST", "/", {}, "x"}, Seconds(5),
      [&](HttpFetcher::Result r) { result = std::move(r); }, valid_until);
  // The process does not run until the connection is set up and the validity
  // has ended.
  std::this_thread::sleep_for(std::chrono::milliseconds(80));
  loop.RunAfter(Milliseconds(100), [&] { loop.Stop(); });
  loop.Run();
  REQUIRE(requests == 0);
  REQUIRE_FALSE(std::get<HttpFetcher::Failure>(result).sent);
}

// A listener whose queue of connections is full, so that no other one opens.
class FullListener {
 public:
  FullListener() : listener_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = ::inet_addr("127.0.0.1");
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    REQUIRE(::bind(listener_, generic, size) == 0);
    REQUIRE(::listen(listener_, 0) == 0);
    REQUIRE(::getsockname(listener_, generic, &size) == 0);
    endpoint_ = {"127.0.0.1", ntohs(address.sin_port)};
    for (int& connection : connections_) {
      connection = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      ::connect(connection, generic, size);
    }
  }
  ~FullListener() {
    for (int connection : connections_)
      ::close(connection);
    ::close(listener_);
  }

  const Endpoint& endpoint() const { return endpoint_; }

 private:
  int listener_;
  Endpoint endpoint_;
  std::array<int, 4> connections_{};
};

// Guards against a request that waits for a connection to a server that is down
// and reaches the one that takes its place.
TEST_CASE("a connection that does not open in time is given up") {
  FullListener listener;
  EventLoop loop;
  HttpFetcher fetcher(loop);
  HttpFetcher::Result result;
  Time began = loop.now();
  fetcher.Fetch(
      listener.endpoint(), {"POST", "/", {}, "x"}, Seconds(5),
      [&](HttpFetcher::Result r) {
        result = std::move(r);
        loop.Stop();
      },
      kTimeMax, Milliseconds(100));
  loop.Run();
  REQUIRE_FALSE(std::get<HttpFetcher::Failure>(result).sent);
  REQUIRE(loop.now() - began >= Milliseconds(100));
  REQUIRE(loop.now() - began < Seconds(4));
}

TEST_CASE("an answer may come later than the limit of the connection") {
  EventLoop loop;
  HttpServer* answering = nullptr;
  HttpServer server(
      loop, HttpServerLimits{},
      HttpServerHandlers{.on_request =
                             [&](ExchangeId id, const HttpRequest&) {
                               loop.RunAfter(Milliseconds(300), [&, id] {
                                 answering->Respond(id, {200, {}, ""});
                               });
                             },
                         .on_abandoned = [](ExchangeId) {}});
  answering = &server;
  Endpoint endpoint = server.Listen({"127.0.0.1", 0});
  HttpFetcher fetcher(loop);
  HttpFetcher::Result result;
  fetcher.Fetch(
      endpoint, {"POST", "/", {}, "x"}, Seconds(5),
      [&](HttpFetcher::Result r) {
        result = std::move(r);
        loop.Stop();
      },
      kTimeMax, Milliseconds(200));
  loop.Run();
  REQUIRE(std::holds_alternative<HttpResponse>(result));
}

// Guards against callers that stay connected to a process that cannot serve
// them.
TEST_CASE("a response with the close flag closes its connection") {
  auto result =
      FetchOnce({}, [](HttpServer& server, ExchangeId id, const HttpRequest&) {
        HttpResponse response{503, {}, "elsewhere"};
        response.close = true;
        server.Respond(id, std::move(response));
      });
  const auto& response = std::get<HttpResponse>(result);
  REQUIRE(response.status == 503);
  REQUIRE(FindHeader(response.headers, "Connection") == "close");
}

}  // namespace
}  // namespace radishmoor
