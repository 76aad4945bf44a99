// Sends orders to the backend servers of one pool and updates the state of the
// runs from their answers. Orders start runs, stop them, set their pace, or
// poll a server; a poll renews the server's lease and lists running and ended
// runs.
//
// A run is removed from the job table only when it certainly is not running and
// never will be. That is the case when
// - a poll listed its end,
// - the server refused the start, or the start was never sent,
// - the run was running or inherited, or the server answered a stop of it, and
//   a later poll lists neither the run nor its end,
// - its start was not answered, and a poll with a later token, which shuts the
//   start out, lists neither,
// - the incarnation of the server that a poll listed it on has ended, or
// - all leases on the server have expired.
// Until then the run keeps its resources on the server and, unless the step
// allows speculative copies, its task is not started elsewhere.

#ifndef RADISHMOOR_JOBS_RUN_CONTROL_H_
#define RADISHMOOR_JOBS_RUN_CONTROL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "radishmoor/jobs/pool_state.h"
#include "radishmoor/jobs/start_limiter.h"

namespace radishmoor {

class RunControl {
 public:
  explicit RunControl(JobPoolState& state) : state_(state) {}

  // Sends the start of a planned run after the commit with its plan was stored.
  // Removes the run instead if it is no longer needed or its server is not
  // available.
  void SendStart(Time now, const RunRef& ref, Outbox& outbox);

  // Stops a run of the task. The stop is repeated until the server has carried
  // it out. The stop of a long-running task is sent once it is stored and while
  // its step can spare the task, unless its job has ended. `reason` is written
  // to the log.
  void RequestStop(Time now,
                   const TaskId& task,
                   RunNumber run,
                   std::string_view reason,
                   Outbox& outbox);
  // Stops all runs of a job that has ended.
  void StopJob(Time now, Job& job, std::string_view reason, Outbox& outbox);

  // Sets the pace of a best-effort run, in percent of its full speed. Does
  // nothing if it is not running.
  void SetPace(Time now, const RunRef& ref, uint32_t percent, Outbox& outbox);

  // Takes up what the owner before has stored of a job.
  void OnJobLoaded(Time now, const Job& job);

  // Returns true if the reply belongs to an order of this pool.
  bool OnReply(Time now, const ServerReply& reply, Outbox& outbox);

  // Records the start time of a server's incarnation, as the server list or a
  // reply states it. A start time later than the known one means that the
  // server has restarted: the runs that polls listed on the earlier incarnation
  // end. The next poll tells which of the others the new incarnation has.
  void OnIncarnationListed(Time now,
                           const ServerId& server,
                           WallMillis incarnation_started_at,
                           Outbox& out);

  // Ends the runs of a server after the platform has stated that its
  // incarnation is over.
  void OnServerDead(Time now, ServerState& server, Outbox& outbox);

  // Sends the polls and repeated stops that are due, and removes runs whose
  // leases have expired. If `renew_leases` is false, regular polls do not renew
  // leases. Returns at once before next_wake(), otherwise the cost is linear in
  // the servers of the pool and their runs.
  void Tick(Time now, bool renew_leases, Outbox& outbox);
  Time next_wake() const;
  // Called after each stored commit: the next polls acknowledge the ends of
  // runs that it contains.
  void OnStored(Time now);
  // Makes Tick() check the servers at `at` or earlier.
  void Wake(Time at) { next_wake_ = std::min(next_wake_, at); }

  size_t orders_in_flight() const { return orders_.size(); }
  // Limits the starts that are sent and not answered.
  StartLimiter& start_limiter() { return start_limiter_; }
  const StartLimiter& start_limiter() const { return start_limiter_; }

 private:
  enum class OrderKind : uint8_t { kStart, kStop, kPoll, kQuickPoll, kPace };
  struct PendingOrder {
    OrderKind kind = OrderKind::kPoll;
    ServerId server;
    std::string address;  // Where the order was sent.
    RunRef run;
    Time sent;
    // End of the leases that the order grants, on the clock of the incarnation
    // that it was meant for; 0 if it grants none.
    ServerMillis lease_until = 0;
    FencingToken token = 0;
    uint32_t restarts = 0;      // ServerDoubt::restarts when it was sent.
    uint64_t acknowledged = 0;  // See PollServer.
  };

  void OnStartReply(Time now,
                    const PendingOrder& order,
                    const ServerReply& reply,
                    Outbox& outbox);
  void OnStopReply(Time now,
                   const PendingOrder& order,
                   const ServerReply& reply,
                   Outbox& outbox);
  void OnPollReply(Time now,
                   const PendingOrder& order,
                   const ServerReply& reply,
                   Outbox& outbox);
  void ApplyEnds(Time now,
                 ServerState& server,
                 const ServerReply& reply,
                 Outbox& outbox);
  void ApplyRunning(Time now,
                    ServerState& server,
                    const ServerReply& reply,
                    Outbox& outbox);
  void ResolveMissing(Time now,
                      ServerState& server,
                      Time poll_sent_at,
                      bool present_token,
                      const ServerReply& reply,
                      Outbox& outbox);
  void OnEnd(Time now, const EndedRun& ended, ServerState& server, Outbox& out);
  // Handles the listed end of a run that is no longer in the table, for example
  // because its lease expired while the server was unreachable. If the run had
  // succeeded, its task counts as done.
  void OnLateEnd(Time now,
                 Job& job,
                 Task& task,
                 const EndedRun& ended,
                 const ServerState& server,
                 Outbox& outbox);
  // Returns when a success becomes final; nothing if it is final now. While
  // restarts are frequent, it is not final before no unanswered start of the
  // task can be carried out any more: an incarnation that has not seen an order
  // of this owner yet would run the task again.
  std::optional<Time> FinalAt(Time now,
                              Job& job,
                              Task& task,
                              const EndedRun& ended,
                              const ServerState& server);
  // Keeps a success that is not final. Its task is not done until then: its job
  // is in progress for callers, no other step starts on it, the server keeps
  // the end, and no other run of the task is started.
  void KeepProvisional(Time now,
                       Job& job,
                       Task& task,
                       const EndedRun& ended,
                       const ServerState& server,
                       Time final_at,
                       Outbox& outbox);
  // Counts the provisional successes that have become final. One on a server
  // that leaves is final at once: its end would be lost with the server.
  void FinishProvisional(Time now, Outbox& outbox);
  bool IsLeaving(const ServerId& id) const;
  // Lets servers forget the ends that were kept for a provisional success of
  // the task, once the job's change number `changes` is stored.
  void ReleaseKeptEnds(const TaskId& task, uint64_t changes);
  void OnTaskDone(Time now, Job& job, Task& task, const RunRef& ref, Outbox& o);
  void OnTaskFailed(Time now,
                    Job& job,
                    Task& task,
                    const RunRef& ref,
                    ServerState& server,
                    Outbox& outbox);
  // Removes a run that is over or never starts, and frees its resources. The
  // job stays open until CloseResolved().
  void RemoveRun(Time now,
                 const RunRef& ref,
                 std::string_view reason,
                 Outbox& outbox);
  // Closes the jobs that have ended and have no runs left.
  void CloseResolved();
  // Ends the runs of an incarnation of the server that is over: all that were
  // inherited or answered, or only those that a poll listed on an incarnation
  // before `present`. Starts that were not answered may reach a later
  // incarnation, so these runs are kept until they are stopped there or are no
  // longer valid.
  void EndIncarnation(Time now,
                      ServerState& server,
                      std::optional<WallMillis> present,
                      std::string_view reason,
                      Outbox& outbox);
  void RemoveAllRuns(Time now,
                     ServerState& server,
                     std::string_view reason,
                     Outbox& outbox);
  // Handles an answer from an earlier incarnation of the server. The answer
  // says nothing about the present incarnation; it only settles the order.
  void OnStaleReply(Time now,
                    const PendingOrder& order,
                    ServerState& server,
                    uint64_t tag,
                    Outbox& outbox);

  // Sends an order and remembers it until its reply.
  uint64_t SendOrder(Time now,
                     ServerState& server,
                     OrderKind kind,
                     const RunRef& run,
                     ServerMillis lease_until,
                     ServerOrder order,
                     Outbox& outbox);
  // Sends the start of a run; OrderStart() makes no checks.
  void OrderStart(Time now, const RunRef& ref, Outbox& outbox);
  // Returns whether a start that the server's present incarnation has shut out
  // may be sent to it again. The run keeps its number, so that all copies of
  // the start are one run on that server.
  bool MayRepeatStart(Time now,
                      const RunRef& ref,
                      const Run& run,
                      const ServerState& server) const;
  // Returns whether the server, as last listed, may run the planned run. It may
  // have restarted as another kind of host since the run was planned.
  static bool StillFits(const StepSpec& step, const ServerState& server);
  // Handles the loss of an order's answer: the order may be carried out later.
  void OnOrderUnanswered(const PendingOrder& order, ServerState& server);
  // Records that the server may carry out a start of the task late.
  void AddUnansweredStart(const TaskId& id, const ServerId& server, Time sent);
  void SendStop(Time now, const RunRef& ref, Run& run, Outbox& outbox);
  // Returns whether the run is one of a long-running step. Its job must be in
  // the table.
  bool IsLongRunning(const RunRef& ref) const;
  // Returns whether the stop of the run may be sent now. Time may have passed
  // since it was decided: the stop had to be stored, an earlier one was not
  // answered, or an earlier owner has decided.
  bool MaySendStop(Time now,
                   const RunRef& ref,
                   const Run& run,
                   const ServerState& server);
  void SendPoll(Time now,
                ServerState& server,
                bool quick,
                bool renew_leases,
                Outbox& outbox);
  // Polls the server if a poll is due, and checks its runs where needed.
  void CheckServer(Time now,
                   ServerState& server,
                   bool renew_leases,
                   Outbox& outbox);
  // Polls a server that may carry out a start late: without delay if its
  // connection was lost or it has restarted, so that this owner's order comes
  // first, and else often enough to notice the next restart while it is down.
  void CheckForRestart(Time now, ServerState& server, Outbox& outbox);
  // Removes the server's expired runs and repeats stops and quick polls for
  // those whose state is not settled.
  void CheckRuns(Time now, ServerState& server, Outbox& outbox);
  // Makes the next tick call CheckRuns() for the server.
  void RequestRunCheck(Time now, const ServerId& id);
  // Polls the servers of the last tasks of a step without delay: the next step
  // or the completion of the job waits for their ends.
  void ExpediteLastTasks(Time now,
                         Job& job,
                         Occurrence& occurrence,
                         uint32_t step);
  // Records the clock reading of an answer and the lease that its order
  // granted.
  void ObserveClock(Time now,
                    const PendingOrder& order,
                    const ServerReply& reply,
                    ServerState& server,
                    Outbox& outbox);
  // Forgets the clock and the ends of an incarnation of the server that seems
  // to be over.
  void ForgetIncarnation(Time now, ServerState& server);
  // Records that a server has reported a run of the job.
  void MarkBegun(Job& job);
  // Removes the ends that stored commits contain from
  // `ServerState::unstored_ends`. Returns whether none is left.
  bool RemoveStoredEnds(ServerState& server) const;
  // Minimum time between two polls of a busy server.
  Duration PollInterval(const ServerState& server) const;
  // Updates the server's failure score and slowness and the queue's run time
  // ratio from a run that succeeded.
  void RecordSuccessfulRun(Time now,
                           Job& job,
                           const Task& task,
                           const Run& run,
                           ServerState& server);

  JobPoolState& state_;
  std::map<uint64_t, PendingOrder> orders_;        // By tag.
  std::set<JobId> to_close_;                       // Input of CloseResolved().
  std::set<ServerId> servers_with_unstored_ends_;  // Input of OnStored().
  std::set<TaskId> provisional_tasks_;             // See KeepProvisional().
  StartLimiter start_limiter_;
  size_t servers_in_doubt_ = 0;  // Counted by the tick in progress.
  size_t busy_servers_ = 0;      // Servers with runs at the last tick.
  Time last_tick_at_;
  Time next_wake_ = kTimeMax;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_RUN_CONTROL_H_
