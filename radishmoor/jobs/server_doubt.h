// What is in doubt at one backend server: which incarnation of it answers,
// which orders it may still carry out, until when the leases last that orders
// granted, and how much of its capacity is in use by runs that the pool's owner
// does not know.
//
// An order that was sent and not answered may be carried out later, also by
// the next incarnation under the same id. Servers refuse orders whose token is
// lower than the highest one that they have seen, but an incarnation that has
// just begun has seen none. Hence the owner
// - raises the token of its orders when a start is not answered, when the
//   connection of an order is lost, and when it notices a restart: the next
//   order that the server carries out shuts the earlier ones out of its present
//   incarnation,
// - sends that next order without delay where a late start may come
//   (probing_since),
// - and remembers each start without an answer until it can no longer be
//   carried out (kLateOrderLimit): no order shuts it out of the incarnations
//   that are still to come.
//
// The owner asks when it plans a run and again when it sends the start, since a
// commit and a restart may lie between. A relay sends orders with the token
// that the owner gave them, so that a delayed one is shut out as well. The next
// owner's tokens are higher than all of its predecessors'; it assumes late
// orders of theirs until kLateOrderLimit after the last one can have been sent.

#ifndef RADISHMOOR_JOBS_SERVER_DOUBT_H_
#define RADISHMOOR_JOBS_SERVER_DOUBT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "radishmoor/base/ids.h"
#include "radishmoor/base/time.h"
#include "radishmoor/jobs/job.h"
#include "radishmoor/jobs/messages.h"

namespace radishmoor {

// An order that is not answered is not carried out later than this after it was
// sent.
inline constexpr Duration kLateOrderLimit = Seconds(15);
// An order does not arrive later than this after it was sent: 500 ms until
// another process forwards it, 1,100 ms until the connection of a poll is
// reset, and 250 ms more after a pause of that process.
inline constexpr Duration kOrderArrivalLimit = Milliseconds(1850);

// Bounds on a server's clock, derived from its answers.
class ServerClock {
 public:
  // Records that an order sent at `sent` was answered at `received` and that
  // the server's clock showed `clock` when the answer was written.
  void Observe(Time sent, Time received, ServerMillis clock);
  void Reset() { known_ = false; }

  // Return whether a reading in the answer to an order that was sent at `sent`,
  // or arrived at `received`, is too low or too high for the incarnation that
  // was observed: it comes from a later or an earlier one. The clock must be
  // known.
  bool IsOfLaterIncarnation(Time sent, ServerMillis reading) const;
  bool IsOfEarlierIncarnation(Time received, ServerMillis reading) const;

  // Returns the time within which every server's clock advances by `length`.
  static Duration LongestTimeFor(Duration length);

  bool known() const { return known_; }
  // Returns the clock reading of the last answer plus the time since its
  // arrival. It exceeds the server's clock by no more than the clock's drift in
  // that time, however long the answer was delayed.
  ServerMillis EstimateAt(Time now) const;
  // Returns a lower bound on the server's clock, which may be slow by 2%.
  ServerMillis LowerBoundAt(Time now) const;

 private:
  // The answer to the order that was sent last, of those that were answered.
  bool known_ = false;
  Time sent_;
  Time received_;
  ServerMillis clock_ = 0;
};

// Returns the time by which a server has carried out, or lost, all orders that
// were sent until `sent` and not answered, and by which the leases that these
// orders granted have expired if the server has restarted since: the new
// incarnation cuts them to the longest lease, counted from when it carries out
// the order.
Time LateGrantsUntil(Time sent, Duration max_lease);
// The same for orders that servers carry out on arrival.
Time ArrivedGrantsUntil(Time sent, Duration max_lease);

struct ServerDoubt {
  // The incarnation.
  std::optional<WallMillis> incarnation_started_at;
  // When a restart of the server was last noticed, and how many this owner has
  // noticed.
  Time restart_noticed_at;
  uint32_t restarts = 0;
  // Whether the server has answered an order since the last restart.
  bool answered_since_restart = true;
  // Time of the last answer that listed the server's runs, to a poll that was
  // sent after the last restart was noticed. Nothing is known of the present
  // incarnation's runs before the first one.
  std::optional<Time> last_listed_at;

  // The orders.
  // Part of the tokens of orders; see JobPoolState::TokenFor().
  uint32_t token_epoch = 0;
  // When the last start and the last order that grants a lease were sent whose
  // answers were lost.
  std::optional<Time> unanswered_start_sent_at;
  std::optional<Time> unanswered_grant_sent_at;
  // Since when polls follow each other without delay, until one with the
  // present token is answered. Absent while that is not needed.
  std::optional<Time> probing_since;

  // The leases.
  ServerClock clock;
  // End of the longest lease that this owner granted, on the server's clock; 0
  // if it granted none.
  ServerMillis lease_until = 0;
  // All leases that `lease_until` does not cover have expired by this time:
  // those that earlier owners granted, and those that this owner granted to an
  // incarnation whose clock it did not know. The latter may be as long as
  // servers allow.
  Time other_leases_until;

  // The capacity.
  // Resources of the runs that the last poll listed and that this owner does
  // not know. They are being stopped, and use their resources until then.
  Resources used_by_unknown_runs;
  std::vector<TaskId> tasks_of_unknown_runs;  // Those that this owner knows.

  // Returns whether a start that was not answered may still be carried out, by
  // the present incarnation or a later one.
  bool LateStartMayCome(Time now) const {
    return unanswered_start_sent_at &&
           now < *unanswered_start_sent_at + kLateOrderLimit;
  }
  // Returns true if every lease that any owner granted has certainly expired.
  bool LeasesExpired(Time now) const;
  // Returns when the last order that grants a lease and was not answered was
  // sent, or `sent` if that is later.
  Time LastUnansweredGrant(Time sent) const;

  // Handles the loss of the answer to an order that was sent at `sent`.
  void OnStartUnanswered(Time sent);
  void OnGrantUnanswered(Time sent, Duration max_lease);
  // Handles the loss of a connection with an order on it, or a failed attempt
  // to connect: the server may have restarted.
  void OnConnectionLost(Time now);
  // Forgets the clock of an incarnation that seems to be over. Leases that were
  // granted until now may last for their maximum length; those of earlier
  // owners were granted by orders that were sent until `earlier_orders_until`.
  void OnRestart(Time now, Time earlier_orders_until, Duration max_lease);
  // Handles the first answer of the server to an order with the present token,
  // which shuts out all orders that may have granted longer leases.
  void OnFirstAnswer(Time now, Duration max_lease);
  // Records the lease that an answered order granted. A server that restarted
  // may have carried out an order that was meant for its earlier incarnation,
  // whose clock was ahead.
  void OnLeaseGranted(ServerMillis granted_until,
                      ServerMillis server_clock,
                      Duration max_lease);
  // Makes all orders from now on shut out the earlier ones.
  void RaiseToken() { ++token_epoch; }
  void StartProbing(Time now);
  // Returns the delay between two polls while probing; it grows with the time
  // since the first one.
  Duration ProbeDelay(Time now) const;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_SERVER_DOUBT_H_
