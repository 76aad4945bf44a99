// Runs a whole site as child processes of a test: platform, backend servers,
// entry and control processes. The relays and the load run in the test's own
// process, on one event loop.
//
//   Site site({.hosts_per_pool = 4});
//   Load load(site, {.rate = 300, .duration = Seconds(3)});
//   site.RunFor(Seconds(1));                // the load goes on
//   site.entries[0].process->Signal(SIGKILL);
//   HistoryReport report = site.Check(load.Wait());
//
// Links:  callers -> callers_relay -> entry -> [backend relay] -> backend
//         entry, control -> platform relay of their zone -> platform
//
// All ports are chosen by the kernel. The destructor kills every child, and a
// child dies with the test process. Constructors and the wait functions throw
// std::runtime_error when a condition is not met within its limit.

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

// A program of the build's bin directory. Its output goes to files.
class ChildProcess {
 public:
  // Output goes to `<base_path>.out`, errors to `<base_path>.log`.
  ChildProcess(const std::string& base_path,
               const std::string& program,
               const std::vector<std::string>& args);
  // Kills the process and waits for it.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int signal);
  // Exit code, or 128 + signal; nullopt while it runs.
  std::optional<int> exit_code();
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
  bool backend_relays = false;
  // Of a whole site; replaces zones, pools and hosts_per_pool. The addresses of
  // the file are ignored.
  std::optional<Inventory> inventory;
  std::vector<std::string> entry_args;
};

struct BackendNode {
  HostId id;
  std::string exec_log;
  std::unique_ptr<ChildProcess> process;
  Endpoint endpoint;             // Of the backend server itself.
  std::unique_ptr<Relay> relay;  // Null without backend_relays.
};

struct MemberNode {
  std::string name;
  std::string zone;
  std::unique_ptr<ChildProcess> process;
  Endpoint callers;  // Only of entry processes.
  Endpoint admin;
};

struct CtlResult {
  int code = -1;
  std::string output;
  std::string errors;
};

class Site {
 public:
  // Starts all processes, applies the inventory, and waits until every process
  // is ready.
  explicit Site(SiteOptions options = {});
  ~Site();

  EventLoop loop;
  Inventory inventory;
  Endpoint platform;
  std::map<std::string, std::unique_ptr<Relay>> platform_relays;  // By zone.
  std::vector<BackendNode> backends;
  std::vector<MemberNode> entries;
  std::vector<MemberNode> controls;
  std::unique_ptr<Relay> callers_relay;
  Endpoint callers;  // Of callers_relay.

  // Runs the loop until `condition`; false when `limit` passed before.
  bool Until(Duration limit, const std::function<bool()>& condition);
  // As Until, but throws with `what` when the limit passed.
  void Await(const std::string& what,
             Duration limit,
             const std::function<bool()>& condition);
  // Length of a phase of load or of a fault; not for waiting for an effect.
  void RunFor(Duration duration);

  std::optional<HttpResponse> Fetch(const Endpoint& endpoint,
                                    HttpRequest request,
                                    Duration timeout = Seconds(5));
  // Field of a process's /status page; nullopt when it does not answer.
  std::optional<int64_t> Status(const MemberNode& member,
                                const std::string& field);
  // Field of a backend server's statistics.
  int64_t BackendStat(const BackendNode& backend, const std::string& field);
  void SetBackendFaults(const BackendNode& backend, const std::string& json);
  void SetPlatformFaults(const std::string& json);

  // Bytes of all answers to one connection that sends `bytes` and then waits
  // for the end of the connection.
  std::string RawExchange(const Endpoint& endpoint,
                          const std::string& bytes,
                          Duration limit);

  std::unique_ptr<ChildProcess> StartCtl(const std::vector<std::string>& args);
  CtlResult WaitCtl(ChildProcess& ctl);
  CtlResult Ctl(const std::vector<std::string>& args);
  CtlResult Apply(const Inventory& wanted);
  std::string WriteInventory(const Inventory& wanted);

  // The accepted configuration, read past the relays.
  FleetState Config();
  HostState ConfigHost(const HostId& id);
  // The configuration at each version, from the log.
  std::vector<FleetState> ConfigHistory();

  BackendNode& Backend(const HostId& id);
  std::vector<ExecutionRecord> Executions(const BackendNode& backend) const;
  std::vector<ExecutionRecord> Executions() const;
  HistoryReport Check(const std::vector<CallRecord>& calls) const;

 private:
  std::unique_ptr<ChildProcess> Spawn(const std::string& name,
                                      const std::string& program,
                                      const std::vector<std::string>& args);
  // Words of the first line of output: "listening A admin B" -> {A, B}.
  std::vector<Endpoint> Addresses(ChildProcess& process);
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

// Load on the site's callers_relay, from construction on.
class Load {
 public:
  // Fills in the target, and the services when they are empty.
  Load(Site& site, LoadOptions options);

  // Waits until every call has its result.
  std::vector<CallRecord> Wait();
  // Time since the start, as in CallRecord::start_us.
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
