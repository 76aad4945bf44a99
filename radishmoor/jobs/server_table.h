// What a pool's owner knows of each backend server: its entry in the platform's
// list, its free resources, its failures and slowness, and what is in doubt.

#ifndef RADISHMOOR_JOBS_SERVER_TABLE_H_
#define RADISHMOOR_JOBS_SERVER_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "radishmoor/base/time.h"
#include "radishmoor/jobs/job.h"
#include "radishmoor/jobs/messages.h"
#include "radishmoor/jobs/server_doubt.h"

namespace radishmoor {

struct ServerState {
  ServerListing listing;  // Latest entry in the platform's list.
  bool listed = false;
  // When the server was first missing from the list; kTimeMax while it is
  // listed.
  Time unlisted_since;
  // Time of the last answer under this owner's token. Without a value, the
  // server may still obey an earlier owner.
  std::optional<Time> last_answer_at;
  ServerDoubt doubt;

  // All runs that may exist on the server and are not known to have ended, and
  // the sum of the resources that they request.
  Resources used;
  std::vector<RunRef> runs;
  // Numbers of these runs whose step has a limit on its tail latency, is
  // best-effort, or is long-running.
  uint32_t latency_sensitive_runs = 0;
  uint32_t best_effort_runs = 0;
  uint32_t long_running_runs = 0;
  Resources used_by_long_running;  // Part of `used`.
  // Those of these runs whose ends the next step of their job, or its
  // completion, waits for.
  std::vector<RunRef> awaited_runs;

  // The server numbers the ends of its runs (EndedRun::sequence). Highest
  // numbers up to which the ends were applied to the job table, were stored,
  // and were acknowledged to the server in a poll that it has answered:
  uint64_t last_applied_end = 0;
  uint64_t last_stored_end = 0;
  uint64_t last_acknowledged_end = 0;
  // Ends that were applied and are not stored, oldest first.
  struct UnstoredEnd {
    static constexpr uint64_t kNotFinal = UINT64_MAX;

    uint64_t sequence = 0;
    TaskId task;
    // The end is stored when Job::stored_changes has reached this count;
    // kNotFinal for a provisional success.
    uint64_t changes = 0;
  };
  std::deque<UnstoredEnd> unstored_ends;

  uint64_t poll_tag = 0;  // Tag of the poll in flight; 0: none.
  Time poll_sent_at;
  // Tag of the last quick poll in flight; 0: none.
  uint64_t quick_poll_tag = 0;
  Time quick_poll_sent_at;
  Time next_poll_at;
  // Failed polls in a row; at least 1 after a start that could not be sent.
  uint32_t failed_polls = 0;
  // A run on the server has to be stopped, or it is not known whether it
  // exists.
  bool needs_run_check = false;

  // Moving average of the ratio of observed to expected run times on this
  // server; 1 is the speed of the pool as a whole.
  double slowness = 1.0;
  // Failures of tasks that had not failed before, less the successful runs. A
  // server with a high score is quarantined.
  double failure_score = 0;
  // Until this time, runs are started on the server only if all servers of the
  // pool are in quarantine.
  Time quarantined_until;
  // No run is started on the server before this time, since it refused one.
  Time starts_refused_until;
  Time last_success_at;  // When the last successful end was applied.

  Time pace_changed_at;  // When the pace of a run was last changed.

  // True while the server is being emptied for maintenance or a move.
  bool vacating = false;
  // Time of the latest request to this owner; absent if there was none.
  std::optional<Time> vacate_requested_at;
  Time vacate_started_at;  // Time of the first request.
  // The server is used again after this time unless a request is repeated.
  Time vacate_until;

  // Returns true if the server is listed for the pool and does not drain.
  bool Serves(const PoolId& pool) const {
    return listed && listing.pool == pool && !listing.draining;
  }
  // Returns true if the listing is from an earlier incarnation than the one
  // that has answered. Its capacity, labels and address may differ.
  bool ListingIsOutdated() const {
    return doubt.incarnation_started_at &&
           listing.incarnation_started_at != 0 &&
           listing.incarnation_started_at < *doubt.incarnation_started_at;
  }
  // Returns the capacity that no run uses. Parts of it are negative if more is
  // in use than there is.
  Resources FreeResources() const {
    Resources room = listing.capacity;
    room -= used;
    room -= doubt.used_by_unknown_runs;
    return room;
  }
};

class ServerTable {
 public:
  ServerState* Find(const ServerId& id);
  const ServerState* Find(const ServerId& id) const;
  // Returns the state of the server, after adding it if it is not in the table.
  ServerState& FindOrAdd(const ServerId& id);
  void Erase(const ServerId& id) { servers_.erase(id); }
  // Sets ServerState::other_leases_until of the servers that are added from now
  // on.
  void set_earlier_leases_until(Time until) { earlier_leases_until_ = until; }
  std::map<ServerId, ServerState>& all() { return servers_; }
  const std::map<ServerId, ServerState>& all() const { return servers_; }

  // Adds a run of the step to the server or removes it, and updates the used
  // resources and the numbers of runs.
  void AddRun(const ServerId& server, const RunRef& run, const StepSpec& step);
  void RemoveRun(const ServerId& server,
                 const RunRef& run,
                 const StepSpec& step);

 private:
  std::map<ServerId, ServerState> servers_;
  Time earlier_leases_until_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_SERVER_TABLE_H_
