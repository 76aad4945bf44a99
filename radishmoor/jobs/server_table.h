// What a pool's owner knows of each backend server: its listing, its clock and
// lease, the room on it, and how well it works.
//
// The clock model bounds the server's own clock from answers that carry it, so
// that the owner can tell when every lease that it gave has surely lapsed.

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

namespace radishmoor {

// A server's clock, seen through its answers.
class ServerClock {
 public:
  // An order sent at `sent` was answered at `received` with this clock.
  void Observe(Time sent, Time received, ServerMillis clock);
  void Reset() { known_ = false; }

  bool known() const { return known_; }
  // The server's clock at the last answer, plus the time since: never above the
  // server's clock by more than its drift, however long the answer was held
  // back.
  ServerMillis Nominal(Time now) const;
  // Not above the server's clock, which may be slow by 2%.
  ServerMillis Earliest(Time now) const;

 private:
  bool known_ = false;
  Time sent_;
  Time received_;
  ServerMillis clock_ = 0;
};

struct ServerState {
  ServerListing listing;
  bool listed = false;
  Time unlisted_since;
  // The last answer under this owner's token; without one, the server still
  // obeys an earlier owner.
  std::optional<Time> last_answer_at;
  std::optional<WallMillis> incarnation_started_at;
  ServerClock clock;
  ServerMillis lease_until = 0;  // Latest lease that was given.
  // Leases of earlier owners have lapsed by then.
  Time inherited_leases_until;

  // Of all runs that may be there, ended ones excluded.
  Resources used;
  std::vector<RunRef> runs;

  uint64_t last_applied_end = 0;       // Ends up to here have been applied,
  uint64_t last_stored_end = 0;        // and are stored,
  uint64_t last_acknowledged_end = 0;  // and the server was told.
  // Ends that were applied and are not stored, oldest first.
  struct UnstoredEnd {
    uint64_t sequence = 0;
    JobId job;
    uint64_t changes = 0;  // Of the job, that must be stored.
  };
  std::deque<UnstoredEnd> unstored_ends;

  uint64_t poll_tag = 0;  // Of the poll under way; 0: none.
  Time poll_sent_at;
  uint64_t quick_poll_tag = 0;
  Time next_poll_at;
  uint32_t failed_polls = 0;
  // A run on it has to be stopped, or may not be there.
  bool needs_run_check = false;

  // Ratio of observed and expected run times, against the pool's.
  double slowness = 1.0;
  // Failures of first attempts, less successes; above the limit the server is
  // held back.
  double failure_score = 0;
  Time quarantined_until;
  Time last_success;

  Time pace_changed_at;

  // The server is being emptied for maintenance or a move.
  bool vacating = false;
  Time vacate_requested_at;  // Latest request.
  Time vacate_started_at;

  bool Serves(const PoolId& pool) const {
    return listed && listing.pool == pool && !listing.draining;
  }
  Resources FreeResources() const {
    Resources room = listing.capacity;
    room -= used;
    return room;
  }
  // Every lease that any owner gave has surely lapsed.
  bool LeasesExpired(Time now) const;
};

class ServerTable {
 public:
  ServerState* Find(const ServerId& id);
  ServerState& Ensure(const ServerId& id);
  void Erase(const ServerId& id) { servers_.erase(id); }
  std::map<ServerId, ServerState>& all() { return servers_; }
  const std::map<ServerId, ServerState>& all() const { return servers_; }

  void AddRun(const ServerId& server,
              const RunRef& run,
              const Resources& request);
  void RemoveRun(const ServerId& server,
                 const RunRef& run,
                 const Resources& request);

 private:
  std::map<ServerId, ServerState> servers_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_SERVER_TABLE_H_
