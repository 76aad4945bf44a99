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
