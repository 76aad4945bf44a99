// JSON encoding of timeline events, for GET /timeline of the admin servers and
// for the batches in the object store.
//
//   uint64_t last = batch.events.back().sequence;
//   object.key = TimelineKey(member, incarnation, last);
//   object.data = EncodeTimeline(batch);

#ifndef RADISHMOOR_OPS_TIMELINE_JSON_H_
#define RADISHMOOR_OPS_TIMELINE_JSON_H_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "radishmoor/base/ids.h"
#include "radishmoor/base/timeline.h"

namespace radishmoor {

// Thrown for text that was not written by EncodeTimeline() of this or an older
// version.
class TimelineFormatError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Events of one incarnation of one process, oldest first.
struct TimelineBatch {
  MemberId member;
  Incarnation incarnation;
  uint64_t dropped = 0;  // Events lost so far; see TimelineRing::dropped().
  std::vector<TimelineEvent> events;
};

std::string EncodeTimeline(const TimelineBatch& batch);

// Throws TimelineFormatError.
TimelineBatch DecodeTimeline(const std::string& text);

// Prefix of the object keys of all batches.
inline constexpr char kTimelinePrefix[] = "timeline/";

// Returns "timeline/<member>/<incarnation>/<sequence>" with 20 digits for each
// number, so that the keys of a member sort by time. `sequence` is the sequence
// number of the last event of the batch.
std::string TimelineKey(const MemberId& member,
                        Incarnation incarnation,
                        uint64_t sequence);

}  // namespace radishmoor

#endif  // RADISHMOOR_OPS_TIMELINE_JSON_H_
