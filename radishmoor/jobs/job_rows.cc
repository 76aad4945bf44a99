#include "radishmoor/jobs/job_rows.h"

#include <algorithm>
#include <charconv>
#include <cinttypes>
#include <cstdio>
#include <utility>

#include "radishmoor/base/hash.h"
#include "radishmoor/jobs/job_wire.h"
#include "radishmoor/jobs/thrift_bytes.h"

namespace radishmoor {
namespace {

std::string Key(std::string_view table,
                const std::string& partition,
                std::string_view name) {
  std::string key;
  key.reserve(table.size() + partition.size() + name.size() + 2);
  key.append(table).append("/").append(partition).append("/").append(name);
  return key;
}

// Queue ids hold the queue's path and may be longer than a key.
std::string KeyPartOf(const QueueId& queue) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016" PRIx64, StableHash(queue.str()));
  return text;
}

std::vector<std::string> NamesOf(std::span<const PoolId> pools) {
  std::vector<std::string> names;
  for (const PoolId& pool : pools)
    names.push_back(pool.str());
  return names;
}

std::vector<PoolId> PoolsFrom(std::span<const std::string> names) {
  return {names.begin(), names.end()};
}

// Larger factors in a damaged row are not used.
constexpr double kMaxSlackFactor = 1'000'000;

enum StepFlag : int32_t {
  kCheckpointing = 1,
  kGang = 2,
  kColocated = 4,
  kSpeculative = 8,
  kLongRunning = 16,
  kBestEffort = 32,
};

int32_t FlagsOf(const StepSpec& step) {
  int32_t flags = 0;
  flags |= step.checkpointing ? kCheckpointing : 0;
  flags |= step.gang ? kGang : 0;
  flags |= step.colocated ? kColocated : 0;
  flags |= step.speculative ? kSpeculative : 0;
  flags |= step.long_running ? kLongRunning : 0;
  flags |= step.best_effort ? kBestEffort : 0;
  return flags;
}

jobs_wire::Step StepToWire(const StepSpec& step) {
  jobs_wire::Step wire;
  wire.count = static_cast<int32_t>(step.count);
  wire.cpu_millis = static_cast<int32_t>(step.request.cpu_millis);
  wire.memory_mb = static_cast<int32_t>(step.request.memory_mb);
  wire.gpus = static_cast<int32_t>(step.request.gpus);
  wire.estimate_ms = WholeMilliseconds(step.estimate);
  wire.after.assign(step.after.begin(), step.after.end());
  wire.flags = FlagsOf(step);
  wire.requirement = step.requirement;
  wire.data_rack = step.data_rack.str();
  wire.max_per_server = static_cast<int32_t>(step.max_per_server);
  wire.image = step.image;
  wire.tail_limit_ms = WholeMilliseconds(step.tail_limit);
  wire.allowed_missing = static_cast<int32_t>(step.allowed_missing);
  return wire;
}

StepSpec StepFromWire(const jobs_wire::Step& wire) {
  StepSpec step;
  step.count = static_cast<uint32_t>(wire.count);
  step.request = {wire.cpu_millis, wire.memory_mb, wire.gpus};
  step.estimate = DecodedMilliseconds(wire.estimate_ms);
  step.after.assign(wire.after.begin(), wire.after.end());
  step.checkpointing = (wire.flags & kCheckpointing) != 0;
  step.gang = (wire.flags & kGang) != 0;
  step.colocated = (wire.flags & kColocated) != 0;
  step.speculative = (wire.flags & kSpeculative) != 0;
  step.long_running = (wire.flags & kLongRunning) != 0;
  step.best_effort = (wire.flags & kBestEffort) != 0;
  step.requirement = wire.requirement;
  step.data_rack = RackId(wire.data_rack);
  step.max_per_server = static_cast<uint32_t>(wire.max_per_server);
  step.image = wire.image;
  step.tail_limit = DecodedMilliseconds(wire.tail_limit_ms);
  step.allowed_missing = static_cast<uint32_t>(wire.allowed_missing);
  return step;
}

jobs_wire::QueueSettings SettingsToWire(const QueueSettings& settings) {
  jobs_wire::QueueSettings wire;
  wire.priority = static_cast<int32_t>(settings.priority);
  wire.max_attempts = static_cast<int32_t>(settings.max_attempts);
  wire.slack_factor = settings.slack_factor;
  wire.latency_objective_ms = WholeMilliseconds(settings.latency_objective);
  wire.needs_advice = settings.needs_advice;
  wire.advice_request_ms = WholeMilliseconds(settings.adviser_pace.per_request);
  wire.advice_server_ms = WholeMilliseconds(settings.adviser_pace.per_server);
  return wire;
}

QueueSettings SettingsFromWire(const jobs_wire::QueueSettings& wire) {
  QueueSettings settings;
  settings.priority = static_cast<uint32_t>(std::max(0, wire.priority));
  settings.max_attempts = static_cast<uint32_t>(std::max(1, wire.max_attempts));
  // The comparison is also false for a factor that is not a number.
  if (wire.slack_factor >= 0 && wire.slack_factor <= kMaxSlackFactor)
    settings.slack_factor = wire.slack_factor;
  settings.latency_objective = DecodedMilliseconds(wire.latency_objective_ms);
  settings.needs_advice = wire.needs_advice;
  settings.adviser_pace = {DecodedMilliseconds(wire.advice_request_ms),
                           DecodedMilliseconds(wire.advice_server_ms)};
  return settings;
}

jobs_wire::Task TaskToWire(const StoredTask& task) {
  jobs_wire::Task wire;
  wire.position = static_cast<int32_t>(task.position);
  wire.state = task.done ? 1 : 0;
  wire.failures = static_cast<int32_t>(task.failures);
  wire.last_run = static_cast<int32_t>(task.last_run);
  wire.checkpoint = task.checkpoint;
  for (const StoredRun& run : task.runs) {
    jobs_wire::Run r;
    r.number = static_cast<int32_t>(run.number);
    r.server = run.server.str();
    r.stop_wanted = run.stop_wanted;
    wire.runs.push_back(std::move(r));
  }
  for (const ServerId& server : task.unanswered_servers)
    wire.unanswered_servers.push_back(server.str());
  wire.provisional_run = static_cast<int32_t>(task.provisional_run);
  wire.provisional_inherited = task.provisional_inherited;
  return wire;
}

StoredTask TaskFromWire(const jobs_wire::Task& wire) {
  StoredTask task;
  task.position = static_cast<uint32_t>(wire.position);
  task.done = wire.state == 1;
  task.failures = static_cast<uint32_t>(wire.failures);
  task.last_run = static_cast<RunNumber>(wire.last_run);
  task.checkpoint = wire.checkpoint;
  for (const jobs_wire::Run& run : wire.runs)
    task.runs.push_back({static_cast<RunNumber>(run.number),
                         ServerId(run.server), run.stop_wanted});
  for (const std::string& server : wire.unanswered_servers)
    task.unanswered_servers.push_back(ServerId(server));
  task.provisional_run = static_cast<RunNumber>(wire.provisional_run);
  task.provisional_inherited = wire.provisional_inherited;
  return task;
}

// Bounds on the encoded sizes. Thrift's compact protocol takes one byte for the
// header of a field, up to five for a number of 32 bits or the length of a text
// and up to ten for one of 64 bits.
constexpr size_t kProgressRowBytes = 64;
constexpr size_t kOccurrenceBytes = 24;
constexpr size_t kTaskBytes = 40;
constexpr size_t kRunBytes = 16;
constexpr size_t kJobBytes = 128;
constexpr size_t kStepBytes = 96;
constexpr size_t kPredecessorBytes = 5;

size_t BytesBound(const StoredTask& task) {
  size_t bytes = kTaskBytes + task.checkpoint.size();
  for (const StoredRun& run : task.runs)
    bytes += kRunBytes + run.server.str().size();
  for (const ServerId& server : task.unanswered_servers)
    bytes += kRunBytes + server.str().size();
  return bytes;
}

size_t BytesBound(const StoredProgress& progress) {
  size_t bytes = kProgressRowBytes;
  for (const StoredOccurrence& occurrence : progress.occurrences) {
    bytes += kOccurrenceBytes;
    for (const StoredTask& task : occurrence.tasks)
      bytes += BytesBound(task);
  }
  return bytes;
}

// Removes the checkpoints that are longer than `longest`.
void RemoveCheckpoints(StoredProgress& progress, size_t longest) {
  for (StoredOccurrence& occurrence : progress.occurrences) {
    for (StoredTask& task : occurrence.tasks) {
      if (task.checkpoint.size() > longest)
        task.checkpoint.clear();
    }
  }
}

}  // namespace

std::string JobKey(const PoolId& pool, const JobId& job) {
  return Key("jobs", pool.str(), job.str());
}

std::string ProgressKey(const PoolId& pool, const JobId& job) {
  return Key("progress", pool.str(), job.str());
}

std::string FurtherProgressKey(const PoolId& pool,
                               const JobId& job,
                               uint32_t number) {
  return ProgressKey(pool, job) + "." + std::to_string(number);
}

std::optional<ProgressRowName> ParseProgressRowName(std::string_view name) {
  size_t dot = name.find('.');
  if (dot == std::string_view::npos)
    return ProgressRowName{JobId(name)};
  ProgressRowName parsed{JobId(name.substr(0, dot))};
  std::string_view number = name.substr(dot + 1);
  auto [end, error] = std::from_chars(
      number.data(), number.data() + number.size(), parsed.number);
  if (error != std::errc() || end != number.data() + number.size() ||
      parsed.number == 0)
    return std::nullopt;
  return parsed;
}

std::string InboxKey(const PoolId& pool, char kind, const JobId& job) {
  return Key("inbox", pool.str(), std::string(1, kind) + ":" + job.str());
}

std::string InboxPrefix(const PoolId& pool) {
  return Key("inbox", pool.str(), "");
}

std::string OwnerLeaseKey(const PoolId& pool) {
  return Key("owner", pool.str(), "lease");
}

std::string QueueAdmissionKey(const PoolId& pool, const QueueId& queue) {
  return Key("queues", pool.str(), KeyPartOf(queue));
}

std::string QueueAdmissionPrefix(const PoolId& pool) {
  return Key("queues", pool.str(), "");
}

std::string QueuePoolsKey(const QueueId& queue) {
  return Key("queues", "", KeyPartOf(queue));
}

std::string NodeKey(const MemberId& node) {
  return Key("nodes", "", node.str());
}

std::string HostOperationKey(const PoolId& pool, const HostId& host) {
  return Key("duties", pool.str(), host.str());
}

std::string MaintainedKey(const PoolId& pool,
                          const HostId& host,
                          uint64_t wave) {
  return Key("duties", pool.str(),
             "w" + std::to_string(wave) + ":" + host.str());
}

std::string_view LastKeyPart(std::string_view key) {
  return key.substr(key.rfind('/') + 1);
}

jobs_wire::Job JobToWire(const JobSpec& spec) {
  jobs_wire::Job wire;
  wire.queue = spec.queue.str();
  wire.spec = spec.payload;
  for (const StepSpec& step : spec.steps)
    wire.steps.push_back(StepToWire(step));
  wire.repeat_count = static_cast<int32_t>(spec.repeat_count);
  wire.start_at_ms = spec.start_at;
  wire.interval_ms = WholeMilliseconds(spec.interval);
  wire.submitted_wall_ms = spec.submitted_at;
  if (spec.queue_settings)
    wire.__set_queue_settings(SettingsToWire(*spec.queue_settings));
  return wire;
}

JobSpec JobFromWire(const jobs_wire::Job& wire) {
  JobSpec spec;
  spec.queue = QueueId(wire.queue);
  spec.payload = wire.spec;
  for (const jobs_wire::Step& step : wire.steps)
    spec.steps.push_back(StepFromWire(step));
  spec.repeat_count = static_cast<uint32_t>(wire.repeat_count);
  spec.start_at = wire.start_at_ms;
  spec.interval = DecodedMilliseconds(wire.interval_ms);
  spec.submitted_at = wire.submitted_wall_ms;
  if (wire.__isset.queue_settings)
    spec.queue_settings = SettingsFromWire(wire.queue_settings);
  return spec;
}

std::string EncodeJob(const JobSpec& spec) {
  return ToBytes(JobToWire(spec));
}

size_t UsableRowBytes(size_t max_row_bytes) {
  return max_row_bytes / 4 * 3;
}

bool FitsIntoRow(const JobSpec& spec, size_t max_row_bytes) {
  size_t bytes = kJobBytes + spec.payload.size() + spec.queue.str().size();
  for (const StepSpec& step : spec.steps)
    bytes += kStepBytes + kPredecessorBytes * step.after.size() +
             step.requirement.size() + step.data_rack.str().size() +
             step.image.size();
  size_t usable = UsableRowBytes(max_row_bytes);
  return bytes <= usable || EncodeJob(spec).size() <= usable;
}

std::optional<JobSpec> DecodeJob(std::string_view bytes) {
  jobs_wire::Job wire;
  if (!FromBytes(bytes, wire))
    return std::nullopt;
  JobSpec spec = JobFromWire(wire);
  if (CheckJob(spec))
    return std::nullopt;
  return spec;
}

std::string EncodeProgress(const StoredProgress& progress) {
  jobs_wire::Progress wire;
  wire.state = static_cast<int32_t>(progress.state);
  wire.begun = progress.begun;
  wire.finished_below = static_cast<int32_t>(progress.finished_below);
  wire.further_rows = static_cast<int32_t>(progress.further_rows);
  for (const StoredOccurrence& occurrence : progress.occurrences) {
    jobs_wire::Occurrence o;
    o.number = static_cast<int32_t>(occurrence.number);
    for (const StoredTask& task : occurrence.tasks)
      o.tasks.push_back(TaskToWire(task));
    wire.occurrences.push_back(std::move(o));
  }
  return ToBytes(wire);
}

std::vector<std::string> EncodeProgressRows(StoredProgress progress,
                                            size_t max_row_bytes,
                                            size_t max_bytes) {
  RemoveCheckpoints(progress, kMaxCheckpointBytes);
  size_t bytes = BytesBound(progress);
  if (bytes <= max_row_bytes)
    return {EncodeProgress(progress)};
  if (bytes > max_bytes)
    RemoveCheckpoints(progress, 0);
  std::vector<StoredProgress> rows(1);
  size_t row_bytes = kProgressRowBytes;
  for (StoredOccurrence& occurrence : progress.occurrences) {
    rows.back().occurrences.push_back({occurrence.number, {}});
    for (StoredTask& task : occurrence.tasks) {
      size_t task_bytes = BytesBound(task);
      if (row_bytes + task_bytes > max_row_bytes) {
        rows.emplace_back().occurrences.push_back({occurrence.number, {}});
        row_bytes = kProgressRowBytes;
      }
      row_bytes += task_bytes;
      rows.back().occurrences.back().tasks.push_back(std::move(task));
    }
    row_bytes += kOccurrenceBytes;
  }
  rows[0].state = progress.state;
  rows[0].begun = progress.begun;
  rows[0].finished_below = progress.finished_below;
  rows[0].further_rows = static_cast<uint32_t>(rows.size() - 1);
  std::vector<std::string> encoded;
  encoded.reserve(rows.size());
  for (const StoredProgress& row : rows)
    encoded.push_back(EncodeProgress(row));
  return encoded;
}

std::optional<StoredProgress> DecodeProgress(std::string_view bytes) {
  jobs_wire::Progress wire;
  if (!FromBytes(bytes, wire) || wire.state < 0 ||
      wire.state > static_cast<int32_t>(JobState::kCancelled))
    return std::nullopt;
  StoredProgress progress;
  progress.state = static_cast<JobState>(wire.state);
  progress.begun = wire.begun;
  progress.finished_below = static_cast<uint32_t>(wire.finished_below);
  progress.further_rows = static_cast<uint32_t>(std::max(0, wire.further_rows));
  for (const jobs_wire::Occurrence& o : wire.occurrences) {
    StoredOccurrence occurrence{static_cast<uint32_t>(o.number), {}};
    for (const jobs_wire::Task& task : o.tasks)
      occurrence.tasks.push_back(TaskFromWire(task));
    progress.occurrences.push_back(std::move(occurrence));
  }
  return progress;
}

std::string EncodeLease(const LeaseRow& lease) {
  jobs_wire::Lease wire;
  wire.holder = lease.holder.str();
  wire.address = lease.address;
  wire.token = static_cast<int64_t>(lease.token);
  wire.sequence = static_cast<int64_t>(lease.sequence);
  wire.released = lease.released;
  wire.successor = lease.successor.str();
  wire.earlier_leases_ms = WholeMilliseconds(lease.other_leases_remaining);
  wire.store_clock_ms = WholeMilliseconds(lease.store_clock);
  for (const ServerId& server : lease.vacating_servers)
    wire.vacating_servers.push_back(server.str());
  return ToBytes(wire);
}

std::optional<LeaseRow> DecodeLease(std::string_view bytes) {
  jobs_wire::Lease wire;
  if (!FromBytes(bytes, wire))
    return std::nullopt;
  return LeaseRow{MemberId(wire.holder),
                  wire.address,
                  static_cast<FencingToken>(wire.token),
                  static_cast<uint64_t>(wire.sequence),
                  wire.released,
                  MemberId(wire.successor),
                  DecodedMilliseconds(wire.earlier_leases_ms),
                  DecodedMilliseconds(wire.store_clock_ms),
                  {wire.vacating_servers.begin(), wire.vacating_servers.end()}};
}

std::string EncodeQueueAdmission(const QueueAdmissionRow& admission) {
  jobs_wire::QueueAdmission wire;
  wire.queue = admission.queue.str();
  wire.open = admission.open;
  wire.config_version = static_cast<int64_t>(admission.config_version);
  wire.earlier_pools = NamesOf(admission.earlier_pools);
  return ToBytes(wire);
}

std::optional<QueueAdmissionRow> DecodeQueueAdmission(std::string_view bytes) {
  jobs_wire::QueueAdmission wire;
  if (!FromBytes(bytes, wire) || wire.queue.empty() || wire.config_version < 0)
    return std::nullopt;
  return QueueAdmissionRow{QueueId(wire.queue), wire.open,
                           static_cast<ConfigVersion>(wire.config_version),
                           PoolsFrom(wire.earlier_pools)};
}

std::string EncodeQueuePools(std::span<const PoolId> pools) {
  jobs_wire::QueuePools wire;
  wire.pools = NamesOf(pools);
  return ToBytes(wire);
}

std::optional<std::vector<PoolId>> DecodeQueuePools(std::string_view bytes) {
  jobs_wire::QueuePools wire;
  if (!FromBytes(bytes, wire) || wire.pools.empty())
    return std::nullopt;
  return PoolsFrom(wire.pools);
}

std::string EncodeNode(const NodeRow& node) {
  jobs_wire::Node wire;
  wire.name = node.name.str();
  wire.address = node.address;
  wire.zone = node.zone.str();
  wire.incarnation = static_cast<int64_t>(node.incarnation);
  wire.leaving = node.leaving;
  wire.capacity = static_cast<int32_t>(node.capacity);
  return ToBytes(wire);
}

std::optional<NodeRow> DecodeNode(std::string_view bytes) {
  jobs_wire::Node wire;
  if (!FromBytes(bytes, wire) || wire.name.empty())
    return std::nullopt;
  return NodeRow{MemberId(wire.name), wire.address,
                 ZoneId(wire.zone),   static_cast<uint64_t>(wire.incarnation),
                 wire.leaving,        static_cast<uint32_t>(wire.capacity)};
}

std::string EncodeHostOperation(const HostOperationRow& operation) {
  jobs_wire::Duty wire;
  wire.host = operation.host.str();
  wire.kind = static_cast<int32_t>(operation.kind);
  wire.pool = operation.pool.str();
  wire.wave = static_cast<int64_t>(operation.wave);
  wire.server = operation.server.str();
  return ToBytes(wire);
}

std::optional<HostOperationRow> DecodeHostOperation(std::string_view bytes) {
  jobs_wire::Duty wire;
  if (!FromBytes(bytes, wire) || wire.kind < 1 || wire.kind > 3)
    return std::nullopt;
  return HostOperationRow{HostId(wire.host),
                          static_cast<HostOperationKind>(wire.kind),
                          PoolId(wire.pool), static_cast<uint64_t>(wire.wave),
                          ServerId(wire.server)};
}

}  // namespace radishmoor
