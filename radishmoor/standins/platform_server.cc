#include "radishmoor/standins/platform_server.h"

#include <boost/json.hpp>
#include <map>
#include <string>
#include <utility>

#include "radishmoor/base/random.h"
#include "radishmoor/net/event_loop.h"
#include "radishmoor/net/http_client.h"
#include "radishmoor/net/http_server.h"
#include "radishmoor/net/store_json.h"
#include "radishmoor/store/memory_table.h"

namespace radishmoor {

namespace json = boost::json;

namespace {

enum class FaultMode { kUp, kDown, kSlow, kLoseAnswers };

struct Faults {
  FaultMode mode = FaultMode::kUp;
  Duration delay = Duration::zero();
  double probability = 1.0;
};

FaultMode ModeFromName(std::string_view name) {
  if (name == "down")
    return FaultMode::kDown;
  if (name == "slow")
    return FaultMode::kSlow;
  if (name == "lose-answers")
    return FaultMode::kLoseAnswers;
  return FaultMode::kUp;
}

HttpServerLimits PlatformLimits() {
  HttpServerLimits limits;
  limits.max_body_bytes = 64 * 1024 * 1024;
  return limits;
}

HttpResponse Text(unsigned status, std::string body) {
  return {status, {{"Content-Type", "text/plain"}}, std::move(body)};
}

}  // namespace

struct PlatformServer::Impl {
  Impl(EventLoop& event_loop, uint64_t seed)
      : loop(event_loop),
        random(seed),
        fetcher(event_loop),
        server(event_loop,
               PlatformLimits(),
               {.on_request =
                    [this](ExchangeId id, HttpRequest request) {
                      OnRequest(id, request);
                    },
                .on_abandoned = [](ExchangeId) {}}) {}

  void OnRequest(ExchangeId id, const HttpRequest& request);
  void OnAdmin(ExchangeId id, const HttpRequest& request);
  void OnStoreRequest(ExchangeId id, const HttpRequest& request);
  void SetFaults(const json::object& body);
  void SetHosts(const json::object& body);
  void ForwardOperation(ExchangeId id,
                        std::string_view operation,
                        const json::object& body);
  HttpResponse Stats() const;

  EventLoop& loop;
  Random random;
  HttpFetcher fetcher;
  MemoryTable table;
  Faults faults;
  uint64_t requests = 0;
  using OperationKey = std::pair<std::string, std::string>;  // Operation, host.
  // The largest key of an operation that succeeded on the host.
  std::map<OperationKey, uint64_t> last_completed_keys;
  HttpServer server;
};

void PlatformServer::Impl::OnRequest(ExchangeId id,
                                     const HttpRequest& request) {
  bool admin = request.target == "/faults" || request.target == "/stats" ||
               request.target.starts_with("/operations/") ||
               (request.target == "/hosts" && request.method == "POST");
  try {
    if (admin) {
      OnAdmin(id, request);
    } else {
      OnStoreRequest(id, request);
    }
  } catch (const std::exception& error) {
    server.Respond(id, Text(400, error.what()));
  }
}

void PlatformServer::Impl::OnAdmin(ExchangeId id, const HttpRequest& request) {
  if (request.target == "/stats") {
    server.Respond(id, Stats());
    return;
  }
  json::value parsed = json::parse(request.body);
  const json::object& body = parsed.as_object();
  constexpr std::string_view kOperations = "/operations/";
  if (request.target.starts_with(kOperations)) {
    ForwardOperation(
        id, std::string_view(request.target).substr(kOperations.size()), body);
    return;
  }
  if (request.target == "/faults") {
    SetFaults(body);
  } else {
    SetHosts(body);
  }
  server.Respond(id, Text(200, "ok\n"));
}

void PlatformServer::Impl::OnStoreRequest(ExchangeId id,
                                          const HttpRequest& request) {
  ++requests;
  if (faults.mode == FaultMode::kDown) {
    server.Respond(id, Text(503, "down"));
    return;
  }
  HttpResponse response =
      EncodeStoreReply(table.Handle(DecodeStoreRequest(request)));
  if (faults.mode == FaultMode::kLoseAnswers &&
      random.Chance(faults.probability)) {
    server.Abort(id);
    return;
  }
  if (faults.mode == FaultMode::kSlow) {
    loop.RunAfter(faults.delay, [this, id, response = std::move(response)] {
      server.Respond(id, response);
    });
    return;
  }
  server.Respond(id, std::move(response));
}

void PlatformServer::Impl::SetFaults(const json::object& body) {
  Faults new_faults;
  new_faults.mode = ModeFromName(body.at("mode").as_string());
  if (const json::value* delay = body.if_contains("delay_ms"))
    new_faults.delay = Milliseconds(delay->to_number<int64_t>());
  if (const json::value* probability = body.if_contains("probability"))
    new_faults.probability = probability->to_number<double>();
  faults = new_faults;
}

void PlatformServer::Impl::SetHosts(const json::object& body) {
  // A POST body has the format of the answer to a read of the host list.
  HttpResponse host_list_response{200, {}, json::serialize(body)};
  auto host_list = std::get<HostListReply>(
      DecodeStoreReply(ReadHostList{}, host_list_response));
  const json::value* visibility_lag = body.if_contains("lag_ms");
  Duration delay =
      Milliseconds(visibility_lag ? visibility_lag->to_number<int64_t>() : 0);
  loop.RunAfter(delay, [this, host_list = std::move(host_list)] {
    table.SetHostList(host_list.hosts);
  });
}

void PlatformServer::Impl::ForwardOperation(ExchangeId id,
                                            std::string_view operation,
                                            const json::object& body) {
  auto endpoint = ParseEndpoint(std::string(body.at("address").as_string()));
  if (!endpoint) {
    server.Respond(id, Text(400, "address is not ip:port"));
    return;
  }
  OperationKey operation_key{std::string(operation),
                             std::string(body.at("host").as_string())};
  uint64_t key = 0;
  if (const json::value* given = body.if_contains("key"))
    key = given->to_number<uint64_t>();
  bool at_most_once = key != 0 && operation != "status";
  if (at_most_once && key <= last_completed_keys[operation_key]) {
    server.Respond(id, Text(200, "done before\n"));
    return;
  }
  HttpRequest forwarded{
      "POST", "/_standin/" + std::string(operation), {}, json::serialize(body)};
  fetcher.Fetch(
      *endpoint, std::move(forwarded), Seconds(2),
      [this, id, at_most_once, key, operation_key](HttpFetcher::Result result) {
        if (auto* response = std::get_if<HttpResponse>(&result)) {
          if (at_most_once && response->status == 200)
            last_completed_keys[operation_key] = key;
          server.Respond(id, std::move(*response));
          return;
        }
        server.Respond(id,
                       Text(502, std::get<HttpFetcher::Failure>(result).error));
      });
}

HttpResponse PlatformServer::Impl::Stats() const {
  json::object stats{{"requests", requests},
                     {"commits", table.commits()},
                     {"conflicts", table.conflicts()},
                     {"rows", table.row_count()}};
  return Text(200, json::serialize(stats) + "\n");
}

PlatformServer::PlatformServer(EventLoop& loop, uint64_t seed)
    : impl_(std::make_unique<Impl>(loop, seed)) {}

PlatformServer::~PlatformServer() = default;

Endpoint PlatformServer::Listen(const Endpoint& endpoint) {
  return impl_->server.Listen(endpoint);
}

}  // namespace radishmoor
