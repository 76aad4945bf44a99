// A small deployment of radishmoor-jobs for the cases of the second review: a
// stand-in of the users' platform in this process, and real processes of the
// program next to it, on loopback addresses.
//
// The stand-in serves the store, the API of the machines and the workers, by
// the users' pages. Where a page is silent it does what a sound platform would
// do. A job's spec is JSON text: `run_ms` is the run time of its work items.
//
//   ReviewSite site({.record = "record.txt", .services = {"alpha", "beta"}});
//   site.SetRoutes({{"prices", "/prices/", "alpha"}});
//   site.StartProcesses();
//   site.Send(0, "POST", "/prices/00000000000000a1", body, callback);
//   site.RunFor(Seconds(3));

#ifndef REVIEW_STAND_IN_2_REVIEW_SITE_H_
#define REVIEW_STAND_IN_2_REVIEW_SITE_H_

#include <sys/types.h>

#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "radishmoor/net/event_loop.h"
#include "radishmoor/net/http_client.h"
#include "radishmoor/net/http_server.h"

namespace radishmoor::review {

struct ReviewSiteOptions {
  std::string program = "../../target/bin/radishmoor-jobs";
  std::string record = "record.txt";
  std::vector<std::string> services = {"alpha", "beta"};
  int workers_per_service = 9;
  int processes = 3;
};

// A queue in the configuration.
struct Route {
  std::string name;
  std::string prefix;
  std::string service;
  int slo_ms = 600;
};

// A run of a work item, as its worker has seen it.
struct SeenRun {
  std::string work_item;  // ID.K.STEP.INDEX
  int64_t run = 0;
  std::string worker;
  std::string service;
  Time started;
  Time ended = kTimeMax;
  std::string how;                // Empty while it runs.
  Time taken_note_of = kTimeMax;  // When `ack_cursor` reached its end.
};

class ReviewSite {
 public:
  // Status 0: no answer.
  using Callback = std::function<void(unsigned status, std::string body)>;

  explicit ReviewSite(const ReviewSiteOptions& options);
  ~ReviewSite();
  ReviewSite(const ReviewSite&) = delete;
  ReviewSite& operator=(const ReviewSite&) = delete;

  // Starts the processes and waits until all are ready. Returns false if they
  // are not ready within 15 s.
  bool StartProcesses();
  // Kills a process (SIGKILL). It starts again after a short delay, and does
  // not count as one that ended by itself.
  void KillProcess(int index);
  // Writes a configuration with these routes and the next version.
  void SetRoutes(const std::vector<Route>& routes);
  // Sends a request to a process as a caller would. The callback is called
  // once.
  void Send(int process,
            const std::string& method,
            const std::string& path,
            const std::string& body,
            Callback callback);
  // Sends a request and waits for its answer.
  std::pair<unsigned, std::string> SendAndWait(int process,
                                               const std::string& method,
                                               const std::string& path,
                                               const std::string& body = "");
  void RunFor(Duration length);
  // Adds a line with the time since the start to the record.
  void Record(const std::string& line);

  EventLoop& loop() { return loop_; }
  const std::vector<SeenRun>& runs() const { return runs_; }
  // Number of work items of the job that run now.
  int RunningItems(const std::string& job) const;
  // CPU, in thousandths of a core, of the service's workers, and the part of it
  // that is in use.
  int64_t CapacityOf(const std::string& service) const;
  int64_t UsedCpu(const std::string& service) const;
  // CPU that each work item of a job asks for; only for UsedCpu().
  void NoteCpu(const std::string& job, int64_t cpu) { cpu_of_job_[job] = cpu; }
  // Number of transactions that the store has refused with status 400.
  int64_t refused_transactions() const { return refused_transactions_; }
  int64_t process_ends() const { return process_ends_; }

 private:
  struct StoredRow {
    std::string value;  // In base64, as received.
    uint64_t version = 0;
  };
  struct ItemRun {
    int64_t run = 0;
    size_t seen = 0;  // Index in runs_.
    int64_t length_ms = 0;
  };
  struct ListedEnd {
    int64_t number = 0;
    std::string work_item;
    int64_t run = 0;
    size_t seen = 0;
  };
  struct HeldPoll {
    ExchangeId exchange = 0;
    Time due;
  };
  // One life of a machine.
  struct Worker {
    std::string id;
    std::string machine;
    std::string service;
    std::string zone;
    std::string rack;
    std::unique_ptr<HttpServer> http;
    Endpoint address;
    bool up = true;
    Time started;
    int64_t born = 0;
    int64_t beat = 0;
    int64_t highest_token = 0;
    int64_t lease_until = 0;
    std::map<std::string, ItemRun> running;
    std::map<std::string, int64_t> closed;  // Highest run stopped or ended.
    std::deque<ListedEnd> ended;
    int64_t next_end = 1;
    std::vector<HeldPoll> held;
  };
  struct Machine {
    std::string name;
    std::string zone;
    std::string rack;
    std::string service;
    std::string state = "up";
    int worker = -1;  // Index in workers_.
    int64_t highest_token = 0;
  };
  struct Process {
    Endpoint frontend;
    Endpoint readiness;
    std::string settings_path;
    std::string log_path;
    pid_t pid = 0;
  };

  Endpoint Reserve();
  void WriteSettings(int index);
  void StartProcess(int index);
  void CheckProcesses();

  void PutText(const std::string& key, const std::string& text);
  HttpResponse HandleStore(const HttpRequest& request);
  HttpResponse HandleTransaction(const std::string& body);
  HttpResponse HandleGet(const std::string& target);
  HttpResponse HandleParts(const std::string& target);
  void HandleFeed(ExchangeId exchange, const std::string& target, Time until);

  HttpResponse HandleMachines(const HttpRequest& request);
  void AddWorker(Machine& machine);
  void EndWorker(Machine& machine);

  void OnOrder(int index, ExchangeId exchange, const HttpRequest& request);
  HttpResponse HandleStart(Worker& worker, const std::string& body);
  void EndRun(Worker& worker, const std::string& work_item, const char* how);
  HttpResponse PollAnswer(Worker& worker);
  void AnswerHeld(Worker& worker);
  void CheckWorkers();
  void WriteWorkerRow(Worker& worker);
  int64_t ClockMs(const Worker& worker) const;

  ReviewSiteOptions options_;
  EventLoop loop_;
  Time began_;
  std::ofstream record_;
  std::string folder_;
  std::vector<int> reserved_;
  HttpServer store_;
  HttpServer host_api_;
  HttpFetcher fetcher_;
  Endpoint store_address_;
  Endpoint host_api_address_;
  std::map<std::string, StoredRow> rows_;  // By table/part/key.
  uint64_t store_version_ = 0;
  uint64_t config_version_ = 0;
  int64_t refused_transactions_ = 0;
  std::vector<Machine> machines_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<Process> processes_;
  std::vector<SeenRun> runs_;
  std::map<std::string, int64_t> cpu_of_job_;
  int64_t process_ends_ = 0;
  bool closing_ = false;
};

// Returns the id of a job, 16 hexadecimal digits.
std::string JobIdText(uint64_t number);
// Returns the body of a submission with `steps` equal steps, one after the
// other.
std::string JobBody(int64_t count,
                    int64_t cpu,
                    int64_t mem_mb,
                    int64_t run_ms,
                    int64_t steps = 1);
// Returns the `state` of an answer to GET PREFIX + ID; empty if there is none.
std::string StateIn(const std::string& body);
// Returns whether the environment asks for the disruption: TROUBLE is not 0.
bool TroubleWanted();

}  // namespace radishmoor::review

#endif  // REVIEW_STAND_IN_2_REVIEW_SITE_H_
