// A whole site of job schedulers in virtual time: processes, backend servers,
// hosts, the store and callers, with faults drawn from a seed. What must always
// hold is checked where it shows: at the servers and at the callers.
//
//   JobSimulation world({.seed = 7});
//   world.Run(Seconds(40));
//   world.Settle();
//   REQUIRE(world.violations().empty());

#ifndef RADISHMOOR_JOBS_TESTING_JOB_SIMULATION_H_
#define RADISHMOOR_JOBS_TESTING_JOB_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "radishmoor/base/random.h"
#include "radishmoor/jobs/node_core.h"
#include "radishmoor/store/memory_table.h"

namespace radishmoor {

struct JobSimulationOptions {
  uint64_t seed = 1;
  int nodes = 4;
  int servers_per_pool = 4;
  double jobs_per_second = 6;
  // Mean time between faults; zero: none.
  Duration fault_period{};
  // Shares of store writes that are carried out and not answered, and of orders
  // that are carried out seconds later.
  double lost_answers = 0;
  double late_orders = 0;
  bool wave = false;
};

struct JobSimulationCounts {
  uint64_t events = 0;
  uint64_t accepted = 0;
  uint64_t refused = 0;
  uint64_t completed = 0;
  uint64_t failed = 0;
  uint64_t cancelled = 0;
  uint64_t starts = 0;
  uint64_t lapsed = 0;
  uint64_t faults = 0;
  uint64_t maintained = 0;
};

class JobSimulation {
 public:
  explicit JobSimulation(const JobSimulationOptions& options);
  ~JobSimulation();

  // Runs with callers and faults.
  void Run(Duration length);
  // Ends the faults and gives the jobs time to end.
  void Settle();

  const std::vector<std::string>& violations() const { return violations_; }
  const JobSimulationCounts& counts() const { return counts_; }
  // Accepted jobs that have not ended and were not cancelled.
  size_t unfinished() const;

  // Faults, also drawn by Run().
  void KillNode(int node, Duration down);
  void StopNode(int node);  // As by a signal.
  void FreezeNode(int node, Duration length);
  void CutNodeFromStore(int node, Duration length);
  void CutNodeFromServers(int node, Duration length);
  // From the store, the servers and the other nodes.
  void CutNodeOff(int node, Duration length);
  void CrashServer(int server, Duration down, bool same_id);
  void StoreOutage(Duration length);
  // The store's answers and transactions take `factor` times as long.
  void SlowStore(double factor, Duration length);

  Time now() const { return now_; }
  // When the node last gave an order to start a run in the pool, if ever.
  std::optional<Time> LastStartBy(int node, const PoolId& pool) const;
  // The node that owns the pool, or -1.
  int OwnerOf(const PoolId& pool) const;
  // The node takes itself for the pool's owner.
  bool Owns(int node, const PoolId& pool) const;

 private:
  struct Node;
  struct Server;
  struct Caller;
  struct Event {
    Time at;
    uint64_t order = 0;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void At(Time when, std::function<void()> run);
  void After(Duration delay, std::function<void()> run) {
    At(now_ + delay, std::move(run));
  }
  void RunUntil(Time end);
  Duration Latency();
  WallMillis wall() const;
  void Violation(std::string what);

  void StartNode(int index);
  // Runs `step` on the node's core if that life of it is still there, later if
  // it is frozen; then carries out what the core asks for.
  void OnNode(int index,
              uint64_t incarnation_number,
              std::function<void(NodeCore&)> step);
  void Carry(int index, JobAction action);
  void Wake(int index);
  void CarryStore(int index,
                  uint64_t incarnation_number,
                  const StoreCall& call);
  // When a call that arrives at `arrives` is carried out; nothing if too many
  // transactions wait for its partition.
  std::optional<Time> StoreTurn(Time arrives, const StoreRequest& request);
  Duration Slowed(Duration usual) const;
  void CarryOrder(int index,
                  uint64_t incarnation_number,
                  const OrderToServer& order);
  void CarryHostCall(int index,
                     uint64_t incarnation_number,
                     const HostCall& call);
  void DeliverOperatorChanges(int index,
                              uint64_t incarnation_number,
                              const WatchOperatorChanges& follow);
  std::vector<ServerListing> Listings() const;

  void StartServer(size_t index, ServerId id);
  void EndServer(Server& server);
  ServerReply Apply(Server& server, const OrderToServer& order);
  void ApplyStart(Server& server, const StartRun& start, ServerReply& reply);
  void CheckStart(const Server& server, const StartRun& start);
  void EndRun(Server& server, const TaskId& task, RunEnd end);
  void ExpireLeases(Server& server);
  ServerMillis ClockOf(const Server& server) const;

  void SubmitJob();
  void SendCall(Caller& caller, JobCallRequest request);
  void OnAnswer(const JobCallAnswer& answer);
  void PollJob(const JobId& id);
  void RandomFault();

  JobSimulationOptions options_;
  Random random_;
  Time now_ = kTimeZero + Seconds(1000);
  uint64_t next_order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  MemoryTable table_;
  JobConfig config_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::map<JobId, std::unique_ptr<Caller>> callers_;
  std::map<JobCallId, JobId> calls_;
  std::map<JobCallId, Time> call_sent_;
  std::map<std::pair<int, PoolId>, Time> last_start_by_;
  JobCallId next_call_ = 1;
  uint64_t next_server_ = 1;
  Time store_down_until_;
  double store_factor_ = 1;
  Time store_slow_until_;
  // Until when each partition carries out what has arrived.
  std::map<std::string, Time> partitions_;
  std::vector<MaintenanceWave> waves_;
  std::set<uint64_t> completed_waves_;
  bool faults_ = false;
  bool callers_on_ = false;
  bool submitting_ = false;  // The next submission is scheduled.
  std::vector<std::string> violations_;
  JobSimulationCounts counts_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_TESTING_JOB_SIMULATION_H_
