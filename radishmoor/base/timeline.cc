#include "radishmoor/base/timeline.h"

#include <algorithm>
#include <utility>

namespace radishmoor {

std::string_view EventName(EventKind kind) {
  switch (kind) {
    case EventKind::kProcessStarted:
      return "process-started";
    case EventKind::kProcessStopping:
      return "process-stopping";
    case EventKind::kConfigInForce:
      return "config-in-force";
    case EventKind::kRequestAccepted:
      return "request-accepted";
    case EventKind::kRequestSent:
      return "request-sent";
    case EventKind::kRequestCompleted:
      return "request-completed";
    case EventKind::kRequestRefused:
      return "request-refused";
    case EventKind::kRequestUnknown:
      return "request-unknown";
    case EventKind::kRequestCancelled:
      return "request-cancelled";
    case EventKind::kBackendEjected:
      return "backend-ejected";
    case EventKind::kBackendRestored:
      return "backend-restored";
    case EventKind::kBackendLeaving:
      return "backend-leaving";
    case EventKind::kMemberJoined:
      return "member-joined";
    case EventKind::kMemberLost:
      return "member-lost";
    case EventKind::kLeaseAcquired:
      return "lease-acquired";
    case EventKind::kLeaseLost:
      return "lease-lost";
    case EventKind::kHostDraining:
      return "host-draining";
    case EventKind::kHostDrained:
      return "host-drained";
    case EventKind::kHostMoved:
      return "host-moved";
    case EventKind::kHostRebooting:
      return "host-rebooting";
    case EventKind::kHostActive:
      return "host-active";
    case EventKind::kHostRetired:
      return "host-retired";
    case EventKind::kWaveStarted:
      return "wave-started";
    case EventKind::kWavePaused:
      return "wave-paused";
    case EventKind::kWaveFinished:
      return "wave-finished";
    case EventKind::kStoreDown:
      return "store-down";
    case EventKind::kStoreUp:
      return "store-up";
  }
  return "unknown";
}

TimelineRing::TimelineRing(size_t capacity)
    : capacity_(std::max<size_t>(capacity, 1)), events_(capacity_) {}

void TimelineRing::Add(TimelineEvent event) {
  event.sequence = next_;
  TimelineEvent& slot = events_[next_ % capacity_];
  if (slot.sequence > flushed_)
    ++dropped_;
  slot = std::move(event);
  ++next_;
}

std::vector<TimelineEvent> TimelineRing::EventsAfter(uint64_t sequence) const {
  uint64_t oldest = next_ > capacity_ ? next_ - capacity_ : 1;
  std::vector<TimelineEvent> result;
  for (uint64_t s = std::max(oldest, sequence + 1); s < next_; ++s)
    result.push_back(events_[s % capacity_]);
  return result;
}

void TimelineRing::MarkFlushed(uint64_t sequence) {
  flushed_ = std::max(flushed_, sequence);
}

}  // namespace radishmoor
