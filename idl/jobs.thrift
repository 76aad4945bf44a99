// Stored rows of the job scheduler and messages between its processes. The
// generated code is committed under radishmoor/jobs/gen; run
// tools/generate_thrift after a change. Fields are only ever added.

namespace cpp radishmoor.jobs_wire

struct Step {
  1: i32 count
  2: i32 cpu_millis
  3: i32 memory_mb
  4: i32 gpus
  5: i64 estimate_ms
  6: list<i32> after
  7: i32 flags
  8: string requirement
  9: string data_rack
  10: i32 max_per_server
  11: string image
  12: i64 tail_limit_ms
  13: i32 allowed_missing
}

struct QueueSettings {
  1: i32 priority
  2: i32 max_attempts
  3: double slack_factor
  4: i64 latency_objective_ms
  5: bool needs_advice
  6: i64 advice_request_ms
  7: i64 advice_server_ms
}

struct Job {
  1: string queue
  2: string spec
  3: list<Step> steps
  4: i32 repeat_count
  5: i64 start_at_ms
  6: i64 interval_ms
  7: i64 submitted_wall_ms
  8: optional QueueSettings queue_settings
}

struct Run {
  1: i32 number
  2: string server
  3: bool stop_wanted
}

struct Task {
  1: i32 position
  2: i32 state
  3: i32 failures
  4: i32 last_run
  5: string checkpoint
  6: list<Run> runs
  7: list<string> unanswered_servers
  8: i32 provisional_run
  9: bool provisional_inherited
}

struct Occurrence {
  1: i32 number
  2: list<Task> tasks
}

struct Progress {
  1: i32 state
  2: bool begun
  3: i32 finished_below
  4: list<Occurrence> occurrences
  5: i32 further_rows
}

struct Lease {
  1: string holder
  2: string address
  3: i64 token
  4: i64 sequence
  5: bool released
  6: string successor
  7: i64 earlier_leases_ms
  8: i64 store_clock_ms
  9: list<string> vacating_servers
}

// Whether a pool stores new jobs of a queue.
struct QueueAdmission {
  1: string queue
  2: bool open
  3: i64 config_version
  4: list<string> earlier_pools
}

// The pools that may hold jobs of a queue.
struct QueuePools {
  1: list<string> pools
}

struct Node {
  1: string name
  2: string address
  3: string zone
  4: i64 incarnation
  5: bool leaving
  6: i32 capacity
}

// The intent of a call to the platform's host API, written before the call.
struct Duty {
  1: string host
  2: i32 kind
  3: string pool
  4: i64 wave
  5: string server
}

struct QueueLoad {
  1: string queue
  2: i32 pending
  3: i64 wait_ms
  4: i64 open_since
  5: list<string> earlier_pools
}

struct OwnerBeat {
  1: string pool
  2: i64 token
  3: i64 lease_version
  4: i64 renewed_age_ms
  5: list<QueueLoad> queues
  6: bool released
  7: string successor
  8: double demand_cores
  9: double capacity_cores
  10: i32 servers
  11: i32 min_servers
  12: list<string> spare_servers
  13: double offered_cores
  14: i32 silent_servers
  15: list<string> silent_zones
  16: bool figures_missing
  17: double backlog_cores
  18: bool partial_queues
}

struct JobNotice {
  1: string pool
  2: string job
  3: Job definition
  4: i64 age_ms
  5: i64 request
  6: i64 admitted_since
}

struct JobQuery {
  1: i64 request
  2: string pool
  3: string job
  4: bool cancel
}

struct JobAnswer {
  1: i64 request
  2: i32 state
  3: i64 retry_after_ms
}

struct VacateRequest {
  1: string pool
  2: string server
  3: bool withdraw
}

struct VacateAnswer {
  1: string pool
  2: string server
  3: i32 state
  4: i64 token
}

// An order to a backend server that another process sends on behalf of the
// pool's owner. `kind` is the index of the order in ServerOrder; each kind uses
// some of the fields.
struct RelayedOrder {
  1: i64 tag
  2: string server
  3: string address
  4: i64 token
  5: i32 kind
  6: string task
  7: i32 run
  8: string payload
  9: i64 lease_until
  10: string checkpoint
  11: string ticket
  12: i64 acknowledged
  13: i64 wait_ms
  14: i32 pace_percent
}

struct RunningRun {
  1: string task
  2: i32 run
  3: string checkpoint
  4: i32 progress_percent
  5: i64 load
}

struct EndedRun {
  1: i64 sequence
  2: string task
  3: i32 run
  4: i32 run_end
  5: string checkpoint
}

struct RelayedReply {
  1: i64 tag
  2: string server
  3: i32 outcome
  4: optional i64 clock_ms
  5: optional i64 born_ms
  6: list<RunningRun> running
  7: list<EndedRun> ended
}

struct OrderBatch {
  1: i64 session
  2: list<RelayedOrder> orders
  3: i64 valid_until_ms
}

struct ReplyBatch {
  1: i64 session
  2: list<RelayedReply> replies
  3: i64 clock_ms
}

struct Envelope {
  1: string sender
  2: string address
  3: optional OwnerBeat owner_beat
  4: optional JobNotice job_notice
  5: optional JobQuery job_query
  6: optional JobAnswer job_answer
  7: optional VacateRequest vacate_request
  8: optional VacateAnswer vacate_answer
  9: optional OrderBatch order_batch
  10: optional ReplyBatch reply_batch
}
