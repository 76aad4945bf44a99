#include "radishmoor/jobs/server_doubt.h"

#include <algorithm>

namespace radishmoor {
namespace {

// A backend server's clock may be slow by this fraction.
constexpr double kMaxClockDrift = 0.02;
// Servers' clocks count whole milliseconds.
constexpr ServerMillis kClockGranularityMs = 1;
// Two readings of one clock, and two times in whole milliseconds, differ from
// the exact difference by less than this.
constexpr ServerMillis kReadingToleranceMs = 3;
// Probes of a server that is down are at least and at most this far apart, and
// in between by this part of the time since the first one.
constexpr Duration kMinProbeDelay = Milliseconds(5);
constexpr Duration kMaxProbeDelay = Milliseconds(100);
constexpr int64_t kProbeDelayDivisor = 25;

}  // namespace

void ServerClock::Observe(Time sent, Time received, ServerMillis clock) {
  // Answers can arrive out of order. The answer to the order that was sent last
  // gives the tightest bound.
  if (known_ && sent < sent_)
    return;
  known_ = true;
  sent_ = sent;
  received_ = received;
  clock_ = clock;
}

ServerMillis ServerClock::EstimateAt(Time now) const {
  return clock_ + WholeMilliseconds(now - received_);
}

ServerMillis ServerClock::LowerBoundAt(Time now) const {
  double elapsed = static_cast<double>((now - received_).count()) / 1000;
  return clock_ + static_cast<ServerMillis>(elapsed * (1 - kMaxClockDrift));
}

bool ServerClock::IsOfLaterIncarnation(Time sent, ServerMillis reading) const {
  // Before `received_`, the clock was behind `clock_` by no more than the time
  // that has passed since.
  ServerMillis lowest = sent < received_
                            ? clock_ - WholeMilliseconds(received_ - sent)
                            : LowerBoundAt(sent);
  return reading + kReadingToleranceMs < lowest;
}

bool ServerClock::IsOfEarlierIncarnation(Time received,
                                         ServerMillis reading) const {
  double elapsed = static_cast<double>((received - sent_).count()) / 1000;
  auto highest =
      clock_ + static_cast<ServerMillis>(elapsed * (1 + kMaxClockDrift));
  return reading > highest + kReadingToleranceMs;
}

Duration ServerClock::LongestTimeFor(Duration length) {
  return Duration(static_cast<int64_t>(static_cast<double>(length.count()) /
                                       (1 - kMaxClockDrift))) +
         Milliseconds(kClockGranularityMs);
}

Time LateGrantsUntil(Time sent, Duration max_lease) {
  return sent + kLateOrderLimit + ServerClock::LongestTimeFor(max_lease);
}

Time ArrivedGrantsUntil(Time sent, Duration max_lease) {
  return sent + kOrderArrivalLimit + ServerClock::LongestTimeFor(max_lease);
}

bool ServerDoubt::LeasesExpired(Time now) const {
  if (now < other_leases_until)
    return false;
  if (!clock.known())
    return lease_until == 0;
  return clock.LowerBoundAt(now) > lease_until + kClockGranularityMs;
}

Time ServerDoubt::LastUnansweredGrant(Time sent) const {
  return std::max(sent, unanswered_grant_sent_at.value_or(sent));
}

void ServerDoubt::OnStartUnanswered(Time sent) {
  unanswered_start_sent_at =
      std::max(sent, unanswered_start_sent_at.value_or(sent));
  RaiseToken();
}

void ServerDoubt::OnGrantUnanswered(Time sent, Duration max_lease) {
  unanswered_grant_sent_at =
      std::max(sent, unanswered_grant_sent_at.value_or(sent));
  // The order was meant for an incarnation that is over.
  if (!answered_since_restart && sent < restart_noticed_at)
    other_leases_until =
        std::max(other_leases_until, LateGrantsUntil(sent, max_lease));
}

void ServerDoubt::OnConnectionLost(Time now) {
  if (!LateStartMayCome(now) || probing_since)
    return;
  RaiseToken();
  StartProbing(now);
}

void ServerDoubt::OnRestart(Time now,
                            Time earlier_orders_until,
                            Duration max_lease) {
  clock.Reset();
  lease_until = 0;
  used_by_unknown_runs = {};
  last_listed_at.reset();
  restart_noticed_at = now;
  ++restarts;
  RaiseToken();
  answered_since_restart = false;
  // Orders that were not answered may still reach this incarnation: those of
  // this owner, and those of earlier ones, which have sent none after this
  // owner's lease began and they had stopped to extend leases.
  Time granted_until = now + ServerClock::LongestTimeFor(max_lease);
  if (unanswered_grant_sent_at)
    granted_until = std::max(
        granted_until, LateGrantsUntil(*unanswered_grant_sent_at, max_lease));
  granted_until =
      std::max(granted_until, LateGrantsUntil(earlier_orders_until, max_lease));
  other_leases_until = std::max(other_leases_until, granted_until);
}

void ServerDoubt::OnFirstAnswer(Time now, Duration max_lease) {
  answered_since_restart = true;
  Time granted_until = now + ServerClock::LongestTimeFor(max_lease);
  other_leases_until = restarts > 0
                           ? granted_until
                           : std::min(other_leases_until, granted_until);
}

void ServerDoubt::OnLeaseGranted(ServerMillis granted_until,
                                 ServerMillis server_clock,
                                 Duration max_lease) {
  // Servers shorten longer leases to the longest one that they allow.
  ServerMillis longest = server_clock + WholeMilliseconds(max_lease);
  lease_until = std::max(lease_until, std::min(granted_until, longest));
}

void ServerDoubt::StartProbing(Time now) {
  if (!probing_since)
    probing_since = now;
}

Duration ServerDoubt::ProbeDelay(Time now) const {
  Duration since = now - probing_since.value_or(now);
  return std::clamp(since / kProbeDelayDivisor, kMinProbeDelay, kMaxProbeDelay);
}

}  // namespace radishmoor
