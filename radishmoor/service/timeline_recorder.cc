#include "radishmoor/service/timeline_recorder.h"

#include <utility>

#include "radishmoor/net/event_loop.h"
#include "radishmoor/net/store_client.h"
#include "radishmoor/ops/timeline_json.h"

namespace radishmoor {
namespace {

// Separates the sequence numbers of the two rings on the page.
constexpr uint64_t kRequestSequences = uint64_t{1} << 48;

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
      state_(ring_size),
      requests_(ring_size) {
  ScheduleFlush();
}

TimelineRecorder::~TimelineRecorder() {
  loop_.Cancel(timer_);
}

void TimelineRecorder::Add(TimelineEvent event) {
  bool of_request = event.request.value != 0;
  (of_request ? requests_ : state_).Add(std::move(event));
}

std::string TimelineRecorder::Page() const {
  TimelineBatch batch{member_, incarnation_, state_.dropped(),
                      state_.EventsAfter(0)};
  for (TimelineEvent& event : requests_.EventsAfter(0)) {
    event.sequence += kRequestSequences;
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
  if (flushing_ || state_.last_sequence() == flushed_)
    return;
  flushing_ = true;
  TimelineBatch batch{member_, incarnation_, state_.dropped(),
                      state_.EventsAfter(flushed_)};
  uint64_t last = batch.events.back().sequence;
  PutObject put{TimelineKey(member_, incarnation_, last),
                EncodeTimeline(batch)};
  // A failed batch is written again with the next one; the key of a batch that
  // took effect without an answer is then a part of the later one.
  store_.Execute(put, [this, last](const StoreReply& reply) {
    flushing_ = false;
    if (!std::holds_alternative<CommittedReply>(reply))
      return;
    flushed_ = last;
    state_.MarkFlushed(last);
  });
}

}  // namespace radishmoor
