#include "radishmoor/service/timeline_recorder.h"

#include <utility>

#include "radishmoor/net/event_loop.h"
#include "radishmoor/net/store_client.h"
#include "radishmoor/ops/timeline_json.h"

namespace radishmoor {
namespace {

// Added to the sequence numbers of request events in EventsAsJson(), so that
// they differ from those of state events.
constexpr uint64_t kRequestSequenceOffset = uint64_t{1} << 48;

}  // namespace

TimelineRecorder::TimelineRecorder(EventLoop& loop,
                                   StoreClient& store,
                                   const MemberId& member,
                                   Incarnation incarnation,
                                   size_t ring_size,
                                   Duration flush_period)
    : loop_(loop),
      store_(store),
      member_(member),
      incarnation_(incarnation),
      flush_period_(flush_period),
      state_events_(ring_size),
      request_events_(ring_size) {
  ScheduleFlush();
}

TimelineRecorder::~TimelineRecorder() {
  loop_.Cancel(timer_);
}

void TimelineRecorder::Add(TimelineEvent event) {
  bool is_request_event = event.request.value != 0;
  (is_request_event ? request_events_ : state_events_).Add(std::move(event));
}

std::string TimelineRecorder::EventsAsJson() const {
  TimelineBatch batch{member_, incarnation_, state_events_.dropped(),
                      state_events_.EventsAfter(0)};
  for (TimelineEvent& event : request_events_.EventsAfter(0)) {
    event.sequence += kRequestSequenceOffset;
    batch.events.push_back(std::move(event));
  }
  return EncodeTimeline(batch);
}

void TimelineRecorder::ScheduleFlush() {
  timer_ = loop_.RunAfter(flush_period_, [this] {
    Flush();
    ScheduleFlush();
  });
}

void TimelineRecorder::Flush() {
  if (flushing_ || state_events_.last_sequence() == last_flushed_sequence_)
    return;
  flushing_ = true;
  TimelineBatch batch{member_, incarnation_, state_events_.dropped(),
                      state_events_.EventsAfter(last_flushed_sequence_)};
  uint64_t last = batch.events.back().sequence;
  PutObject put{TimelineKey(member_, incarnation_, last),
                EncodeTimeline(batch)};
  // After a failure, the events are written again as the start of the next
  // batch, whose key differs if it has newer events. If the failed write took
  // effect without an answer, the store then holds its events in both batches.
  store_.Execute(put, [this, last](const StoreReply& reply) {
    flushing_ = false;
    if (!std::holds_alternative<CommittedReply>(reply))
      return;
    last_flushed_sequence_ = last;
    state_events_.MarkFlushed(last);
  });
}

}  // namespace radishmoor
