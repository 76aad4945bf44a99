// radishmoor-load: sends short, long, idempotent and non-idempotent calls,
// prints a table of results, and checks the calls against the execution logs of
// the backend server stand-ins.

#include <tclap/CmdLine.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>

#include "radishmoor/net/event_loop.h"
#include "radishmoor/standins/load_generator.h"

namespace radishmoor {
namespace {

double PercentileMs(std::vector<int64_t>& sorted, double share) {
  if (sorted.empty())
    return 0;
  auto index = static_cast<size_t>(share * static_cast<double>(sorted.size()));
  return static_cast<double>(sorted[std::min(index, sorted.size() - 1)]) / 1e3;
}

void PrintReport(const std::vector<CallRecord>& calls,
                 const HistoryReport& report) {
  std::vector<int64_t> latencies;
  std::map<std::string, uint64_t> reasons;
  for (const CallRecord& call : calls) {
    if (call.result == CallResult::kCompleted && !call.long_running)
      latencies.push_back(call.latency_us);
    if (call.result != CallResult::kCompleted)
      ++reasons[call.reason.empty() ? "-" : call.reason];
  }
  std::sort(latencies.begin(), latencies.end());
  std::cout << "sent        " << report.calls << "\n"
            << "completed   " << report.completed << "\n"
            << "refused     " << report.not_run << "  (not run)\n"
            << "unknown     " << report.may_have_run + report.closed
            << "  (may have run)\n"
            << "lost        " << report.lost << "\n"
            << "doubled     " << report.keys_started_repeatedly << "\n"
            << "violations  " << report.violations.size() << "\n"
            << "short p50   " << PercentileMs(latencies, 0.50) << " ms\n"
            << "short p99   " << PercentileMs(latencies, 0.99) << " ms\n";
  for (const auto& [reason, count] : reasons)
    std::cout << "  reason " << reason << ": " << count << "\n";
  for (size_t i = 0; i < std::min<size_t>(report.violations.size(), 10); ++i)
    std::cout << "  " << report.violations[i] << "\n";
}

}  // namespace
}  // namespace radishmoor

int main(int argc, char** argv) {
  using namespace radishmoor;  // NOLINT(google-build-using-namespace)
  TCLAP::CmdLine cmd("Load tool and history checker", ' ', "1");
  TCLAP::ValueArg<std::string> target("", "target", "ip:port on loopback", true,
                                      "", "ip:port", cmd);
  TCLAP::MultiArg<std::string> services("", "service", "service name", true,
                                        "id", cmd);
  TCLAP::ValueArg<double> rate("", "rate", "calls a second", false, 100, "n",
                               cmd);
  TCLAP::ValueArg<double> duration("", "duration-s", "seconds of arrivals",
                                   false, 10, "s", cmd);
  TCLAP::ValueArg<uint32_t> run_time(
      "", "run-time-us", "run time of a short call", false, 20000, "us", cmd);
  TCLAP::ValueArg<double> long_share("", "long-share", "share of long calls",
                                     false, 0.015, "share", cmd);
  TCLAP::ValueArg<double> keyed_share("", "keyed-share",
                                      "share of non-idempotent calls", false,
                                      0.2, "share", cmd);
  TCLAP::ValueArg<uint32_t> deadline(
      "", "deadline-ms", "deadline of a short call", false, 2000, "ms", cmd);
  TCLAP::ValueArg<uint64_t> seed("", "seed", "seed", false, 1, "n", cmd);
  TCLAP::ValueArg<std::string> history("", "history", "file to write calls to",
                                       false, "", "path", cmd);
  TCLAP::MultiArg<std::string> logs("", "execution-log",
                                    "execution log to check against", false,
                                    "path", cmd);
  cmd.parse(argc, argv);
  auto endpoint = ParseEndpoint(target.getValue());
  if (!endpoint || !endpoint->ip.starts_with("127.")) {
    std::cerr << "--target: not an ip:port on loopback: " << target.getValue()
              << "\n";
    return 2;
  }
  LoadOptions options;
  options.target = *endpoint;
  options.services = services.getValue();
  options.rate = rate.getValue();
  options.duration =
      Microseconds(static_cast<int64_t>(duration.getValue() * 1e6));
  options.run_time = Microseconds(run_time.getValue());
  options.long_share = long_share.getValue();
  options.keyed_share = keyed_share.getValue();
  options.deadline = Milliseconds(deadline.getValue());
  options.seed = seed.getValue();
  EventLoop loop;
  LoadGenerator load(loop, options);
  std::vector<CallRecord> calls;
  load.Start([&](std::vector<CallRecord> records) {
    calls = std::move(records);
    loop.Stop();
  });
  loop.Run();
  if (!history.getValue().empty()) {
    std::ofstream out(history.getValue());
    for (const CallRecord& call : calls)
      WriteCall(out, call);
  }
  std::vector<ExecutionRecord> executions;
  for (const std::string& path : logs.getValue()) {
    std::ifstream in(path);
    auto part = ReadExecutions(in);
    executions.insert(executions.end(), part.begin(), part.end());
  }
  HistoryReport report = CheckHistory(calls, executions);
  PrintReport(calls, report);
  return report.violations.empty() ? 0 : 1;
}
