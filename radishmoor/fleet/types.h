// Inputs, actions and counters of the fleet controller.
//
// The control process fills the inputs from the configuration view, from the
// member rows and leases of the table service, from the platform's host list
// and from the health of hosts that it observes. It carries out the actions and
// returns their results.

#ifndef RADISHMOOR_FLEET_TYPES_H_
#define RADISHMOOR_FLEET_TYPES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "radishmoor/base/ids.h"
#include "radishmoor/base/time.h"
#include "radishmoor/base/timeline.h"
#include "radishmoor/config/fleet_state.h"
#include "radishmoor/store/table.h"

namespace radishmoor {

// Content of one `member/<id>` row: a process that has registered itself.
struct MemberView {
  MemberId id;
  Incarnation incarnation;
  MemberRole role = MemberRole::kEntry;
  ZoneId zone;
  // Name and instance, in the platform's host list, of the host that the
  // process runs on. With an empty name the list cannot prove that the process
  // ended.
  std::string host;
  uint64_t host_instance = 0;
  ConfigVersion version_in_force = 0;
  // Draining hosts on which the process still has requests in flight.
  std::vector<HostId> busy;
  // When the observing process last saw the row change, by its own clock.
  Time last_change{};
};

// All member rows. Every row must have been read at or after `read_started`.
// The drain gate does not use a list whose read began before it knew of the
// drain.
struct MemberList {
  Time read_started{};
  std::vector<MemberView> members;
};

// kHealthy is the only value that counts as available.
enum class HostHealth : uint8_t { kUnknown, kHealthy, kFailed, kUnreachable };

struct HostObservation {
  HostId host;
  HostHealth health = HostHealth::kUnknown;
  // Number of running requests that the backend server itself reports, if it
  // does. A host with running requests is never rebooted.
  std::optional<uint32_t> running;
  Time observed_at{};
};

// A pool lease that this process holds. `fences` are the rows (the lease and
// the process's own member row) that each write for the pool must expect at the
// given versions. `valid_until` is by this process's own clock.
struct PoolLease {
  PoolId pool;
  Time valid_until{};
  std::vector<RowExpectation> fences;
};

// Load of a pool.
struct PoolLoad {
  PoolId pool;
  double demand = 0;    // Number of hosts that the offered load keeps busy.
  uint64_t queued = 0;  // Requests waiting in the queues of all entry hosts.
};

// The actions for the platform (CheckpointTasks, RebootHost, AdmitHost) are
// idempotent: a repeat with the same key has no further effect, and the
// platform ignores an action whose key is older than the last one for the host.

// Checkpoints and stops the platform's own tasks on the host. The key is the
// host's drain version. Answered by kTasksCheckpointed, at once if there are no
// tasks.
struct CheckpointTasks {
  HostId host;
  ConfigVersion key = 0;
};

// Reboots the host for a maintenance round. The key is the configuration
// version of the change to kRebooting. Answered by kRebootStarted, then
// kRebootFinished or kRebootFailed.
struct RebootHost {
  HostId host;
  ConfigVersion key = 0;
  std::string round;
};

// Lets the host's backend server serve `pool`. The key is the host's epoch.
// Answered by kAdmitted.
struct AdmitHost {
  HostId host;
  PoolId pool;
  HostEpoch key = 0;
};

enum class PlatformResultKind : uint8_t {
  kTasksCheckpointed,
  kRebootStarted,
  kRebootFinished,
  kRebootFailed,
  kAdmitted,
};

struct PlatformResult {
  HostId host;
  PlatformResultKind kind = PlatformResultKind::kRebootStarted;
  uint64_t key = 0;           // Key of the action.
  uint64_t requests_cut = 0;  // Requests that the reboot interrupted.
};

// Summary of a maintenance round, sent once no host is due any more.
struct WaveReport {
  std::string round;
  // Time from when this process first saw the round to its end.
  Duration roll_out{};
  // True when this process took over a round in progress, so that `roll_out`
  // and the sums cover only its part.
  bool partial = false;
  uint32_t hosts_maintained = 0;
  uint32_t hosts_moved = 0;
  uint64_t requests_cut = 0;
  // Largest number of unavailable hosts of each pool during the round.
  std::map<PoolId, uint32_t> budget_used;
};

// A TimelineEvent has an empty stamp; the caller sets it.
using FleetAction = std::variant<StoreCall,
                                 CheckpointTasks,
                                 RebootHost,
                                 AdmitHost,
                                 TimelineEvent,
                                 WaveReport>;

// Monotonic counters for the metrics endpoint.
struct FleetCounters {
  uint64_t commits = 0;
  uint64_t conflicts = 0;
  // Commits that the store answered as unavailable, and reads that returned no
  // rows.
  uint64_t unavailable = 0;
  uint64_t unknown = 0;  // Calls whose answer was lost.
  // Lost answers of changes that turned out to be committed.
  uint64_t resolved_committed = 0;
  uint64_t drains_started = 0;
  // Drains that ended with the host active again.
  uint64_t drains_cancelled = 0;
  uint64_t moves = 0;
  uint64_t reboots = 0;
  uint64_t retired = 0;
  uint64_t requests_cut = 0;
  uint64_t wave_pauses = 0;
  uint64_t budget_refusals = 0;  // Drains that a budget refused.
};

}  // namespace radishmoor

#endif  // RADISHMOOR_FLEET_TYPES_H_
