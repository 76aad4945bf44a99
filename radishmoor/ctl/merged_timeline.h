// Merges the timeline events of all processes. Recent events are read from the
// rings of running processes, others from the object store, which also holds
// the events of processes that have ended.

#ifndef RADISHMOOR_CTL_MERGED_TIMELINE_H_
#define RADISHMOOR_CTL_MERGED_TIMELINE_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "radishmoor/base/ids.h"
#include "radishmoor/base/timeline.h"
#include "radishmoor/config/config_log.h"
#include "radishmoor/ctl/members.h"

namespace radishmoor {

// Sends GET `path` to an admin server and returns the body. Returns nullopt if
// the server cannot be reached or does not answer with status 200.
using AdminFetcher =
    std::function<std::optional<std::string>(const std::string& address,
                                             const std::string& path)>;

// Selects events; an absent field selects all.
struct TimelineFilter {
  std::optional<RequestId> request;
  std::optional<HostId> host;
};

struct MemberEvent {
  MemberId member;
  Incarnation incarnation;
  TimelineEvent event;
};

struct MergedTimeline {
  std::vector<MemberEvent> events;  // Ordered by hybrid time.
  // Sources that could not be read and events that were lost.
  std::vector<std::string> warnings;
  // At least one ring or the list of the object store was read.
  bool any_source_read = false;
};

// Only this number of the latest batches is read for each member, to bound
// memory and reads. At one batch a second this covers the last five minutes.
inline constexpr size_t kMaxBatchesPerMember = 300;

// Reads and merges the events of all sources. An event that is both in a ring
// and in a batch appears once. Sources that cannot be read become warnings.
MergedTimeline ReadTimeline(const StoreExecutor& store,
                            const AdminFetcher& fetch,
                            const std::vector<MemberStatus>& members,
                            const TimelineFilter& filter);

std::string TimelineText(const MergedTimeline& timeline);
std::string TimelineJson(const MergedTimeline& timeline);

}  // namespace radishmoor

#endif  // RADISHMOOR_CTL_MERGED_TIMELINE_H_
