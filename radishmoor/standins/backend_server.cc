#include "radishmoor/standins/backend_server.h"

#include <boost/json.hpp>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <deque>
#include <map>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include "radishmoor/base/random.h"
#include "radishmoor/net/event_loop.h"
#include "radishmoor/net/http_server.h"

namespace radishmoor {

namespace json = boost::json;

namespace {

constexpr std::string_view kControlPath = "/_standin/";

struct BackendFaults {
  bool fail_all = false;
  bool swallow = false;
  bool leaving = false;
  double truncate = 0;
  // Requests on connections with a smaller number are never answered.
  uint64_t first_answered_connection = 0;
};

struct Execution {
  HttpRequest request;
  TimerId timer = 0;
};

struct FileCloser {
  void operator()(std::FILE* file) const { std::fclose(file); }
};

std::string HeaderOrDefault(const HttpRequest& request,
                            std::string_view name,
                            std::string_view fallback) {
  return std::string(FindHeader(request.headers, name).value_or(fallback));
}

HttpResponse NotRunResponse(unsigned status, std::string reason) {
  return {status, {{"Radishmoor-Run", "not-run"}}, std::move(reason)};
}

int64_t UnixMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

struct BackendServer::Impl {
  Impl(EventLoop& event_loop, BackendServerOptions server_options);

  HttpServerHandlers Handlers();
  void MakeServer();
  void OnRequest(ExchangeId id, HttpRequest request);
  void OnAbandoned(ExchangeId id);
  void OnWorkRequest(ExchangeId id, HttpRequest request);
  void OnControlRequest(ExchangeId id, const HttpRequest& request);
  void SetFaults(const json::object& body);
  void Reboot(ExchangeId id);
  void StartNext();
  void Start(ExchangeId id, HttpRequest request);
  void Finish(ExchangeId id);
  Duration RunTime(const HttpRequest& request) const;
  void LogExecution(std::string_view event, const HttpRequest& request);
  HttpResponse Stats() const;

  EventLoop& loop;
  BackendServerOptions options;
  Random random;
  BackendFaults faults;
  std::unique_ptr<std::FILE, FileCloser> log;
  Endpoint bound;
  std::unique_ptr<HttpServer> server;
  std::unordered_map<ExchangeId, Execution> running;
  std::deque<std::pair<ExchangeId, HttpRequest>> waiting;
  uint64_t started = 0;
  uint64_t reboots = 0;
  uint64_t aborted = 0;
};

BackendServer::Impl::Impl(EventLoop& event_loop,
                          BackendServerOptions server_options)
    : loop(event_loop),
      options(std::move(server_options)),
      random(options.seed) {
  if (!options.execution_log.empty()) {
    log.reset(std::fopen(options.execution_log.c_str(), "ae"));
    if (!log)
      throw std::runtime_error("cannot open execution log " +
                               options.execution_log);
  }
  MakeServer();
}

void BackendServer::Impl::MakeServer() {
  HttpServerLimits limits;
  limits.max_connections = options.connections;
  server = std::make_unique<HttpServer>(
      loop, limits,
      HttpServerHandlers{
          .on_request =
              [this](ExchangeId id, HttpRequest request) {
                OnRequest(id, std::move(request));
              },
          .on_abandoned = [this](ExchangeId id) { OnAbandoned(id); }});
}

void BackendServer::Impl::OnRequest(ExchangeId id, HttpRequest request) {
  if (request.target.starts_with(kControlPath)) {
    OnControlRequest(id, request);
    return;
  }
  if (faults.swallow ||
      server->ConnectionNumber(id) < faults.first_answered_connection)
    return;
  if (faults.fail_all) {
    server->Respond(id, {500, {}, "failed"});
    return;
  }
  OnWorkRequest(id, std::move(request));
}

void BackendServer::Impl::OnWorkRequest(ExchangeId id, HttpRequest request) {
  if (HeaderOrDefault(request, "Host", options.pool) != options.pool) {
    server->Respond(id, NotRunResponse(421, "serves another pool"));
    return;
  }
  if (running.size() < options.slots) {
    Start(id, std::move(request));
    return;
  }
  if (waiting.size() >= options.queue) {
    server->Respond(id, NotRunResponse(503, "full"));
    return;
  }
  waiting.emplace_back(id, std::move(request));
}

void BackendServer::Impl::OnAbandoned(ExchangeId id) {
  auto node = running.extract(id);
  if (node.empty()) {
    std::erase_if(waiting, [id](const auto& item) { return item.first == id; });
    return;
  }
  ++aborted;
  loop.Cancel(node.mapped().timer);
  LogExecution("abort", node.mapped().request);
  StartNext();
}

void BackendServer::Impl::Start(ExchangeId id, HttpRequest request) {
  ++started;
  LogExecution("start", request);
  Duration run_time = RunTime(request);
  Execution& execution = running[id];
  execution.request = std::move(request);
  execution.timer = loop.RunAfter(run_time, [this, id] { Finish(id); });
}

void BackendServer::Impl::Finish(ExchangeId id) {
  auto node = running.extract(id);
  const HttpRequest& request = node.mapped().request;
  LogExecution("end", request);
  std::string body = HeaderOrDefault(request, "Request-Id", "") + "\n";
  if (faults.truncate > 0 && random.Chance(faults.truncate)) {
    server->Abort(id, "HTTP/1.1 200 OK\r\nContent-Length: 4096\r\n\r\n" + body);
  } else {
    HttpResponse response{200, {{"Content-Type", "text/plain"}}, body};
    if (faults.leaving) {
      response.headers.emplace_back("Radishmoor-Leaving", "1");
      response.headers.emplace_back("Connection", "close");
    }
    server->Respond(id, std::move(response));
  }
  StartNext();
}

void BackendServer::Impl::StartNext() {
  while (!waiting.empty() && running.size() < options.slots) {
    auto [id, request] = std::move(waiting.front());
    waiting.pop_front();
    Start(id, std::move(request));
  }
}

Duration BackendServer::Impl::RunTime(const HttpRequest& request) const {
  auto header = FindHeader(request.headers, "Work-Us");
  int64_t micros = options.run_time.count();
  if (header)
    std::from_chars(header->data(), header->data() + header->size(), micros);
  return Microseconds(micros);
}

void BackendServer::Impl::LogExecution(std::string_view event,
                                       const HttpRequest& request) {
  if (!log)
    return;
  std::fprintf(
      log.get(), "%lld %.*s %s %s %s\n", static_cast<long long>(UnixMicros()),
      static_cast<int>(event.size()), event.data(), options.pool.c_str(),
      HeaderOrDefault(request, "Request-Id", "-").c_str(),
      HeaderOrDefault(request, "Idempotency-Key", "-").c_str());
  std::fflush(log.get());
}

void BackendServer::Impl::OnControlRequest(ExchangeId id,
                                           const HttpRequest& request) {
  std::string_view operation =
      std::string_view(request.target).substr(kControlPath.size());
  if (operation == "stats" || operation == "status") {
    server->Respond(id, Stats());
    return;
  }
  if (operation == "reboot") {
    Reboot(id);
    return;
  }
  try {
    json::value parsed = json::parse(request.body);
    if (operation == "faults") {
      SetFaults(parsed.as_object());
    } else if (operation == "assign") {
      options.pool = std::string(parsed.as_object().at("pool").as_string());
    } else if (operation != "checkpoint") {
      server->Respond(id, {404, {}, "no such operation"});
      return;
    }
    server->Respond(id, {200, {}, "ok\n"});
  } catch (const std::exception& error) {
    server->Respond(id, {400, {}, error.what()});
  }
}

void BackendServer::Impl::SetFaults(const json::object& body) {
  auto read_flag = [&body](const char* name) {
    const json::value* value = body.if_contains(name);
    return value && value->is_bool() && value->get_bool();
  };
  BackendFaults new_faults;
  new_faults.fail_all = read_flag("fail_all");
  new_faults.swallow = read_flag("swallow");
  new_faults.leaving = read_flag("leaving");
  if (const json::value* truncate = body.if_contains("truncate"))
    new_faults.truncate = truncate->to_number<double>();
  new_faults.first_answered_connection = read_flag("silence_open")
                                             ? server->next_connection()
                                             : faults.first_answered_connection;
  faults = new_faults;
}

void BackendServer::Impl::Reboot(ExchangeId id) {
  if (!running.empty() || !waiting.empty()) {
    server->Respond(id, {409, {}, "requests are running"});
    return;
  }
  ++reboots;
  server->Respond(id, {200, {}, "rebooting\n"});
  // The delay lets the answer reach the socket before the server closes it.
  loop.RunAfter(Milliseconds(5), [this] {
    server = nullptr;
    faults = {};
    loop.RunAfter(options.reboot_time, [this] {
      MakeServer();
      server->Listen(bound);
    });
  });
}

HttpResponse BackendServer::Impl::Stats() const {
  json::object stats{
      {"host", options.host},      {"pool", options.pool},
      {"running", running.size()}, {"waiting", waiting.size()},
      {"started", started},        {"aborted", aborted},
      {"reboots", reboots},        {"connections", server->connection_count()}};
  return {200,
          {{"Content-Type", "application/json"}},
          json::serialize(stats) + "\n"};
}

BackendServer::BackendServer(EventLoop& loop, BackendServerOptions options)
    : impl_(std::make_unique<Impl>(loop, std::move(options))) {}

BackendServer::~BackendServer() = default;

Endpoint BackendServer::Listen(const Endpoint& endpoint) {
  impl_->bound = impl_->server->Listen(endpoint);
  return impl_->bound;
}

}  // namespace radishmoor
