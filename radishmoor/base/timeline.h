// Timeline events of one process. Their hybrid timestamps put the merged events
// of all processes into causal order.
//
//   TimelineRing ring(4096);
//   ring.Add({.stamp = clock.Tick(wall), .kind = EventKind::kHostDraining,
//             .host = host});
//   for (const TimelineEvent& event : ring.EventsAfter(sequence)) ...
//
// The ring holds a fixed number of events and overwrites the oldest. dropped()
// counts those that were overwritten before they were flushed.

#ifndef RADISHMOOR_BASE_TIMELINE_H_
#define RADISHMOOR_BASE_TIMELINE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "radishmoor/base/hybrid_clock.h"
#include "radishmoor/base/ids.h"

namespace radishmoor {

enum class EventKind : uint8_t {
  kProcessStarted,
  kProcessStopping,
  kConfigInForce,
  kRequestAccepted,
  kRequestSent,
  kRequestCompleted,
  kRequestRefused,
  kRequestUnknown,
  kRequestCancelled,
  kBackendEjected,
  kBackendRestored,
  kBackendLeaving,
  kMemberJoined,
  kMemberLost,
  kLeaseAcquired,
  kLeaseLost,
  kHostDraining,
  kHostDrained,
  kHostMoved,
  kHostRebooting,
  kHostActive,
  kHostRetired,
  kWaveStarted,
  kWavePaused,
  kWaveFinished,
  kStoreDown,
  kStoreUp,
};

std::string_view EventName(EventKind kind);

// Fields that do not apply to the kind of event stay empty or 0.
struct TimelineEvent {
  uint64_t sequence = 0;  // Set by the ring.
  HybridTime stamp;
  EventKind kind = EventKind::kProcessStarted;
  RequestId request;
  HostId host;
  PoolId pool;
  ConfigVersion config = 0;
  std::string detail;
};

class TimelineRing {
 public:
  explicit TimelineRing(size_t capacity);

  void Add(TimelineEvent event);

  // Returns the events with a sequence number above `sequence`, oldest first.
  std::vector<TimelineEvent> EventsAfter(uint64_t sequence) const;

  uint64_t last_sequence() const { return next_ - 1; }

  // Marks all events up to `sequence` as flushed: overwriting them no longer
  // counts as dropping them.
  void MarkFlushed(uint64_t sequence);

  // Number of events overwritten before they were marked as flushed.
  uint64_t dropped() const { return dropped_; }

 private:
  size_t capacity_;
  uint64_t next_ = 1;
  uint64_t flushed_ = 0;
  uint64_t dropped_ = 0;
  // The event with sequence number s is at index s % capacity_.
  std::vector<TimelineEvent> events_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_BASE_TIMELINE_H_
