// Messages between radishmoor's own processes. The generated code is committed
// under radishmoor/net/gen; run tools/generate_thrift after a change.

namespace cpp radishmoor.wire

struct HybridTime {
  1: i64 wall_ms
  2: i32 logical
}

// First message on a connection: who sends, and where it can be reached.
struct Hello {
  1: string zone
  2: string peer_address
}

struct Heartbeat {
  1: i64 incarnation
  2: i32 role
  3: string zone
  4: string address
  5: i64 version
}

struct ConfigAnnouncement {
  1: i64 request
  2: i64 version
  3: i64 incarnation
  4: bool wants_sponsor
  5: list<string> busy_hosts
}

struct ConfigAnnouncementReply {
  1: i64 request
  2: i64 version
  // Microseconds.
  3: optional i64 confirmed_age_us
  4: bool sponsors
}

struct ConfigDeltaRequest {
  1: i64 request
  2: i64 version
  3: i64 state_version
  4: i64 state_offset
}

struct ConfigDeltaAnswer {
  1: i64 request
  2: list<string> deltas
  3: i64 state_version
  4: i64 state_offset
  5: i64 state_size
  6: binary state_part
}

struct HostSlots {
  1: string host
  2: i32 slots
}

struct SlotDemand {
  1: string pool
  2: string zone
  3: string member
  4: i64 incarnation
  5: i64 sequence
  6: i64 applied_grant
  7: i32 wanted
  8: i32 in_use
  9: list<HostSlots> above_grant
}

struct SlotGrant {
  1: string pool
  2: string zone
  3: string allocator
  4: string member
  5: i64 incarnation
  6: i64 allocator_incarnation
  7: i64 demand_sequence
  8: i64 sequence
  9: list<HostSlots> slots
}

// Hosts whose backend servers told the sender that they are leaving. Repeated
// each second for as long as it holds.
struct LeavingNotice {
  1: list<string> hosts
}

union Body {
  1: Hello hello
  2: Heartbeat heartbeat
  3: ConfigAnnouncement announcement
  4: ConfigAnnouncementReply announcement_reply
  5: ConfigDeltaRequest delta_request
  6: ConfigDeltaAnswer delta_answer
  7: SlotDemand slot_demand
  8: SlotGrant slot_grant
  9: LeavingNotice leaving_notice
}

struct Envelope {
  1: string sender
  2: HybridTime stamp
  3: Body body
}

// The whole answer to a keyed request, as stored with its claim.
struct Header {
  1: string name
  2: string value
}

struct StoredAnswer {
  1: i32 status
  2: list<Header> headers
  3: binary body
}
