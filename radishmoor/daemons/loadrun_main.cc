// radishmoor-loadrun: sends closed-loop load in alternating blocks, directly to
// a backend server and through an entry process. Reports the rates and
// latencies of both and the entry process's processor time and memory.
// tools/load_run starts the processes.

#include <tclap/CmdLine.h>
#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <unordered_map>
#include <vector>

#include "radishmoor/net/event_loop.h"
#include "radishmoor/net/http_client.h"

namespace radishmoor {
namespace {

// Results of one or more blocks of calls.
struct Sample {
  std::vector<int64_t> latencies_us;
  uint64_t failed = 0;
  double seconds = 0;

  void Add(const Sample& other) {
    latencies_us.insert(latencies_us.end(), other.latencies_us.begin(),
                        other.latencies_us.end());
    failed += other.failed;
    seconds += other.seconds;
  }
  double rate() const {
    return static_cast<double>(latencies_us.size()) / seconds;
  }
  double PercentileMs(double share) {
    if (latencies_us.empty())
      return 0;
    auto rank = static_cast<ptrdiff_t>(
        share * static_cast<double>(latencies_us.size() - 1));
    auto nth = latencies_us.begin() + rank;
    std::nth_element(latencies_us.begin(), nth, latencies_us.end());
    return static_cast<double>(*nth) / 1e3;
  }
};

// Keeps one request in flight on each of its connections.
class ClosedLoop {
 public:
  ClosedLoop(EventLoop& loop, Endpoint target, const std::string& service)
      : loop_(loop),
        target_(std::move(target)),
        client_(
            loop,
            {.on_opened = [this](ConnectionId id) { Send(id); },
             .on_open_failed = [this](ConnectionId,
                                      const std::string&) { ++sample_.failed; },
             .on_response =
                 [this](ConnectionId id, const HttpResponse& r, bool reusable) {
                   OnResponse(id, r.status, reusable);
                 },
             .on_exchange_failed =
                 [this](ConnectionId, const std::string&) { ++sample_.failed; },
             .on_closed = [](ConnectionId) {}}) {
    request_.target = "/" + service + "/lookup";
    request_.headers = {{"Host", service}, {"Work-Us", "0"}};
  }

  Sample Run(int connections, Duration length) {
    Time start = loop_.now();
    end_ = start + length;
    for (int i = 0; i < connections; ++i)
      client_.Open(ConnectionId{next_id_++}, target_);
    loop_.RunAt(end_, [this] { loop_.Stop(); });
    loop_.Run();
    sample_.seconds = ToSeconds(loop_.now() - start);
    for (uint64_t id = 1; id < next_id_; ++id)
      client_.Close(ConnectionId{id});
    return std::move(sample_);
  }

 private:
  void Send(ConnectionId id) {
    if (loop_.now() >= end_)
      return;
    sent_[id] = loop_.now();
    client_.Send(id, request_);
  }

  void OnResponse(ConnectionId id, unsigned status, bool reusable) {
    if (status == 200) {
      sample_.latencies_us.push_back((loop_.now() - sent_[id]).count());
    } else {
      ++sample_.failed;
    }
    if (reusable)
      Send(id);
  }

  EventLoop& loop_;
  Endpoint target_;
  HttpRequest request_;
  HttpClient client_;
  Time end_;
  uint64_t next_id_ = 1;
  std::unordered_map<ConnectionId, Time> sent_;
  Sample sample_;
};

// Returns the processor seconds that a process has used in user and kernel mode
// (fields 14 and 15 of proc(5)'s /proc/<pid>/stat).
double CpuSeconds(int pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string line;
  std::getline(in, line);
  std::istringstream fields(line.substr(line.rfind(')') + 2));
  std::string skipped;
  for (int i = 3; i < 14; ++i)
    fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double ResidentMb(int pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("VmRSS:"))
      return std::stod(line.substr(6)) / 1024;
  }
  return 0;
}

// Opens idle connections, at most 64 at a time so that no listen queue
// overflows.
class IdleConnections {
 public:
  IdleConnections(EventLoop& loop, Endpoint target, uint64_t count)
      : loop_(loop),
        target_(std::move(target)),
        count_(count),
        client_(
            loop,
            {.on_opened = [this](ConnectionId) { OnSettled(true); },
             .on_open_failed = [this](ConnectionId,
                                      const std::string&) { OnSettled(false); },
             .on_response = [](ConnectionId, const HttpResponse&, bool) {},
             .on_exchange_failed = [](ConnectionId, const std::string&) {},
             .on_closed = [this](ConnectionId) { --open_; }}) {}

  // Opens the connections and returns how many are still open one second after
  // the last one was opened or failed.
  uint64_t Open() {
    for (uint64_t i = 0; i < std::min<uint64_t>(count_, 64); ++i)
      OpenNext();
    loop_.Run();
    return open_;
  }

 private:
  void OpenNext() {
    if (started_ < count_)
      client_.Open(ConnectionId{++started_}, target_);
  }
  void OnSettled(bool opened) {
    open_ += opened ? 1 : 0;
    if (++settled_ == count_)
      loop_.RunAfter(Seconds(1), [this] { loop_.Stop(); });
    OpenNext();
  }

  EventLoop& loop_;
  Endpoint target_;
  uint64_t count_;
  uint64_t started_ = 0;
  uint64_t settled_ = 0;
  uint64_t open_ = 0;
  HttpClient client_;
};

struct RunOptions {
  Endpoint entry;
  Endpoint backend;
  int entry_pid = 0;
  std::string service;
  int blocks = 0;
  Duration block_length;
  uint64_t idle = 0;
};

boost::json::object RunBlocks(const RunOptions& options, int connections) {
  Sample direct;
  Sample via_entry;
  double cpu_seconds = 0;
  for (int block = 0; block < options.blocks; ++block) {
    EventLoop loop;
    direct.Add(ClosedLoop(loop, options.backend, options.service)
                   .Run(connections, options.block_length));
    double cpu_before = CpuSeconds(options.entry_pid);
    via_entry.Add(ClosedLoop(loop, options.entry, options.service)
                      .Run(connections, options.block_length));
    cpu_seconds += CpuSeconds(options.entry_pid) - cpu_before;
  }
  double direct_p50 = direct.PercentileMs(0.5);
  double direct_p99 = direct.PercentileMs(0.99);
  double entry_p50 = via_entry.PercentileMs(0.5);
  double entry_p99 = via_entry.PercentileMs(0.99);
  auto answered = static_cast<double>(via_entry.latencies_us.size());
  double cpu_us = cpu_seconds * 1e6 / answered;
  std::printf(
      "%5d %9.0f %9.0f %7.3f %7.3f %7.3f %7.3f %7.3f %7.3f %8.1f %6.2f %9.0f "
      "%6lu %6lu\n",
      connections, direct.rate(), via_entry.rate(), direct_p50, entry_p50,
      entry_p50 - direct_p50, direct_p99, entry_p99, entry_p99 - direct_p99,
      cpu_us, cpu_seconds / via_entry.seconds, 1e6 / cpu_us,
      static_cast<unsigned long>(direct.failed),
      static_cast<unsigned long>(via_entry.failed));
  return {{"connections", connections},
          {"direct_per_s", direct.rate()},
          {"entry_per_s", via_entry.rate()},
          {"direct_p50_ms", direct_p50},
          {"entry_p50_ms", entry_p50},
          {"added_p50_ms", entry_p50 - direct_p50},
          {"direct_p99_ms", direct_p99},
          {"entry_p99_ms", entry_p99},
          {"added_p99_ms", entry_p99 - direct_p99},
          {"entry_cpu_us_per_request", cpu_us},
          {"entry_cores", cpu_seconds / via_entry.seconds},
          {"entry_per_core_s", 1e6 / cpu_us},
          {"direct_failed", direct.failed},
          {"entry_failed", via_entry.failed}};
}

boost::json::object RunIdle(const RunOptions& options) {
  EventLoop loop;
  double mb_before = ResidentMb(options.entry_pid);
  IdleConnections idle(loop, options.entry, options.idle);
  uint64_t open = idle.Open();
  double mb_with_idle = ResidentMb(options.entry_pid);
  std::printf("resident memory %.1f MB, with %lu idle connections %.1f MB\n",
              mb_before, static_cast<unsigned long>(open), mb_with_idle);
  return {
      {"rest_mb", mb_before}, {"idle_open", open}, {"idle_mb", mb_with_idle}};
}

}  // namespace
}  // namespace radishmoor

int main(int argc, char** argv) {
  using namespace radishmoor;  // NOLINT(google-build-using-namespace)
  TCLAP::CmdLine cmd("Closed-loop load run on loopback", ' ', "1");
  TCLAP::ValueArg<std::string> entry("", "entry", "entry process", true, "",
                                     "ip:port", cmd);
  TCLAP::ValueArg<std::string> backend("", "backend", "backend server", true,
                                       "", "ip:port", cmd);
  TCLAP::ValueArg<int> pid("", "entry-pid", "process id of the entry process",
                           true, 0, "pid", cmd);
  TCLAP::ValueArg<std::string> service("", "service", "service name", true, "",
                                       "id", cmd);
  TCLAP::MultiArg<int> connections("", "connections", "connections of a run",
                                   true, "n", cmd);
  TCLAP::ValueArg<int> blocks("", "blocks", "pairs of blocks for each run",
                              false, 4, "n", cmd);
  TCLAP::ValueArg<double> length("", "block-s", "length of a block", false, 1,
                                 "s", cmd);
  TCLAP::ValueArg<uint64_t> idle("", "idle", "idle connections", false, 0, "n",
                                 cmd);
  TCLAP::ValueArg<std::string> json("", "json", "file for the figures", false,
                                    "", "path", cmd);
  cmd.parse(argc, argv);
  auto entry_endpoint = ParseEndpoint(entry.getValue());
  auto backend_endpoint = ParseEndpoint(backend.getValue());
  if (!entry_endpoint || !entry_endpoint->ip.starts_with("127.") ||
      !backend_endpoint || !backend_endpoint->ip.starts_with("127.")) {
    std::cerr << "--entry and --backend must be ip:port on loopback\n";
    return 2;
  }
  RunOptions options{
      *entry_endpoint,
      *backend_endpoint,
      pid.getValue(),
      service.getValue(),
      blocks.getValue(),
      Microseconds(static_cast<int64_t>(length.getValue() * 1e6)),
      idle.getValue()};
  std::printf("%5s %9s %9s %7s %7s %7s %7s %7s %7s %8s %6s %9s %6s %6s\n",
              "conns", "direct/s", "entry/s", "dir p50", "ent p50", "add p50",
              "dir p99", "ent p99", "add p99", "us/req", "cores", "req/core",
              "dir fl", "ent fl");
  boost::json::array runs;
  for (int n : connections.getValue())
    runs.push_back(RunBlocks(options, n));
  boost::json::object result{{"runs", runs}};
  if (options.idle > 0)
    result["memory"] = RunIdle(options);
  if (!json.getValue().empty())
    std::ofstream(json.getValue()) << boost::json::serialize(result) << "\n";
  return 0;
}
