#include "review/stand-in-3/platform.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>

namespace review {
namespace {

using radishmoor::FindHeader;
using radishmoor::FormatEndpoint;
using radishmoor::Milliseconds;

// Bounds of the small deployments of the users' pages, and those figures that
// the pages leave to the platform.
constexpr int64_t kHoldMaxMs = 6000;
constexpr int64_t kStopMs = 200;
constexpr int64_t kUpkeepMs = 2000;
constexpr int64_t kMoveMs = 1500;
constexpr int64_t kGraceMs = 6000;
constexpr int64_t kHeartbeatMs = 1500;
constexpr int64_t kMinLateMs = 3000;
constexpr int64_t kMaxLateMs = 7000;
constexpr int64_t kMinLateOrderMs = 2000;
constexpr int64_t kMaxLateOrderMs = 12000;
constexpr int64_t kCpu = 16000;
constexpr int64_t kMemoryMb = 65536;
constexpr int kWorkersPerRack = 4;
// A lasting work item is at work this long after its start.
constexpr int64_t kStartupMs = 700;
// A life counts as known this long after it was listed and has answered.
constexpr int64_t kKnownAfterMs = 50;
// Of the rule on lasting work items: how long nothing may run, from how long
// after the last run on, and how long it must have been calm before.
constexpr int64_t kNothingRunsMs = 3000;
constexpr int64_t kAfterRunMs = 6000;
constexpr int64_t kCalmMs = 4000;
// A process that sends orders has read the list of workers within this time.
constexpr int64_t kReaderAgeMs = 3000;
constexpr char kService[] = "desk";
constexpr char kHost[] = "jobs.example";
constexpr char kPrefix[] = "/spot/";

std::string ToBase64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t block = 0;
    for (size_t j = 0; j < 3; ++j)
      block = block << 8 |
              (i + j < bytes.size() ? static_cast<uint8_t>(bytes[i + j]) : 0);
    for (size_t j = 0; j < 4; ++j)
      text.push_back(
          i + j > bytes.size() ? '=' : kDigits[block >> (18 - 6 * j) & 63]);
  }
  return text;
}

HttpResponse Json(unsigned status, const json::object& body) {
  return {
      status, {{"Content-Type", "application/json"}}, json::serialize(body)};
}

std::string Parameter(const std::string& target, const std::string& name) {
  size_t at = target.find("?" + name + "=");
  if (at == std::string::npos)
    at = target.find("&" + name + "=");
  if (at == std::string::npos)
    return {};
  std::string value;
  for (size_t i = at + name.size() + 2; i < target.size() && target[i] != '&';
       ++i) {
    if (target[i] == '%' && i + 2 < target.size()) {
      value.push_back(
          static_cast<char>(std::stoi(target.substr(i + 1, 2), nullptr, 16)));
      i += 2;
    } else {
      value.push_back(target[i]);
    }
  }
  return value;
}

std::string KeyOf(const json::value& row) {
  return std::string(row.at("table").as_string()) + "/" +
         std::string(row.at("part").as_string()) + "/" +
         std::string(row.at("key").as_string());
}

json::object EncodeRow(const std::string& key,
                       const std::string& value,
                       uint64_t version) {
  size_t first = key.find('/');
  size_t second = key.find('/', first + 1);
  return {{"table", key.substr(0, first)},
          {"part", key.substr(first + 1, second - first - 1)},
          {"key", key.substr(second + 1)},
          {"value", value},
          {"ver", version}};
}

int64_t Number(const json::object& body, const char* name) {
  const json::value* value = body.if_contains(name);
  return value == nullptr ? 0 : value->to_number<int64_t>();
}

std::string Text(const json::object& body, const char* name) {
  const json::value* value = body.if_contains(name);
  return value == nullptr ? "" : std::string(value->as_string());
}

}  // namespace

Platform::Platform(EventLoop& loop, const PlatformOptions& options)
    : loop_(loop),
      options_(options),
      record_(options.record),
      began_(loop.now()),
      random_(options.seed),
      cloud_(loop,
             {},
             {.on_request =
                  [this](ExchangeId id, const HttpRequest& request) {
                    OnCloud(id, request);
                  },
              .on_abandoned = [](ExchangeId) {},
              .on_bad_input = {}}),
      fetcher_(loop) {
  cloud_address_ = cloud_.Listen({"127.0.0.1", 0});
}

Platform::~Platform() {
  StopAllNodes();
}

double Platform::Seconds() const {
  return static_cast<double>((loop_.now() - began_).count()) / 1e6;
}

void Platform::Record(const std::string& line) {
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f  ", Seconds());
  record_ << time << line << std::endl;
}

void Platform::Break(const std::string& rule, const std::string& what) {
  broken_ = true;
  Record("BROKEN " + rule + ": " + what);
}

void Platform::Start() {
  PutConfig();
  for (int i = 0; i < options_.workers; ++i) {
    auto worker = std::make_unique<Worker>();
    Worker* self = worker.get();
    worker->machine = "m-" + std::to_string(10 + i);
    worker->http = std::make_unique<HttpServer>(
        loop_, radishmoor::HttpServerLimits{},
        radishmoor::HttpServerHandlers{
            .on_request =
                [this, self](ExchangeId id, const HttpRequest& request) {
                  OnWorker(*self, id, request);
                },
            .on_abandoned =
                [self](ExchangeId id) { self->waiting_holds.erase(id); },
            .on_bad_input = {}});
    worker->address = worker->http->Listen({"127.0.0.1", 0});
    worker->cpu = kCpu;
    worker->rack = "r1-" + std::to_string(1 + i / kWorkersPerRack);
    StartLife(*worker, false);
    workers_.push_back(std::move(worker));
  }
  Heartbeat();
  nodes_.resize(static_cast<size_t>(options_.nodes));
  for (size_t i = 0; i < nodes_.size(); ++i) {
    nodes_[i].name = "edge-" + std::to_string(i + 1);
    ListenStore(i);
    WriteSettings(nodes_[i], i);
  }
  for (int socket : reserved_)
    ::close(socket);
  for (Node& node : nodes_)
    StartNode(node);
  WatchNodes();
}

// The store.

void Platform::ListenStore(size_t index) {
  Node& node = nodes_[index];
  node.store = std::make_unique<HttpServer>(
      loop_, radishmoor::HttpServerLimits{},
      radishmoor::HttpServerHandlers{
          .on_request =
              [this, index](ExchangeId id, const HttpRequest& request) {
                OnStore(index, id, request);
              },
          .on_abandoned = [](ExchangeId) {},
          .on_bad_input = {}});
  node.store_address = node.store->Listen({"127.0.0.1", 0});
}

void Platform::OnStore(size_t node,
                       ExchangeId exchange,
                       const HttpRequest& request) {
  if (request.target.starts_with("/-/rows-feed"))
    RowsFeed(node, exchange, request.target);
  else if (request.target.starts_with("/-/rows-get"))
    nodes_[node].store->Respond(exchange, RowsGet(node, request.target));
  else if (request.target.starts_with("/-/rows-tx"))
    OnWrite(node, exchange, request);
  else
    nodes_[node].store->Respond(exchange, {404, {}, ""});
}

void Platform::OnWrite(size_t node,
                       ExchangeId exchange,
                       const HttpRequest& request) {
  HttpResponse response = RowsTx(request.body);
  bool done = response.status == 200;
  if (!done ||
      std::uniform_real_distribution<>()(random_) >= lost_answer_share_)
    nodes_[node].store->Respond(exchange, std::move(response));
}

json::object Platform::RowsAnswer(json::array rows) const {
  return {{"rows", std::move(rows)},
          {"ver", version_},
          {"now_ms", static_cast<int64_t>(Seconds() * 1000) + 1000}};
}

HttpResponse Platform::RowsGet(size_t node, const std::string& target) {
  std::string prefix =
      Parameter(target, "table") + "/" + Parameter(target, "part") + "/";
  std::string limit_text = Parameter(target, "limit");
  size_t limit = limit_text.empty() ? 500 : std::stoul(limit_text);
  limit = std::min<size_t>(limit, 500);
  std::string end = Parameter(target, "target");
  json::array rows;
  bool more = false;
  for (auto it = rows_.lower_bound(prefix + Parameter(target, "from"));
       it != rows_.end() && it->first.starts_with(prefix); ++it) {
    if (!end.empty() && it->first >= prefix + end)
      break;
    if (rows.size() == limit) {
      more = true;
      break;
    }
    rows.push_back(EncodeRow(it->first, it->second.value, it->second.version));
  }
  if (prefix == "servers//") {
    nodes_[node].list_read_at = loop_.now();
    for (const auto& worker : workers_) {
      if (!worker->crashed)
        worker->listed_at.try_emplace(node, loop_.now());
    }
  }
  json::object answer = RowsAnswer(std::move(rows));
  answer["has_more"] = more;
  return Json(200, answer);
}

HttpResponse Platform::RowsTx(const std::string& text) {
  json::value body = json::parse(text);
  bool met = true;
  json::array current;
  for (const json::value& item : body.at("expected_rev").as_array()) {
    std::string key = KeyOf(item);
    auto row = rows_.find(key);
    uint64_t version = row == rows_.end() ? 0 : row->second.version;
    met = met && version == item.at("ver").to_number<uint64_t>();
    if (row != rows_.end())
      current.push_back(EncodeRow(key, row->second.value, version));
  }
  if (!met)
    return Json(412, RowsAnswer(std::move(current)));
  ++version_;
  for (const json::value& item : body.at("puts").as_array())
    rows_[KeyOf(item)] = {std::string(item.at("value").as_string()), version_};
  for (const json::value& item : body.at("remove").as_array())
    rows_.erase(KeyOf(item));
  AnswerFeeds();
  return Json(200, RowsAnswer({}));
}

void Platform::RowsFeed(size_t node,
                        ExchangeId exchange,
                        const std::string& target) {
  feeds_.push_back({node, exchange, Parameter(target, "table"),
                    std::stoull("0" + Parameter(target, "after"))});
  int64_t wait = std::stoll("0" + Parameter(target, "wait_ms"));
  loop_.RunAfter(Milliseconds(wait), [this, exchange] {
    auto feed = std::find_if(
        feeds_.begin(), feeds_.end(),
        [exchange](const Feed& f) { return f.exchange == exchange; });
    if (feed == feeds_.end())
      return;
    size_t node = feed->node;
    feeds_.erase(feed);
    nodes_[node].store->Respond(exchange, Json(200, RowsAnswer({})));
  });
  AnswerFeeds();
}

void Platform::AnswerFeeds() {
  std::vector<Feed> feeds = std::exchange(feeds_, {});
  for (const Feed& feed : feeds) {
    json::array changed;
    std::string prefix = feed.table + "/";
    for (auto it = rows_.lower_bound(prefix);
         it != rows_.end() && it->first.starts_with(prefix); ++it) {
      if (it->second.version > feed.after)
        changed.push_back(
            EncodeRow(it->first, it->second.value, it->second.version));
    }
    if (changed.empty())
      feeds_.push_back(feed);
    else
      nodes_[feed.node].store->Respond(
          feed.exchange, Json(200, RowsAnswer(std::move(changed))));
  }
}

void Platform::Put(const std::string& key, const std::string& text) {
  rows_[key] = {ToBase64(text), ++version_};
  AnswerFeeds();
}

void Platform::PutConfig() {
  json::object route{{"name", "spot"},    {"host", kHost},
                     {"prefix", kPrefix}, {"service", kService},
                     {"slo_ms", 600},     {"slack_factor", 1.6},
                     {"max_attempts", 3}};
  json::object config{
      {"version", 1},
      {"routes", json::array{route}},
      {"services", json::array{json::object{{"name", kService}}}}};
  Put("op//config", json::serialize(config));
}

void Platform::StartWave(int64_t number, int64_t max_count, double duration_s) {
  wave_ = number;
  wave_max_count_ = max_count;
  json::array machines;
  for (const auto& worker : workers_)
    machines.push_back(json::value(worker->machine));
  Put("op//wave/" + std::to_string(number),
      json::serialize(json::object{{"wave", number},
                                   {"machines", machines},
                                   {"duration_s", duration_s},
                                   {"max_count", max_count}}));
  Record("wave " + std::to_string(number) + " of " +
         std::to_string(machines.size()) + " machines, max_count " +
         std::to_string(max_count));
}

bool Platform::IsWaveCompleted(int64_t number) const {
  auto row = rows_.find("status//wave/" + std::to_string(number));
  return row != rows_.end() &&
         row->second.value == ToBase64("{\"state\":\"completed\"}");
}

// The machine API.

void Platform::OnCloud(ExchangeId exchange, const HttpRequest& request) {
  if (request.method == "GET") {
    cloud_.Respond(exchange, ListMachines());
    return;
  }
  std::string_view holder =
      FindHeader(request.headers, "Radishmoor-Duty-Holder").value_or("");
  std::string_view token =
      FindHeader(request.headers, "Radishmoor-Fencing-Token").value_or("");
  std::string what = request.target + " " + request.body + " by " +
                     std::string(holder) + " with fence " + std::string(token);
  bool late = request.target == "/-/machine-upkeep" &&
              std::uniform_real_distribution<>()(random_) < late_upkeep_share_;
  last_caller_ = holder;
  last_call_at_ = loop_.now();
  last_call_unanswered_ = late;
  if (!late) {
    HttpResponse response = MachineCall(request, false);
    Record("call " + what + " -> " + std::to_string(response.status) + " " +
           response.body);
    cloud_.Respond(exchange, std::move(response));
    return;
  }
  auto delay =
      std::uniform_int_distribution<int64_t>(kMinLateMs, kMaxLateMs)(random_);
  Record("call " + what + " -> no answer, carried out in " +
         std::to_string(delay) + " ms");
  loop_.RunAfter(Milliseconds(delay), [this, request, what] {
    HttpResponse response = MachineCall(request, true);
    Record("late call " + what + " -> " + std::to_string(response.status) +
           " " + response.body);
  });
}

HttpResponse Platform::ListMachines() const {
  json::array machines;
  for (const auto& worker : workers_) {
    machines.push_back(json::object{
        {"machine", worker->machine},
        {"pool", kService},
        {"state", worker->crashed || worker->lost ? "down" : worker->state},
        {"zone", "zone-a"},
        {"labels", json::array{"a", worker->rack}},
        {"capacity", json::object{{"cpu", worker->cpu}, {"mem_mb", kMemoryMb}}},
        {"id", worker->state == "up" && !worker->lost ? worker->id : ""}});
  }
  return Json(200, {{"machines", machines}});
}

HttpResponse Platform::MachineCall(const HttpRequest& request, bool late) {
  json::value parsed = json::parse(request.body);
  const json::object& body = parsed.as_object();
  int64_t token = std::stoll(std::string(
      FindHeader(request.headers, "Radishmoor-Fencing-Token").value_or("0")));
  auto refuse = [](const char* reason) {
    return Json(409, {{"reason", reason}});
  };
  for (const auto& worker : workers_) {
    if (worker->machine != Text(body, "machine"))
      continue;
    if (token < worker->call_token)
      return refuse("fence");
    worker->call_token = token;
    if (request.target != "/-/machine-upkeep")
      return Text(body, "pool") == kService ? Json(200, {})
                                            : HttpResponse{400, {}, ""};
    int64_t wave = Number(body, "wave");
    if (wave != wave_)
      return refuse("wave");
    if (worker->waves.contains(wave))
      return Json(200, {});
    if (worker->state != "up")
      return refuse("busy");
    BeginUpkeep(*worker, wave, late);
    return Json(200, {});
  }
  return {400, {}, ""};
}

void Platform::BeginUpkeep(Worker& worker, int64_t wave, bool late) {
  int64_t down = 0;
  std::string names;
  for (const auto& other : workers_) {
    if (other->state != "upkeep" || !other->waves.contains(wave))
      continue;
    ++down;
    names += " " + other->machine;
  }
  ++upkeeps_begun_;
  Record("upkeep of " + worker.machine + " begins" +
         (late ? " (late call)" : "") + ", down for the wave:" + names);
  if (down >= wave_max_count_)
    Break("LIMIT", "the upkeep of " + worker.machine + " begins while" + names +
                       " of the same wave is down, max_count is " +
                       std::to_string(wave_max_count_));
  worker.waves.insert(wave);
  worker.state = "upkeep";
  EndLife(worker);
  Worker* self = &worker;
  loop_.RunAfter(Milliseconds(kUpkeepMs), [this, self] {
    self->state = "up";
    StartLife(*self, false);
    Record("upkeep of " + self->machine + " is over");
  });
}

// The workers.

void Platform::StartLife(Worker& worker, bool same_id) {
  ++worker.life;
  if (!same_id)
    worker.id = worker.machine + "-" + std::to_string(worker.life);
  worker.crashed = false;
  worker.born = loop_.now();
  worker.born_ms = loop_.wall_now();
  worker.listed_at.clear();
  worker.held_at.reset();
  worker.token = worker.lease_until = 0;
  worker.closed_runs.clear();
  worker.ends.clear();
  worker.next_end = 1;
  PutWorker(worker);
}

void Platform::EndLife(Worker& worker) {
  rows_.erase("servers//" + worker.id);
  worker.running.clear();
  for (const auto& [exchange, ack] : std::exchange(worker.waiting_holds, {}))
    worker.http->Abort(exchange);
}

void Platform::CrashWorker(size_t index, Duration downtime, int64_t cpu) {
  Worker& worker = *workers_[index];
  Record(worker.id + " crashes with " + std::to_string(worker.running.size()) +
         " runs");
  worker.crashed = true;
  worker.running.clear();
  for (const auto& [exchange, ack] : std::exchange(worker.waiting_holds, {}))
    worker.http->Abort(exchange);
  loop_.RunAfter(downtime, [this, &worker, cpu] {
    worker.cpu = cpu;
    StartLife(worker, true);
    Record(worker.id + " starts again with cpu " + std::to_string(cpu));
  });
}

void Platform::LoseRack(const std::string& rack) {
  for (const auto& worker : workers_) {
    if (worker->rack != rack || worker->lost)
      continue;
    Record(worker->id + " is lost with " +
           std::to_string(worker->running.size()) + " runs");
    for (const auto& [task, run] : worker->running) {
      if (run.lasts)
        lasting_[task] = loop_.now();
    }
    worker->lost = true;
    worker->running.clear();
    worker->waiting_holds.clear();
    std::string key = "servers//" + worker->id;
    loop_.RunAfter(Milliseconds(3 * kHeartbeatMs),
                   [this, key] { rows_.erase(key); });
  }
}

void Platform::CheckLasting(Time last_trouble) {
  for (const auto& worker : workers_) {
    if (!worker->lost)
      CheckLease(*worker);
    for (const auto& [task, run] : worker->running) {
      if (run.lasts)
        lasting_[task] = loop_.now();
    }
  }
  if (loop_.now() - last_trouble < Milliseconds(kCalmMs + kNothingRunsMs))
    return;
  for (auto& [task, last_run] : lasting_) {
    if (loop_.now() - last_run <= Milliseconds(kAfterRunMs + kNothingRunsMs))
      continue;
    Break("LOST", "the lasting work item " + task + " has had no run for " +
                      std::to_string((loop_.now() - last_run).count() / 1000) +
                      " ms");
    last_run = loop_.now();
  }
}

void Platform::PutWorker(const Worker& worker) {
  Put("servers//" + worker.id,
      json::serialize(json::object{
          {"service", kService},
          {"address", FormatEndpoint(worker.address)},
          {"zone", "zone-a"},
          {"version", "1"},
          {"slots", 8},
          {"state", "ready"},
          {"seq_no", static_cast<int64_t>(version_)},
          {"capacity",
           json::object{{"cpu", worker.cpu}, {"mem_mb", kMemoryMb}}},
          {"labels", json::array{"a", worker.rack}},
          {"born", worker.born_ms}}));
}

void Platform::Heartbeat() {
  for (const auto& worker : workers_) {
    if (worker->state == "up" && !worker->crashed && !worker->lost)
      PutWorker(*worker);
  }
  loop_.RunAfter(Milliseconds(kHeartbeatMs), [this] { Heartbeat(); });
}

int64_t Platform::ClockMs(const Worker& worker) const {
  return 100'000 + (loop_.now() - worker.born).count() / 1000;
}

void Platform::CheckLease(Worker& worker) {
  if (ClockMs(worker) <= worker.lease_until)
    return;
  for (End& end : worker.ends)
    end.lease_lapsed = true;
  std::vector<std::string> tasks;
  for (const auto& [task, run] : worker.running)
    tasks.push_back(task);
  for (const std::string& task : tasks)
    FinishRun(worker, task, "lapsed");
}

void Platform::FinishRun(Worker& worker,
                         const std::string& task,
                         const char* how) {
  auto run = worker.running.find(task);
  if (run == worker.running.end())
    return;
  worker.closed_runs[task] =
      std::max(worker.closed_runs[task], run->second.number);
  worker.ends.push_back({worker.next_end++, task, run->second.number, how});
  if (std::string(how) == "done")
    ++runs_done_;
  Record("run " + task + " " + std::to_string(run->second.number) + " on " +
         worker.id + " ends " + how);
  worker.running.erase(run);
  for (const auto& [exchange, ack] : std::exchange(worker.waiting_holds, {}))
    worker.http->Respond(exchange, HoldAnswer(worker, ack));
}

void Platform::OnWorker(Worker& worker,
                        ExchangeId exchange,
                        const HttpRequest& request) {
  if (worker.lost)
    return;  // Silent.
  if (worker.state != "up" || worker.crashed) {
    worker.http->Abort(exchange);
    return;
  }
  if (std::uniform_real_distribution<>()(random_) < late_order_share_) {
    auto delay = std::uniform_int_distribution<int64_t>(
        kMinLateOrderMs, kMaxLateOrderMs)(random_);
    if (request.target == "/-/run-start")
      Record("order to " + worker.id + " " + request.body +
             " -> no answer, carried out in " + std::to_string(delay) + " ms");
    loop_.RunAfter(Milliseconds(delay),
                   [this, &worker, request] { CarryOutLate(worker, request); });
    return;
  }
  CheckLease(worker);
  if (FindHeader(request.headers, "Radishmoor-Expected-Instance") !=
      worker.id) {
    worker.http->Respond(exchange, Json(421, {{"clock_ms", ClockMs(worker)}}));
    return;
  }
  json::value parsed = json::parse(request.body);
  const json::object& body = parsed.as_object();
  if (Number(body, "fencing_token") < worker.token) {
    worker.http->Respond(exchange, Json(409, {{"clock_ms", ClockMs(worker)},
                                              {"reason", "fence"}}));
    return;
  }
  worker.token = Number(body, "fencing_token");
  worker.lease_until = std::max(
      worker.lease_until,
      std::min(Number(body, "deadline_ms"), ClockMs(worker) + kHoldMaxMs));
  if (request.target == "/-/run-start") {
    worker.http->Respond(exchange, RunStart(worker, body));
  } else if (request.target == "/-/run-stop") {
    worker.http->Respond(exchange, RunStop(worker, body));
  } else if (request.target == "/-/hold") {
    int64_t ack = Number(body, "ack_cursor");
    int64_t wait = Number(body, "wait_ms");
    ForgetEnds(worker, ack);
    if (wait == 0 || !worker.ends.empty()) {
      worker.http->Respond(exchange, HoldAnswer(worker, ack));
      return;
    }
    worker.waiting_holds[exchange] = ack;
    loop_.RunAfter(Milliseconds(wait), [this, &worker, exchange] {
      auto hold = worker.waiting_holds.extract(exchange);
      if (!hold.empty())
        worker.http->Respond(exchange, HoldAnswer(worker, hold.mapped()));
    });
  } else {
    worker.http->Respond(exchange, Json(200, {{"clock_ms", ClockMs(worker)}}));
  }
}

bool Platform::IsKnown(const Worker& worker) const {
  std::optional<size_t> reader;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (loop_.now() - nodes_[i].list_read_at > Milliseconds(kReaderAgeMs))
      continue;
    if (reader)
      return false;
    reader = i;
  }
  Time told_by = loop_.now() - Milliseconds(kKnownAfterMs);
  auto listed =
      reader ? worker.listed_at.find(*reader) : worker.listed_at.end();
  return listed != worker.listed_at.end() && listed->second < told_by &&
         worker.held_at && *worker.held_at < told_by;
}

void Platform::CarryOutLate(Worker& worker, const HttpRequest& request) {
  if (worker.state != "up" || worker.crashed || worker.lost ||
      FindHeader(request.headers, "Radishmoor-Expected-Instance") != worker.id)
    return;
  CheckLease(worker);
  json::value parsed = json::parse(request.body);
  const json::object& body = parsed.as_object();
  if (Number(body, "fencing_token") < worker.token)
    return;
  worker.token = Number(body, "fencing_token");
  worker.lease_until = std::max(
      worker.lease_until,
      std::min(Number(body, "deadline_ms"), ClockMs(worker) + kHoldMaxMs));
  if (request.target == "/-/run-start") {
    HttpResponse response = RunStart(worker, body);
    Record("late order to " + worker.id + " " + request.body + " -> " +
           std::to_string(response.status) + " " + response.body);
  } else if (request.target == "/-/run-stop") {
    RunStop(worker, body);
  } else if (request.target == "/-/hold") {
    ForgetEnds(worker, Number(body, "ack_cursor"));
  }
}

void Platform::ForgetEnds(Worker& worker, int64_t ack) {
  std::erase_if(worker.ends, [this, ack](const End& e) {
    if (e.sequence <= ack && e.how == "done" && !e.lease_lapsed)
      noted_done_.insert(e.task);
    return e.sequence <= ack;
  });
}

void Platform::CheckTwice(const Worker& worker, const std::string& task) {
  if (noted_done_.contains(task))
    Break("TWICE", task + " starts on " + worker.id +
                       " after it has ended done and that was taken note of");
  for (const auto& other : workers_) {
    if (other.get() == &worker || other->crashed || other->lost)
      continue;
    CheckLease(*other);
    if (other->running.contains(task))
      Break("TWICE", task + " starts on " + worker.id + " while it runs on " +
                         other->id);
  }
}

HttpResponse Platform::RunStart(Worker& worker, const json::object& body) {
  std::string task = Text(body, "task");
  int64_t number = Number(body, "run_id");
  json::object answer{{"clock_ms", ClockMs(worker)}};
  auto running = worker.running.find(task);
  if (running != worker.running.end() && running->second.number == number)
    return Json(200, answer);
  auto closed = worker.closed_runs.find(task);
  if (running != worker.running.end() ||
      (closed != worker.closed_runs.end() && closed->second >= number)) {
    answer["reason"] = "old";
    return Json(409, answer);
  }
  if (ClockMs(worker) >= Number(body, "deadline_ms")) {
    answer["reason"] = "late";
    return Json(409, answer);
  }
  CheckTwice(worker, task);
  int64_t length = std::stoll("0" + Text(body, "spec"));
  std::string job = task.substr(0, task.find('.'));
  int64_t cpu = task_cpu_[job];
  bool lasts = lasting_jobs_.contains(job);
  int64_t used = cpu;
  for (const auto& [other, run] : worker.running)
    used += run.cpu;
  worker.running[task] = {number, loop_.now(), length, cpu, lasts};
  Record("run " + task + " " + std::to_string(number) + " on " + worker.id +
         " starts, cpu " + std::to_string(used) + " of " +
         std::to_string(worker.cpu));
  if (used > worker.cpu && !IsKnown(worker))
    Record(
        "not counted: over the capacity of a life that its starter may not "
        "know");
  else if (used > worker.cpu)
    Break("LIMIT", "the start of " + task + " brings " + worker.id + " to " +
                       std::to_string(used) + " of its cpu of " +
                       std::to_string(worker.cpu));
  if (lasts)
    return Json(200, answer);
  int life = worker.life;
  loop_.RunAfter(Milliseconds(length), [this, &worker, task, number, life] {
    if (worker.life != life || worker.state != "up" || worker.crashed)
      return;
    CheckLease(worker);
    auto run = worker.running.find(task);
    if (run != worker.running.end() && run->second.number == number)
      FinishRun(worker, task, "done");
  });
  return Json(200, answer);
}

HttpResponse Platform::RunStop(Worker& worker, const json::object& body) {
  std::string task = Text(body, "task");
  int64_t number = Number(body, "run_id");
  worker.closed_runs[task] = std::max(worker.closed_runs[task], number);
  int life = worker.life;
  loop_.RunAfter(Milliseconds(kStopMs / 2),
                 [this, &worker, task, number, life] {
                   auto run = worker.running.find(task);
                   if (worker.life == life && run != worker.running.end() &&
                       run->second.number <= number)
                     FinishRun(worker, task, "stopped");
                 });
  return Json(200, {{"clock_ms", ClockMs(worker)}});
}

HttpResponse Platform::HoldAnswer(Worker& worker, int64_t ack) {
  worker.held_at = worker.held_at.value_or(loop_.now());
  json::array running;
  json::array finished;
  for (const auto& [task, run] : worker.running) {
    int64_t age = (loop_.now() - run.started).count() / 1000;
    int64_t percent =
        std::min<int64_t>(99, age * 100 / std::max<int64_t>(1, run.length_ms));
    if (run.lasts)
      percent = age >= kStartupMs ? 100 : 0;
    running.push_back(json::array{task, run.number, "", percent, 500});
  }
  for (const End& end : worker.ends) {
    if (end.sequence > ack && finished.size() < 500)
      finished.push_back(
          json::array{end.sequence, end.task, end.run, end.how, ""});
  }
  return Json(200, {{"clock_ms", ClockMs(worker)},
                    {"born", worker.born_ms},
                    {"running", running},
                    {"finished", finished}});
}

// The processes.

uint16_t Platform::FreePort() {
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  if (::bind(socket, reinterpret_cast<sockaddr*>(&address), size) != 0)
    throw std::runtime_error("no free port");
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  reserved_.push_back(socket);
  return ntohs(address.sin_port);
}

void Platform::WriteSettings(Node& node, size_t index) {
  node.frontend = {"127.0.0.1", FreePort()};
  uint16_t internal = FreePort();
  json::object bounds{{"hold_max_ms", kHoldMaxMs},
                      {"stop_ms", kStopMs},
                      {"status_s", 120},
                      {"lease_ms", 3000},
                      {"config_apply_ms", 2000},
                      {"far_factor", 1.5},
                      {"upkeep_s", kUpkeepMs / 1000.0},
                      {"move_s", kMoveMs / 1000.0},
                      {"fencing_enforced", true},
                      {"grace_s", kGraceMs / 1000}};
  json::object settings{
      {"node_name", node.name},
      {"role", "jobs"},
      {"ip", "127.0.0.1"},
      {"zone", "zone-a"},
      {"listen",
       json::object{{"frontend", FormatEndpoint(node.frontend)},
                    {"readiness", "127.0.0.1:" + std::to_string(FreePort())}}},
      {"internal_ports", json::array{internal, internal}},
      {"limits",
       json::object{{"cpu_share", 0.25}, {"cores", 1}, {"max_fds", 4100}}},
      {"bounds", bounds},
      {"orders", "push"},
      {"platform", json::object{{"address", FormatEndpoint(node.store_address)},
                                {"row_bytes", 65536}}},
      {"cloud_api", json::object{{"address", FormatEndpoint(cloud_address_)},
                                 {"duty_per_s", 64.0}}}};
  node.settings =
      options_.folder + "/boot-" + std::to_string(index + 1) + ".json";
  node.log = options_.folder + "/" + node.name + ".log";
  std::ofstream(node.settings) << json::serialize(settings);
}

void Platform::StartNode(Node& node) {
  ::setenv("RADISHMOOR_BOOT", node.settings.c_str(), 1);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, node.log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  char* arguments[] = {options_.program.data(), nullptr};
  if (::posix_spawn(&node.pid, options_.program.c_str(), &actions, nullptr,
                    arguments, environ) != 0)
    node.pid = 0;
  posix_spawn_file_actions_destroy(&actions);
  node.terminated = false;
  Record(node.pid > 0 ? node.name + " starts" : node.name + " cannot start");
}

void Platform::RestartNode(size_t index) {
  Node& node = nodes_[index];
  if (node.pid <= 0)
    return;
  Record("SIGTERM to " + node.name);
  ::kill(node.pid, SIGTERM);
  node.terminated = true;
  node.kill_at = loop_.now() + Milliseconds(kGraceMs);
}

std::optional<size_t> Platform::LastCaller(Duration age,
                                           bool unanswered) const {
  if (loop_.now() - last_call_at_ < age ||
      (unanswered && !last_call_unanswered_))
    return std::nullopt;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].name == last_caller_ && nodes_[i].pid > 0 &&
        !nodes_[i].terminated)
      return i;
  }
  return std::nullopt;
}

void Platform::KillNode(size_t index) {
  Node& node = nodes_[index];
  if (node.pid <= 0)
    return;
  Record("SIGKILL to " + node.name);
  ::kill(node.pid, SIGKILL);
}

void Platform::WatchNodes() {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    Node& node = nodes_[i];
    int status = 0;
    if (node.pid <= 0 || ::waitpid(node.pid, &status, WNOHANG) != node.pid) {
      if (node.pid > 0 && node.terminated && loop_.now() >= node.kill_at)
        ::kill(node.pid, SIGKILL);
      continue;
    }
    Record(node.name + " has ended");
    node.pid = 0;
    loop_.RunAfter(Milliseconds(500), [this, i] { StartNode(nodes_[i]); });
  }
  loop_.RunAfter(Milliseconds(20), [this] { WatchNodes(); });
}

void Platform::StopAllNodes() {
  for (Node& node : nodes_) {
    if (node.pid <= 0)
      continue;
    ::kill(node.pid, SIGKILL);
    ::waitpid(node.pid, nullptr, 0);
    node.pid = 0;
  }
}

// The requesters.

void Platform::Submit(const std::string& id,
                      int tasks,
                      int64_t run_ms,
                      int64_t cpu) {
  task_cpu_[id] = cpu;
  json::object step{
      {"count", tasks}, {"cpu", cpu}, {"mem_mb", 256}, {"estimate_ms", run_ms}};
  SendJob(id, {{"spec", std::to_string(run_ms)}, {"steps", json::array{step}}});
}

void Platform::SubmitLasting(const std::string& id,
                             int tasks,
                             const std::string& rack) {
  task_cpu_[id] = 2000;
  lasting_jobs_.insert(id);
  json::object step{{"count", tasks},       {"cpu", 2000},
                    {"mem_mb", 256},        {"estimate_ms", 700},
                    {"long_running", true}, {"may_miss", 1},
                    {"max_per_server", 1},  {"data_rack", rack}};
  SendJob(id, {{"spec", "0"}, {"steps", json::array{step}}});
}

void Platform::SendJob(const std::string& id, const json::object& body) {
  const Node* target = nullptr;
  for (const Node& node : nodes_) {
    if (node.pid > 0 && !node.terminated &&
        (target == nullptr || random_() % 2 == 0))
      target = &node;
  }
  if (target == nullptr)
    return;
  fetcher_.Fetch(
      target->frontend,
      {"POST",
       kPrefix + id,
       {{"Host", kHost},
        {"Content-Type", "application/json"},
        {"Radishmoor-Deadline-Ms", "3000"}},
       json::serialize(body)},
      Milliseconds(3500),
      [this, id, name = target->name](HttpFetcher::Result result) {
        const auto* response = std::get_if<HttpResponse>(&result);
        if (response && response->status == 200)
          ++jobs_accepted_;
        Record("job " + id + " to " + name + " -> " +
               (response ? std::to_string(response->status) : "no answer"));
      });
}

}  // namespace review
