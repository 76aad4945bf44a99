#include "radishmoor/standins/load_generator.h"

#include <algorithm>
#include <cstdio>
#include <unordered_map>
#include <utility>

#include "radishmoor/base/random.h"
#include "radishmoor/net/event_loop.h"
#include "radishmoor/net/http_client.h"

namespace radishmoor {
namespace {

// A call without an answer this long after its deadline is lost.
constexpr Duration kLostCallGrace = Seconds(5);
constexpr size_t kMaxRecentKeys = 64;

struct Call {
  CallRecord record;
  HttpRequest request;
  Time started;
  TimerId timer = 0;
};

// Returns a UUID of version 7 (RFC 9562): 48 bits of Unix time in milliseconds,
// then random bits.
std::string MakeKey(WallMillis wall, Random& random) {
  uint64_t time = static_cast<uint64_t>(wall);
  uint64_t random_a = random.Next();
  uint64_t random_b = random.Next();
  char text[37];
  std::snprintf(text, sizeof(text), "%08x-%04x-7%03x-%04x-%012llx",
                static_cast<unsigned>(time >> 16),
                static_cast<unsigned>(time & 0xffff),
                static_cast<unsigned>(random_a & 0xfff),
                static_cast<unsigned>(0x8000 | ((random_a >> 12) & 0x3fff)),
                static_cast<unsigned long long>(random_b & 0xffffffffffff));
  return text;
}

CallResult ResultOf(const HttpResponse& response) {
  if (response.status < 300)
    return CallResult::kCompleted;
  auto run = FindHeader(response.headers, "Radishmoor-Run");
  return run == "not-run" ? CallResult::kNotRun : CallResult::kMayHaveRun;
}

}  // namespace

struct LoadGenerator::Impl {
  Impl(EventLoop& event_loop, LoadOptions load_options)
      : loop(event_loop),
        options(std::move(load_options)),
        random(options.seed),
        client(
            event_loop,
            {.on_opened = [this](ConnectionId id) { OnOpened(id); },
             .on_open_failed =
                 [this](ConnectionId id, const std::string&) {
                   Finish(id, CallResult::kClosed);
                 },
             .on_response =
                 [this](ConnectionId id,
                        const HttpResponse& response,
                        bool reusable) { OnResponse(id, response, reusable); },
             .on_exchange_failed =
                 [this](ConnectionId id, const std::string&) {
                   Finish(id, CallResult::kClosed);
                 },
             .on_closed = [this](ConnectionId id) { std::erase(idle, id); }}) {}

  void OnArrival();
  Call MakeCall();
  void Submit(Call call);
  void OnOpened(ConnectionId id);
  void OnResponse(ConnectionId id, const HttpResponse& response, bool reusable);
  void Finish(ConnectionId id, CallResult result);
  void FinishIfDone();

  EventLoop& loop;
  LoadOptions options;
  Random random;
  HttpClient client;
  Time start;
  bool arrivals_ended = false;
  uint64_t next_call = 1;
  uint64_t next_connection = 1;
  std::vector<ConnectionId> idle;
  std::unordered_map<ConnectionId, Call> calls;
  std::vector<std::string> recent_keys;
  std::vector<CallRecord> records;
  std::function<void(std::vector<CallRecord>)> done;
};

void LoadGenerator::Impl::OnArrival() {
  if (loop.now() - start >= options.duration) {
    arrivals_ended = true;
    FinishIfDone();
    return;
  }
  Submit(MakeCall());
  Duration mean = Microseconds(static_cast<int64_t>(1e6 / options.rate));
  loop.RunAfter(random.Exponential(mean), [this] { OnArrival(); });
}

Call LoadGenerator::Impl::MakeCall() {
  Call call;
  CallRecord& record = call.record;
  record.request_id =
      std::to_string(options.seed) + "-" + std::to_string(next_call++);
  record.service = options.services[random.Below(options.services.size())];
  bool keyed = random.Chance(options.keyed_share);
  record.long_running = !keyed && random.Chance(options.long_share);
  double factor = record.long_running ? options.long_factor : 1;
  auto work_us = static_cast<int64_t>(
      static_cast<double>(options.run_time.count()) * factor);
  Duration deadline =
      record.long_running ? options.long_deadline : options.deadline;
  call.request.method = keyed ? "POST" : "GET";
  call.request.target = "/" + record.service + (keyed ? "/entry" : "/lookup");
  call.request.headers = {
      {"Host", record.service},
      {"Request-Id", record.request_id},
      {"Work-Us", std::to_string(work_us)},
      {"Radishmoor-Deadline-Ms", std::to_string(WholeMilliseconds(deadline))}};
  if (keyed) {
    bool repeat = !recent_keys.empty() && random.Chance(options.repeat_share);
    record.key = repeat ? recent_keys[random.Below(recent_keys.size())]
                        : MakeKey(loop.wall_now(), random);
    call.request.headers.emplace_back("Idempotency-Key", record.key);
    call.request.body = "entry " + record.key;
    // A key is repeated only at the service that got it first. Only keys of
    // services[0] are remembered, so a repeat goes there.
    if (repeat) {
      record.service = options.services[0];
      call.request.target = "/" + record.service + "/entry";
    } else if (record.service == options.services[0]) {
      recent_keys.push_back(record.key);
      if (recent_keys.size() > kMaxRecentKeys)
        recent_keys.erase(recent_keys.begin());
    }
  }
  return call;
}

void LoadGenerator::Impl::Submit(Call call) {
  call.started = loop.now();
  call.record.start_us = (call.started - start).count();
  Duration loss_timeout =
      kLostCallGrace +
      (call.record.long_running ? options.long_deadline : options.deadline);
  bool reuse = !idle.empty();
  if (!reuse && client.connection_count() >= options.max_connections) {
    call.record.result = CallResult::kNotRun;
    call.record.reason = "load-connection-limit";
    records.push_back(std::move(call.record));
    return;
  }
  ConnectionId id = reuse ? idle.back() : ConnectionId{next_connection++};
  if (reuse)
    idle.pop_back();
  call.timer = loop.RunAfter(loss_timeout, [this, id] {
    client.Close(id);
    Finish(id, CallResult::kLost);
  });
  calls.emplace(id, std::move(call));
  if (reuse) {
    OnOpened(id);
  } else {
    client.Open(id, options.target);
  }
}

void LoadGenerator::Impl::OnOpened(ConnectionId id) {
  auto it = calls.find(id);
  if (it != calls.end())
    client.Send(id, it->second.request);
}

void LoadGenerator::Impl::OnResponse(ConnectionId id,
                                     const HttpResponse& response,
                                     bool reusable) {
  CallRecord& record = calls.at(id).record;
  record.status = response.status;
  record.answered_id = response.body.substr(0, response.body.find('\n'));
  if (auto reason = FindHeader(response.headers, "Radishmoor-Reason"))
    record.reason = *reason;
  if (response.status >= 300)
    record.answered_id.clear();
  if (reusable)
    idle.push_back(id);
  Finish(id, ResultOf(response));
}

void LoadGenerator::Impl::Finish(ConnectionId id, CallResult result) {
  auto node = calls.extract(id);
  if (node.empty())
    return;
  Call& call = node.mapped();
  loop.Cancel(call.timer);
  call.record.result = result;
  call.record.latency_us = (loop.now() - call.started).count();
  records.push_back(std::move(call.record));
  FinishIfDone();
}

void LoadGenerator::Impl::FinishIfDone() {
  if (arrivals_ended && calls.empty() && done)
    std::exchange(done, nullptr)(std::move(records));
}

LoadGenerator::LoadGenerator(EventLoop& loop, LoadOptions options)
    : impl_(std::make_shared<Impl>(loop, std::move(options))) {}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::Start(std::function<void(std::vector<CallRecord>)> done) {
  impl_->done = std::move(done);
  impl_->start = impl_->loop.now();
  impl_->OnArrival();
}

}  // namespace radishmoor
