// Runs a whole site as child processes of a test: the platform, backend
// servers, entry processes and control processes. The relays and the load
// generator run in the test's own process, on one event loop.
//
//   Site site({.hosts_per_pool = 4});
//   Load load(site, {.rate = 300, .duration = Seconds(3)});
//   site.RunFor(Seconds(1));                // the load goes on
//   site.entries[0].process->Signal(SIGKILL);
//   HistoryReport report = site.CheckCalls(load.Wait());
//
// Connections: callers -> callers_relay -> entry -> [backend relay] -> backend
//              entry, control -> platform relay of their zone -> platform
//
// The kernel chooses all ports. The destructor kills every child process, and
// the children also die with the test process. The constructors and the waiting
// functions throw std::runtime_error if a condition is not met in time. Logs
// and execution logs are in a temporary directory, which the destructor removes
// unless the environment variable SITE_FIXTURE_KEEP is set.

#ifndef RADISHMOOR_STANDINS_TESTING_SITE_FIXTURE_H_
#define RADISHMOOR_STANDINS_TESTING_SITE_FIXTURE_H_

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "radishmoor/base/time.h"
#include "radishmoor/config/config_log.h"
#include "radishmoor/config/fleet_state.h"
#include "radishmoor/config/inventory.h"
#include "radishmoor/net/event_loop.h"
#include "radishmoor/net/http_client.h"
#include "radishmoor/net/http_message.h"
#include "radishmoor/net/store_client.h"
#include "radishmoor/standins/history.h"
#include "radishmoor/standins/load_generator.h"
#include "radishmoor/standins/relay.h"

namespace radishmoor {

// Runs a program of the build's bin directory.
class ChildProcess {
 public:
  // Standard output goes to `<base_path>.out`, standard error to
  // `<base_path>.log`. Throws std::runtime_error if the process cannot be
  // created.
  ChildProcess(const std::string& base_path,
               const std::string& program,
               const std::vector<std::string>& args);
  // Kills the process and waits for it.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Sends a signal; has no effect after the process has ended.
  void Signal(int signal);
  // Returns the exit code, or 128 + the signal that ended the process; nullopt
  // while the process runs.
  std::optional<int> exit_code();
  // Return what the process has written so far to standard output and standard
  // error.
  std::string Output() const;
  std::string Errors() const;

 private:
  std::string base_path_;
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
};

struct SiteOptions {
  std::vector<std::string> zones = {"east", "west"};
  std::vector<std::string> pools = {"quotes", "orders"};
  uint32_t hosts_per_pool = 4;
  uint32_t entries_per_zone = 2;
  uint32_t controls_per_zone = 1;
  bool backend_relays = false;  // Puts a relay before each backend server.
  // Replaces zones, pools and hosts_per_pool; host addresses in it are ignored.
  std::optional<Inventory> inventory;
  std::vector<std::string> entry_args;  // Further arguments of entry processes.
};

struct BackendProcess {
  HostId id;
  std::string exec_log;  // Path of the execution log.
  std::unique_ptr<ChildProcess> process;
  Endpoint endpoint;             // Of the backend server, not of its relay.
  std::unique_ptr<Relay> relay;  // Null unless SiteOptions::backend_relays.
};

// An entry or control process.
struct MemberProcess {
  std::string name;
  std::string zone;
  std::unique_ptr<ChildProcess> process;
  Endpoint callers_endpoint;  // For callers' requests; entry processes only.
  Endpoint admin_endpoint;
};

// Result of a run of radishmoorctl.
struct CtlResult {
  int code = -1;  // Exit code.
  std::string output;
  std::string errors;
};

class Site {
 public:
  // Starts all processes, applies the inventory, and waits until every entry
  // and control process is ready.
  explicit Site(SiteOptions options = {});
  ~Site();

  EventLoop loop;
  Inventory inventory;
  Endpoint platform;  // Of the platform, not of a relay.
  std::map<std::string, std::unique_ptr<Relay>> platform_relays;  // By zone.
  std::vector<BackendProcess> backends;
  std::vector<MemberProcess> entries;
  std::vector<MemberProcess> controls;
  std::unique_ptr<Relay> callers_relay;
  Endpoint callers_endpoint;  // Of callers_relay.

  // Runs the loop until `condition` is true; returns false if it is not within
  // `limit`.
  bool WaitUntil(Duration limit, const std::function<bool()>& condition);
  // As WaitUntil, but throws std::runtime_error with the message `what` instead
  // of returning false.
  void WaitOrThrow(const std::string& what,
                   Duration limit,
                   const std::function<bool()>& condition);
  // Runs the loop for `duration`. Use it for the length of a load or a fault;
  // wait for an effect with WaitUntil.
  void RunFor(Duration duration);

  // Returns the answer to a request; nullopt if there is none within `timeout`.
  std::optional<HttpResponse> Fetch(const Endpoint& endpoint,
                                    HttpRequest request,
                                    Duration timeout = Seconds(5));
  // Returns a number from the process's /status page; nullopt if the process
  // does not answer within 1 s.
  std::optional<int64_t> StatusField(const MemberProcess& member,
                                     const std::string& field);
  // Returns a number from the backend server's statistics; throws
  // std::runtime_error if the server does not answer.
  int64_t BackendStat(const BackendProcess& backend, const std::string& field);
  // Set the fault switches with the JSON object of standins/backend_server.h
  // and standins/platform_server.h.
  void SetBackendFaults(const BackendProcess& backend, const std::string& json);
  void SetPlatformFaults(const std::string& json);

  // Sends `bytes` on a new connection and returns all bytes that are received
  // until the other side closes the connection or `limit` passes.
  std::string RawExchange(const Endpoint& endpoint,
                          const std::string& bytes,
                          Duration limit);

  // Start radishmoorctl with `args`, wait for its end, or do both.
  std::unique_ptr<ChildProcess> StartCtl(const std::vector<std::string>& args);
  CtlResult WaitCtl(ChildProcess& ctl);
  CtlResult RunCtl(const std::vector<std::string>& args);
  // Runs "radishmoorctl apply" with an inventory.
  CtlResult Apply(const Inventory& wanted);
  // Writes an inventory to a new file and returns its path.
  std::string WriteInventory(const Inventory& wanted);

  // Reads the accepted configuration, or one host of it, from the platform
  // without a relay. Throws ConfigUnavailableError if the platform does not
  // answer.
  FleetState AcceptedConfig();
  HostState AcceptedHostState(const HostId& id);
  // Returns the configuration at each version, rebuilt from the deltas in the
  // table.
  std::vector<FleetState> ConfigHistory();

  // Throws std::runtime_error if there is no such backend server.
  BackendProcess& Backend(const HostId& id);
  // Return the execution log of one backend server or of all.
  std::vector<ExecutionRecord> Executions(const BackendProcess& backend) const;
  std::vector<ExecutionRecord> Executions() const;
  // Checks calls against the execution logs of all backend servers.
  HistoryReport CheckCalls(const std::vector<CallRecord>& calls) const;

 private:
  std::unique_ptr<ChildProcess> Spawn(const std::string& name,
                                      const std::string& program,
                                      const std::vector<std::string>& args);
  // Waits for the first line of output and returns the addresses in it, in
  // order: {A, B} for "listening A admin B".
  std::vector<Endpoint> PrintedAddresses(ChildProcess& process);
  void StartBackends();
  void StartMembers();
  StoreReply Execute(const StoreRequest& request);

  SiteOptions options_;
  std::string dir_;
  uint64_t next_ctl_ = 0;
  HttpFetcher fetcher_{loop};
  std::unique_ptr<ChildProcess> platform_process_;
  std::unique_ptr<StoreClient> store_;
};

// Generates load on the site's callers_relay from construction on, while the
// site's loop runs.
class Load {
 public:
  // Directs the load to callers_relay. If `options` names no services, the
  // load calls all pools.
  Load(Site& site, LoadOptions options);

  // Waits until every call has its result. Throws std::runtime_error if that
  // takes more than 10 s beyond the load's duration and the long deadline.
  std::vector<CallRecord> Wait();
  // Returns the microseconds since the start, comparable to
  // CallRecord::start_us.
  int64_t elapsed_us() const;

 private:
  Site& site_;
  LoadOptions options_;
  LoadGenerator generator_;
  Time started_;
  std::optional<std::vector<CallRecord>> calls_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_STANDINS_TESTING_SITE_FIXTURE_H_
