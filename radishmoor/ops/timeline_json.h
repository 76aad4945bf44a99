// JSON text of timeline events: the answer of an admin server to GET /timeline
// and the batches in the object store.
//
//   object.key = TimelineKey(member, incarnation,
//   batch.events.back().sequence); object.data = EncodeTimeline(batch);

#ifndef RADISHMOOR_OPS_TIMELINE_JSON_H_
#define RADISHMOOR_OPS_TIMELINE_JSON_H_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "radishmoor/base/ids.h"
#include "radishmoor/base/timeline.h"

namespace radishmoor {

// Text that EncodeTimeline() of this or an older version did not write.
class TimelineFormatError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Events of one incarnation of one process, oldest first.
struct TimelineBatch {
  MemberId member;
  Incarnation incarnation;
  uint64_t dropped = 0;  // Events lost so far, see TimelineRing::dropped().
  std::vector<TimelineEvent> events;
};

std::string EncodeTimeline(const TimelineBatch& batch);

// Throws TimelineFormatError.
TimelineBatch DecodeTimeline(const std::string& text);

// Prefix of all batches.
inline constexpr char kTimelinePrefix[] = "timeline/";

// "timeline/<member>/<incarnation>/<sequence>" with 20 digits for each number,
// so that the keys of a member sort by time. `sequence` is that of the last
// event.
std::string TimelineKey(const MemberId& member,
                        Incarnation incarnation,
                        uint64_t sequence);

}  // namespace radishmoor

#endif  // RADISHMOOR_OPS_TIMELINE_JSON_H_
