// Records the timeline of one process. Keeps two rings in memory: request
// events, which belong to a single request, and state events, which are all
// others. Writes the state events to the object store in batches, so that they
// outlive the process.
//
//   TimelineRecorder recorder(loop, store, member, incarnation, ring_size,
//                             flush_period);
//   recorder.Add(event);
//   std::string page = recorder.EventsAsJson();    // For the admin server.
//
// If the process is killed, the state events since the last flush and all
// request events are lost. Request events are not flushed, because thousands of
// them each second would exceed the bandwidth that a process may use for
// control traffic.

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
  // `loop` and `store` must outlive this object. Each ring holds `ring_size`
  // events.
  TimelineRecorder(EventLoop& loop,
                   StoreClient& store,
                   const MemberId& member,
                   Incarnation incarnation,
                   size_t ring_size,
                   Duration flush_period);
  ~TimelineRecorder();

  void Add(TimelineEvent event);

  // Returns all events in memory as JSON, in the format of ops/timeline_json.h.
  std::string EventsAsJson() const;

  // Starts to write the state events that were not written yet, unless a write
  // is in progress. Called in each flush period, and before a planned stop.
  void Flush();

  // Number of state events that were overwritten before they were flushed.
  uint64_t dropped() const { return state_events_.dropped(); }

 private:
  void ScheduleFlush();

  EventLoop& loop_;
  StoreClient& store_;
  MemberId member_;
  Incarnation incarnation_;
  Duration flush_period_;
  uint64_t timer_ = 0;
  bool flushing_ = false;
  uint64_t last_flushed_sequence_ = 0;
  TimelineRing state_events_;
  TimelineRing request_events_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_SERVICE_TIMELINE_RECORDER_H_
