// A small platform for the cases of the third review: the store, workers, the
// machine API and the processes of radishmoor-jobs, all on loopback and on the
// real clock. It follows the users' pages; what the pages call a share of late
// orders is set with SetLateUpkeepCalls(). It records what it was asked and
// what it did, and checks the rules of the cases.

#ifndef REVIEW_STAND_IN_3_PLATFORM_H_
#define REVIEW_STAND_IN_3_PLATFORM_H_

#include <sys/types.h>

#include <boost/json.hpp>
#include <cstdint>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "radishmoor/net/event_loop.h"
#include "radishmoor/net/http_client.h"
#include "radishmoor/net/http_server.h"

namespace review {

namespace json = boost::json;
using radishmoor::Duration;
using radishmoor::Endpoint;
using radishmoor::EventLoop;
using radishmoor::ExchangeId;
using radishmoor::HttpFetcher;
using radishmoor::HttpRequest;
using radishmoor::HttpResponse;
using radishmoor::HttpServer;
using radishmoor::Time;

struct PlatformOptions {
  std::string folder;   // For settings files and logs of the processes.
  std::string record;   // The record of the case.
  std::string program;  // radishmoor-jobs.
  int nodes = 3;
  int workers = 10;
  uint64_t seed = 1;
};

class Platform {
 public:
  Platform(EventLoop& loop, const PlatformOptions& options);
  ~Platform();

  // Starts the workers and the processes.
  void Start();
  // Writes a line to the record.
  void Record(const std::string& line);
  void Break(const std::string& rule, const std::string& what);
  bool broken() const { return broken_; }

  // Stores a wave of all machines, of which `max_count` may be down at once.
  void StartWave(int64_t number, int64_t max_count, double duration_s);
  bool IsWaveCompleted(int64_t number) const;
  size_t upkeeps_begun() const { return upkeeps_begun_; }

  // Leaves this share of the calls for upkeep without an answer and carries
  // them out 3 to 7 seconds later.
  void SetLateUpkeepCalls(double share) { late_upkeep_share_ = share; }

  // Does this share of the store's writes without an answer; their connections
  // stay silent.
  void SetLostAnswers(double share) { lost_answer_share_ = share; }

  // Leaves this share of the orders to workers without an answer and carries
  // them out 2 to 12 seconds later, in the life that the worker has then.
  void SetLateOrders(double share) { late_order_share_ = share; }

  // Crashes the worker. It starts again after `downtime`, under its id and at
  // its address, with `cpu` thousandths of a core.
  void CrashWorker(size_t index, Duration downtime, int64_t cpu);
  int64_t CpuOf(size_t index) const { return workers_[index]->cpu; }
  bool IsWorkerUp(size_t index) const {
    return workers_[index]->state == "up" && !workers_[index]->crashed;
  }
  size_t worker_count() const { return workers_.size(); }

  // Loses all workers of a rack for good: from now on they are silent, their
  // machines are down, and their entries lapse.
  void LoseRack(const std::string& rack);
  // Submits a job of `tasks` work items that last, with their data in `rack`.
  void SubmitLasting(const std::string& id, int tasks, const std::string& rack);
  // Checks that no lasting work item is without a run for 3 s, from 6 s after
  // its last run on, in a span that is calm and has been for 4 s.
  void CheckLasting(Time last_trouble);

  // Sends SIGTERM to the process; it is killed after `grace_s` and started
  // again half a second after its end.
  void RestartNode(size_t index);
  void KillNode(size_t index);
  bool IsNodeUp(size_t index) const { return nodes_[index].pid > 0; }
  size_t node_count() const { return nodes_.size(); }
  // Returns the process that sent the last call to the machine API at least
  // `age` ago, if it is up. With `unanswered`, only if that call was left
  // without an answer.
  std::optional<size_t> LastCaller(Duration age, bool unanswered) const;
  void StopAllNodes();

  // Submits a job of `tasks` work items that take `run_ms` and `cpu` each.
  void Submit(const std::string& id, int tasks, int64_t run_ms, int64_t cpu);
  size_t jobs_accepted() const { return jobs_accepted_; }
  size_t runs_done() const { return runs_done_; }

 private:
  struct Row {
    std::string value;  // In base64.
    uint64_t version = 0;
  };
  struct Feed {
    size_t node = 0;
    ExchangeId exchange = 0;
    std::string table;
    uint64_t after = 0;
  };
  struct Run {
    int64_t number = 0;
    Time started;
    int64_t length_ms = 0;
    int64_t cpu = 0;
    bool lasts = false;
  };
  struct End {
    int64_t sequence = 0;
    std::string task;
    int64_t run = 0;
    std::string how;
    bool lease_lapsed = false;  // Since the end.
  };
  struct Worker {
    std::string machine;
    std::string id;
    int life = 0;
    int64_t cpu = 0;
    bool crashed = false;
    bool lost = false;  // For good.
    std::string rack;
    std::string state = "up";  // Of the machine.
    Time down_until;
    int64_t call_token = 0;  // Highest of the calls for the machine.
    std::set<int64_t> waves;
    std::unique_ptr<HttpServer> http;
    Endpoint address;
    Time born;
    int64_t born_ms = 0;
    // When the present life was first shown to each process that has read the
    // list of workers, and when it first answered a hold.
    std::map<size_t, Time> listed_at;
    std::optional<Time> held_at;
    int64_t token = 0;
    int64_t lease_until = 0;
    std::map<std::string, Run> running;
    std::map<std::string, int64_t> closed_runs;
    std::deque<End> ends;
    int64_t next_end = 1;
    std::map<ExchangeId, int64_t> waiting_holds;  // With the ack cursors.
  };
  struct Node {
    std::string name;
    std::string settings;
    std::string log;
    Endpoint frontend;
    Endpoint store_address;
    std::unique_ptr<HttpServer> store;
    Time list_read_at;  // When it last read the list of workers.
    pid_t pid = 0;
    Time kill_at;
    bool terminated = false;
  };

  void ListenStore(size_t node);
  void OnStore(size_t node, ExchangeId exchange, const HttpRequest& request);
  HttpResponse RowsGet(size_t node, const std::string& target);
  void OnWrite(size_t node, ExchangeId exchange, const HttpRequest& request);
  HttpResponse RowsTx(const std::string& body);
  void RowsFeed(size_t node, ExchangeId exchange, const std::string& target);
  void AnswerFeeds();
  json::object RowsAnswer(json::array rows) const;
  void Put(const std::string& key, const std::string& text);
  void PutConfig();

  void OnCloud(ExchangeId exchange, const HttpRequest& request);
  HttpResponse ListMachines() const;
  HttpResponse MachineCall(const HttpRequest& request, bool late);
  void BeginUpkeep(Worker& worker, int64_t wave, bool late);

  // Starts a new life; `same_id` keeps the worker's id.
  void StartLife(Worker& worker, bool same_id);
  void EndLife(Worker& worker);
  void PutWorker(const Worker& worker);
  // Returns whether the process that sends the orders has certainly been told
  // of the present life: it is the only one that has read the list of workers
  // lately, it has read it in this life, and the worker has answered a hold.
  bool IsKnown(const Worker& worker) const;
  void Heartbeat();
  void OnWorker(Worker& worker, ExchangeId exchange, const HttpRequest& r);
  // Forgets the ends up to `ack`.
  void ForgetEnds(Worker& worker, int64_t ack);
  void CarryOutLate(Worker& worker, const HttpRequest& request);
  // Checks the rule TWICE for a start of the work item on the worker.
  void CheckTwice(const Worker& worker, const std::string& task);
  HttpResponse RunStart(Worker& worker, const json::object& body);
  HttpResponse RunStop(Worker& worker, const json::object& body);
  HttpResponse HoldAnswer(Worker& worker, int64_t ack);
  void FinishRun(Worker& worker, const std::string& task, const char* how);
  void CheckLease(Worker& worker);
  int64_t ClockMs(const Worker& worker) const;

  void SendJob(const std::string& id, const json::object& body);
  void WriteSettings(Node& node, size_t index);
  void StartNode(Node& node);
  void WatchNodes();
  uint16_t FreePort();
  double Seconds() const;

  EventLoop& loop_;
  PlatformOptions options_;
  std::ofstream record_;
  Time began_;
  bool broken_ = false;
  std::mt19937_64 random_;

  HttpServer cloud_;
  Endpoint cloud_address_;
  std::map<std::string, Row> rows_;  // By table/part/key.
  uint64_t version_ = 0;
  std::vector<Feed> feeds_;

  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<Node> nodes_;
  std::vector<int> reserved_;
  HttpFetcher fetcher_;
  double late_upkeep_share_ = 0;
  double lost_answer_share_ = 0;
  double late_order_share_ = 0;
  std::set<std::string> noted_done_;  // Work items whose end `done` is noted.
  std::map<std::string, int64_t> task_cpu_;  // By job.
  // Lasting work items of accepted jobs: when each had a run the last time.
  std::map<std::string, Time> lasting_;
  std::set<std::string> lasting_jobs_;
  // Of the last call to the machine API.
  std::string last_caller_;
  Time last_call_at_;
  bool last_call_unanswered_ = false;
  int64_t wave_ = 0;
  int64_t wave_max_count_ = 0;
  size_t upkeeps_begun_ = 0;
  size_t jobs_accepted_ = 0;
  size_t runs_done_ = 0;
};

}  // namespace review

#endif  // REVIEW_STAND_IN_3_PLATFORM_H_
