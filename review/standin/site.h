// Stand-in for a small site of the platform, for review cases: the store, the
// host API, the workers, the callers and the processes of radishmoor-jobs. All
// of them use loopback addresses and the real clock.
//
//   Site site({.services = {{.name = "desk", .workers = 2}}});
//   site.StartNodes();
//   site.RunFor(Seconds(5));
//   site.Submit({.id = "00000000000000a1", .service = "desk", ...});
//
// The workers check the rules TWICE and LIMIT at each start, the host API
// checks LIMIT at each upkeep. record.txt gets one line for each event.

#ifndef REVIEW_STANDIN_SITE_H_
#define REVIEW_STANDIN_SITE_H_

#include <sys/types.h>

#include <boost/json.hpp>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "radishmoor/base/time.h"
#include "radishmoor/net/event_loop.h"
#include "radishmoor/net/http_client.h"
#include "radishmoor/net/http_server.h"

namespace review {

using radishmoor::Duration;
using radishmoor::Endpoint;
using radishmoor::EventLoop;
using radishmoor::ExchangeId;
using radishmoor::HttpFetcher;
using radishmoor::HttpRequest;
using radishmoor::HttpResponse;
using radishmoor::HttpServer;
using radishmoor::Time;

namespace json = boost::json;

struct ServiceOptions {
  std::string name;
  int workers = 2;
  int64_t cpu = 16000;  // Thousandths of a core of each worker.
  int64_t max_attempts = 3;
  // Each start needs a ticket of the service for advice.
  bool advice = false;
};

struct SiteOptions {
  std::vector<ServiceOptions> services;
  int nodes = 3;
  std::string record_path = "record.txt";
};

// One step of a job. All its work items run for `run_time`.
struct StepOptions {
  int count = 1;
  int64_t cpu = 1000;
};

struct JobOptions {
  std::string id;  // 16 hexadecimal digits.
  std::string service;
  std::vector<StepOptions> steps;
  Duration run_time{};
  // Runs of a work item up to this number end `failed` after `run_time`.
  int failing_runs = 0;
};

class Recorder {
 public:
  Recorder(EventLoop& loop, const std::string& path);
  void Line(const std::string& text);
  // Records a broken rule.
  void Violation(const std::string& text);
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  EventLoop& loop_;
  Time start_;
  std::ofstream file_;
  std::vector<std::string> violations_;
};

// The platform's store, with the calls for rows.
class Store {
 public:
  explicit Store(EventLoop& loop);
  Endpoint address() const { return address_; }
  // Writes a row in the tables of the platform, with an empty part.
  void Put(const std::string& table,
           const std::string& key,
           const json::value& value);
  void Remove(const std::string& table, const std::string& key);

 private:
  struct Row {
    std::string value;  // In base64.
    uint64_t version = 0;
    bool deleted = false;
  };
  struct Watch {
    std::string table;
    uint64_t after = 0;
  };

  void OnRequest(ExchangeId exchange, const HttpRequest& request);
  HttpResponse Transact(const std::string& body);
  HttpResponse ReadRows(const std::string& target) const;
  HttpResponse Changes(const Watch& watch) const;
  void AnswerWatches();
  int64_t NowMs() const;

  EventLoop& loop_;
  HttpServer server_;
  Endpoint address_;
  std::map<std::string, Row> rows_;  // By table/part/key.
  uint64_t version_ = 1;
  std::map<ExchangeId, Watch> watches_;
};

class Site;

// A worker's machine. The worker may crash and start again under its id; an
// upkeep ends it and starts one with another id.
class Worker {
 public:
  Worker(Site& site,
         std::string machine,
         std::string service,
         std::string zone,
         int64_t cpu);

  // Starts the worker and registers it in the store.
  void Boot();
  // Ends the worker without a word.
  void Crash();
  // Crashes the worker and starts it again under its id after `downtime`.
  void Restart(Duration downtime);
  // Ends the worker for good. Its entry is removed after three heartbeats.
  void LoseForGood();
  // Ends the worker for an upkeep, after which one with another id starts.
  void BeginUpkeep(Duration length);

  const std::string& id() const { return id_; }
  const std::string& machine() const { return machine_; }
  const std::string& service() const { return service_; }
  const std::string& zone() const { return zone_; }
  const std::string& state() const { return state_; }
  int64_t cpu() const { return cpu_; }
  bool up() const { return http_ != nullptr; }
  bool idle() const { return running_.empty(); }
  bool Runs(const std::string& task) const;

 private:
  struct Running {
    std::string task;
    int64_t run = 0;
    int64_t cpu = 0;
    Time started;
    Duration length{};
    bool fails = false;
    bool stopping = false;
  };
  struct Ended {
    int64_t sequence = 0;
    std::string task;
    int64_t run = 0;
    std::string how;
  };
  struct WaitingPoll {
    int64_t acknowledged = 0;
  };

  void OnRequest(ExchangeId exchange, const HttpRequest& request);
  void Answer(ExchangeId exchange, const HttpRequest& request);
  HttpResponse Start(const json::object& body);
  HttpResponse Stop(const json::object& body);
  HttpResponse Poll(int64_t acknowledged);
  void CheckStart(const Running& start);
  void Acknowledge(int64_t cursor);
  void End(const std::string& task, int64_t run, const std::string& how);
  void CheckLease();
  void Heartbeat();
  bool Fenced(const json::object& body);
  void ExtendLease(const json::object& body);
  int64_t ClockMs() const;

  Site& site_;
  std::string id_;
  std::string machine_;
  std::string service_;
  std::string zone_;
  std::string state_ = "up";  // Of the machine, as the host API shows it.
  int64_t cpu_;
  uint16_t port_ = 0;
  std::unique_ptr<HttpServer> http_;
  uint64_t boot_ = 0;  // Number of starts.
  Time booted_;
  int64_t born_ = 0;
  int64_t seq_no_ = 0;
  int64_t token_ = 0;
  int64_t deadline_ms_ = 0;
  int64_t next_end_ = 1;
  std::map<std::pair<std::string, int64_t>, Running> running_;
  std::map<std::string, int64_t> closed_;  // Highest run that ended, by task.
  std::vector<Ended> ended_;
  std::map<ExchangeId, WaitingPoll> waiting_polls_;
};

// A process of radishmoor-jobs.
class Node {
 public:
  Node(Site& site, int number);
  ~Node();
  void Start();
  void Signal(int signal);
  // Starts the process again if it has ended.
  void RestartIfEnded();
  Endpoint caller_address() const { return caller_address_; }
  Endpoint readiness_address() const { return readiness_address_; }
  const std::string& name() const { return name_; }
  bool running();

 private:
  Site& site_;
  std::string name_;
  Endpoint caller_address_;
  Endpoint readiness_address_;
  std::string settings_path_;
  std::string log_path_;
  pid_t pid_ = -1;
};

class Site {
 public:
  explicit Site(const SiteOptions& options);
  ~Site();

  // Starts the processes and waits until all are ready. Returns false if they
  // are not ready within 15 s.
  bool StartNodes();
  void RunFor(Duration length);
  void Submit(const JobOptions& job);
  // Returns the state that the callers saw last; empty before the job is
  // accepted.
  std::string StateOf(const std::string& job) const;
  bool AllJobsHaveEnded() const;
  bool IsAccepted(const std::string& job) const;
  // Writes the next configuration, without the routes of these services.
  void PutConfig(const std::set<std::string>& without_routes);
  // Returns the process that owns the service's pool; nullptr if none says so.
  Node* FindOwner(const std::string& service);
  void PutWave(int64_t number,
               const std::vector<std::string>& machines,
               int64_t max_count);

  // The service for advice admits these workers to all steps, and no others.
  void SetAdmitted(const std::set<std::string>& workers) {
    admitted_ = workers;
  }
  // The ticket for the work item's step on the worker; empty if the service's
  // starts need none.
  std::string TicketFor(const std::string& task, const Worker& worker) const;

  // The next call for an upkeep gets no answer and is carried out after
  // `delay`. `on_call` is called when it arrives, with the caller's name.
  void CarryOutNextUpkeepLate(Duration delay,
                              std::function<void(std::string)> on_call);

  Worker& worker(size_t index) { return *workers_.at(index); }
  size_t worker_count() const { return workers_.size(); }
  Node& node(size_t index) { return *nodes_.at(index); }
  Node* FindNode(const std::string& name);
  EventLoop& loop() { return loop_; }
  Recorder& recorder() { return recorder_; }
  Store& store() { return store_; }
  const std::string& folder() const { return folder_; }
  const SiteOptions& options() const { return options_; }
  Endpoint host_api_address() const { return host_api_address_; }
  Endpoint advice_address() const { return advice_address_; }
  std::string NewWorkerId();

  const JobOptions* FindJob(const std::string& id) const;
  const StepOptions* FindStep(const std::string& task) const;
  // True if the success of the work item was acknowledged to a worker.
  bool IsDone(const std::string& task) const {
    return done_tasks_.contains(task);
  }
  void SetDone(const std::string& task) { done_tasks_.insert(task); }
  // Returns the worker other than `except` that runs the work item; nullptr if
  // there is none.
  const Worker* RunsElsewhere(const std::string& task,
                              const Worker* except) const;

  // True unless the environment has TROUBLE=0.
  static bool trouble();

 private:
  struct JobState {
    JobOptions options;
    std::string body;
    bool accepted = false;
    int attempts = 0;
    std::string state;
  };
  struct Wave {
    int64_t max_count = 1;
    std::set<std::string> machines;
    std::set<std::string> begun;
  };

  void SendJob(const std::string& id);
  void AskState(const std::string& id);
  Endpoint NextCallerAddress();
  void OnHostApiRequest(ExchangeId exchange, const HttpRequest& request);
  HttpResponse ListMachines() const;
  HttpResponse Upkeep(const json::object& body, int64_t token);
  void OnAdviceRequest(ExchangeId exchange, const HttpRequest& request);
  Worker* FindMachine(const std::string& machine);

  SiteOptions options_;
  EventLoop loop_;
  Recorder recorder_;
  std::string folder_;
  Store store_;
  HttpServer host_api_;
  Endpoint host_api_address_;
  HttpServer advice_;
  Endpoint advice_address_;
  std::set<std::string> admitted_;  // Ids of workers.
  HttpFetcher fetcher_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<std::string, JobState> jobs_;
  std::map<int64_t, Wave> waves_;
  std::map<std::string, int64_t> machine_tokens_;
  std::set<std::string> done_tasks_;
  std::optional<Duration> late_upkeep_;
  std::function<void(std::string)> on_late_upkeep_;
  uint64_t next_worker_ = 1;
  int64_t config_version_ = 0;
  size_t next_caller_node_ = 0;
};

}  // namespace review

#endif  // REVIEW_STANDIN_SITE_H_
