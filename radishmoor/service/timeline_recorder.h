// Timeline of one process: keeps its events in memory, and writes events that
// are not about single requests to the object store in batches, so that they
// outlast the process.
//
//   TimelineRecorder coordinator(loop, store, member, incarnation, options);
//   recorder.Add(event);
//   std::string page = recorder.Page();    // For the admin server.
//
// Lost when the process is killed: state events since the last flush, and all
// request events. Request events are not flushed, because thousands a second
// would exceed the bytes that a process may spend on control.

#ifndef RADISHMOOR_SERVICE_TIMELINE_RECORDER_H_
#define RADISHMOOR_SERVICE_TIMELINE_RECORDER_H_

#include <cstdint>
#include <string>

#include "radishmoor/base/timeline.h"

namespace radishmoor {

class EventLoop;
class StoreClient;

class TimelineRecorder {
 public:
  // `loop` and `store` must outlive this object.
  TimelineRecorder(EventLoop& loop,
                   StoreClient& store,
                   const MemberId& member,
                   Incarnation incarnation,
                   size_t ring_size,
                   Duration flush_period);
  ~TimelineRecorder();

  void Add(TimelineEvent event);

  // JSON of all events in memory (ops/timeline_json.h).
  std::string Page() const;

  // Writes what was not written yet, for a planned stop.
  void Flush();

  uint64_t dropped() const { return state_.dropped(); }

 private:
  void ScheduleFlush();

  EventLoop& loop_;
  StoreClient& store_;
  MemberId member_;
  Incarnation incarnation_;
  Duration flush_period_;
  uint64_t timer_ = 0;
  bool flushing_ = false;
  uint64_t flushed_ = 0;
  TimelineRing state_;
  TimelineRing requests_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_SERVICE_TIMELINE_RECORDER_H_
