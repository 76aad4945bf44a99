// Timeline events of all processes in one order: those still in the rings of
// running processes and those in the object store, which also holds the events
// of processes that have ended.

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

// GET `path` from an admin server; nothing if it cannot be reached or does not
// answer with 200.
using AdminFetcher =
    std::function<std::optional<std::string>(const std::string& address,
                                             const std::string& path)>;

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
  std::vector<MemberEvent> events;  // By hybrid time.
  // What could not be read and may therefore be missing.
  std::vector<std::string> warnings;
  bool any_source = false;  // At least one ring or the object store was read.
};

// Batches read for each member, the latest ones. At one batch a second this is
// the last five minutes; it bounds the memory and the reads.
inline constexpr size_t kBatchesPerMember = 300;

// Reads and merges. An event that is both in a ring and in a batch appears
// once.
MergedTimeline ReadTimeline(const StoreExecutor& store,
                            const AdminFetcher& fetch,
                            const std::vector<MemberStatus>& members,
                            const TimelineFilter& filter);

std::string TimelineText(const MergedTimeline& timeline);
std::string TimelineJson(const MergedTimeline& timeline);

}  // namespace radishmoor

#endif  // RADISHMOOR_CTL_MERGED_TIMELINE_H_
