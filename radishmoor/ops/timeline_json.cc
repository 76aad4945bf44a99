#include "radishmoor/ops/timeline_json.h"

#include <boost/json.hpp>
#include <cstdio>

namespace radishmoor {
namespace {

namespace json = boost::json;

// The greatest value of EventKind.
constexpr auto kLastKind = EventKind::kStoreUp;

EventKind EventKindFromName(std::string_view name) {
  for (int i = 0; i <= static_cast<int>(kLastKind); ++i) {
    if (EventName(static_cast<EventKind>(i)) == name)
      return static_cast<EventKind>(i);
  }
  throw TimelineFormatError("unknown timeline event: " + std::string(name));
}

// Omits the optional fields that are empty or 0.
json::object ToJson(const TimelineEvent& e) {
  json::object o{{"sequence", e.sequence},
                 {"wall", e.stamp.wall},
                 {"logical", e.stamp.logical},
                 {"event", EventName(e.kind)}};
  if (e.request.value != 0)
    o["request"] = e.request.value;
  if (!e.host.empty())
    o["host"] = e.host.str();
  if (!e.pool.empty())
    o["pool"] = e.pool.str();
  if (e.config != 0)
    o["config"] = e.config;
  if (!e.detail.empty())
    o["detail"] = e.detail;
  return o;
}

std::string TextOrEmpty(const json::object& o, const char* key) {
  const json::value* value = o.if_contains(key);
  return value == nullptr ? "" : std::string(value->as_string());
}

uint64_t NumberOrZero(const json::object& o, const char* key) {
  const json::value* value = o.if_contains(key);
  return value == nullptr ? 0 : value->to_number<uint64_t>();
}

TimelineEvent EventFromJson(const json::object& o) {
  TimelineEvent e;
  e.sequence = o.at("sequence").to_number<uint64_t>();
  e.stamp.wall = o.at("wall").to_number<int64_t>();
  e.stamp.logical = o.at("logical").to_number<uint32_t>();
  e.kind = EventKindFromName(o.at("event").as_string());
  e.request = {NumberOrZero(o, "request")};
  e.host = HostId(TextOrEmpty(o, "host"));
  e.pool = PoolId(TextOrEmpty(o, "pool"));
  e.config = NumberOrZero(o, "config");
  e.detail = TextOrEmpty(o, "detail");
  return e;
}

}  // namespace

std::string EncodeTimeline(const TimelineBatch& batch) {
  json::array events;
  for (const TimelineEvent& event : batch.events)
    events.push_back(ToJson(event));
  return json::serialize(json::object{{"member", batch.member.str()},
                                      {"incarnation", batch.incarnation.value},
                                      {"dropped", batch.dropped},
                                      {"events", events}});
}

TimelineBatch DecodeTimeline(const std::string& text) {
  try {
    const json::value document = json::parse(text);
    const json::object& o = document.as_object();
    TimelineBatch batch;
    batch.member = MemberId(std::string(o.at("member").as_string()));
    batch.incarnation = {o.at("incarnation").to_number<uint64_t>()};
    batch.dropped = NumberOrZero(o, "dropped");
    for (const json::value& event : o.at("events").as_array())
      batch.events.push_back(EventFromJson(event.as_object()));
    return batch;
  } catch (const TimelineFormatError&) {
    throw;
  } catch (const std::exception& error) {
    throw TimelineFormatError(std::string("cannot decode a timeline: ") +
                              error.what());
  }
}

std::string TimelineKey(const MemberId& member,
                        Incarnation incarnation,
                        uint64_t sequence) {
  char digits[48];
  std::snprintf(digits, sizeof(digits), "/%020llu/%020llu",
                static_cast<unsigned long long>(incarnation.value),
                static_cast<unsigned long long>(sequence));
  return kTimelinePrefix + member.str() + digits;
}

}  // namespace radishmoor
