#include "radishmoor/ctl/merged_timeline.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <ctime>
#include <map>
#include <tuple>
#include <utility>

#include "radishmoor/ctl/text_table.h"
#include "radishmoor/ops/timeline_json.h"

namespace radishmoor {
namespace {

namespace json = boost::json;

class TimelineMerger {
 public:
  explicit TimelineMerger(const TimelineFilter& filter) : filter_(filter) {}

  // Adds the events of an encoded batch. If it cannot be decoded, adds a
  // warning that names `source`.
  void Add(const std::string& text, const std::string& source) {
    try {
      TimelineBatch batch = DecodeTimeline(text);
      for (TimelineEvent& event : batch.events)
        AddEvent(batch, std::move(event));
      uint64_t& dropped = dropped_[{batch.member, batch.incarnation}];
      dropped = std::max(dropped, batch.dropped);
    } catch (const TimelineFormatError& error) {
      Warn(source + ": " + error.what());
    }
  }

  void Warn(std::string warning) {
    result_.warnings.push_back(std::move(warning));
  }

  void MarkSourceRead() { result_.any_source_read = true; }

  MergedTimeline Take() {
    for (const auto& [process, dropped] : dropped_) {
      if (dropped > 0)
        Warn(process.first.str() + ": " + std::to_string(dropped) +
             " events were overwritten before they were flushed");
    }
    for (auto& [key, event] : events_)
      result_.events.push_back(std::move(event));
    auto sort_key = [](const MemberEvent& e) {
      return std::tie(e.event.stamp, e.member, e.incarnation, e.event.sequence);
    };
    std::sort(result_.events.begin(), result_.events.end(),
              [&](const MemberEvent& a, const MemberEvent& b) {
                return sort_key(a) < sort_key(b);
              });
    return std::move(result_);
  }

 private:
  void AddEvent(const TimelineBatch& batch, TimelineEvent event) {
    if (filter_.request && event.request != *filter_.request)
      return;
    if (filter_.host && event.host != *filter_.host)
      return;
    events_.try_emplace(
        std::tuple(batch.member, batch.incarnation, event.sequence),
        MemberEvent{batch.member, batch.incarnation, event});
  }

  const TimelineFilter& filter_;
  std::map<std::tuple<MemberId, Incarnation, uint64_t>, MemberEvent> events_;
  std::map<std::pair<MemberId, Incarnation>, uint64_t> dropped_;
  MergedTimeline result_;
};

// Returns the member of an object key "timeline/<member>/...".
std::string MemberOfKey(const std::string& key) {
  size_t start = sizeof(kTimelinePrefix) - 1;
  return key.substr(start, key.find('/', start) - start);
}

// Returns the kMaxBatchesPerMember latest keys of each member. Adds the number
// of the other keys to `skipped`.
std::vector<std::string> LatestKeys(std::vector<std::string> keys,
                                    size_t& skipped) {
  std::sort(keys.begin(), keys.end(), std::greater<>());
  std::map<std::string, size_t> batches_by_member;
  std::vector<std::string> latest;
  for (std::string& key : keys) {
    if (batches_by_member[MemberOfKey(key)]++ < kMaxBatchesPerMember) {
      latest.push_back(std::move(key));
    } else {
      ++skipped;
    }
  }
  return latest;
}

void ReadBatches(const StoreExecutor& store, TimelineMerger& merger) {
  StoreReply reply = store(ListObjects{kTimelinePrefix});
  const auto* list = std::get_if<ObjectListReply>(&reply);
  if (list == nullptr) {
    merger.Warn("object store: cannot be read; older events are missing");
    return;
  }
  merger.MarkSourceRead();
  size_t skipped = 0;
  for (const std::string& key : LatestKeys(list->keys, skipped)) {
    StoreReply answer = store(ReadObject{key});
    const auto* object = std::get_if<ObjectReply>(&answer);
    if (object != nullptr && object->found) {
      merger.Add(object->data, key);
    } else {
      merger.Warn(key + ": cannot be read");
    }
  }
  if (skipped > 0)
    merger.Warn("object store: " + std::to_string(skipped) +
                " older batches were not read");
}

// Returns the time in UTC with milliseconds.
std::string WallText(WallMillis wall) {
  std::time_t seconds = wall / 1000;
  std::tm parts{};
  char date[32];
  char text[48];
  gmtime_r(&seconds, &parts);
  std::strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(text, sizeof(text), "%s.%03dZ", date,
                static_cast<int>(wall % 1000));
  return text;
}

std::string NumberText(uint64_t value) {
  return value == 0 ? "" : std::to_string(value);
}

}  // namespace

MergedTimeline ReadTimeline(const StoreExecutor& store,
                            const AdminFetcher& fetch,
                            const std::vector<MemberStatus>& members,
                            const TimelineFilter& filter) {
  TimelineMerger merger(filter);
  for (const MemberStatus& member : members) {
    auto text = member.admin_address.empty()
                    ? std::nullopt
                    : fetch(member.admin_address, "/timeline");
    if (text) {
      merger.MarkSourceRead();
      merger.Add(*text, member.id.str());
    } else {
      merger.Warn(member.id.str() +
                  ": its admin server does not answer; events that it has "
                  "not flushed are missing");
    }
  }
  ReadBatches(store, merger);
  return merger.Take();
}

std::string TimelineText(const MergedTimeline& timeline) {
  TextTable table({"time", "logical", "member", "event", "request", "host",
                   "pool", "version", "detail"});
  for (const MemberEvent& m : timeline.events) {
    const TimelineEvent& e = m.event;
    table.Add({WallText(e.stamp.wall), std::to_string(e.stamp.logical),
               m.member.str(), std::string(EventName(e.kind)),
               NumberText(e.request.value), e.host.str(), e.pool.str(),
               NumberText(e.config), e.detail});
  }
  return table.str();
}

std::string TimelineJson(const MergedTimeline& timeline) {
  json::array events;
  for (const MemberEvent& m : timeline.events) {
    // Encodes the event with the batch codec, which alone defines its JSON
    // form.
    json::value batch =
        json::parse(EncodeTimeline({m.member, m.incarnation, 0, {m.event}}));
    json::object event = batch.at("events").at(0).as_object();
    event["member"] = m.member.str();
    event["incarnation"] = m.incarnation.value;
    events.push_back(std::move(event));
  }
  json::array warnings;
  for (const std::string& warning : timeline.warnings)
    warnings.push_back(json::value(warning));
  return json::serialize(
      json::object{{"events", events}, {"warnings", warnings}});
}

}  // namespace radishmoor
