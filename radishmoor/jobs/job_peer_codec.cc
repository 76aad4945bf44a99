#include "radishmoor/jobs/job_peer_codec.h"

#include <utility>

#include "radishmoor/jobs/job_wire.h"
#include "radishmoor/jobs/thrift_bytes.h"

namespace radishmoor {
namespace {

// Sets the envelope's field for one kind of message.

void SetMessage(const OwnerHeartbeat& message, jobs_wire::Envelope& envelope) {
  jobs_wire::OwnerBeat wire;
  wire.pool = message.pool.str();
  wire.token = static_cast<int64_t>(message.token);
  wire.lease_version = static_cast<int64_t>(message.lease_version);
  wire.renewed_age_ms = WholeMilliseconds(message.renewed_age);
  for (const QueueLoad& load : message.queues) {
    jobs_wire::QueueLoad wire_load;
    wire_load.queue = load.queue.str();
    wire_load.pending = static_cast<int32_t>(load.pending);
    wire_load.wait_ms = WholeMilliseconds(load.wait);
    wire_load.open_since = static_cast<int64_t>(load.open_since);
    for (const PoolId& pool : load.earlier_pools)
      wire_load.earlier_pools.push_back(pool.str());
    wire.queues.push_back(std::move(wire_load));
  }
  wire.partial_queues = message.partial_queues;
  wire.released = message.released;
  wire.successor = message.successor.str();
  wire.figures_missing = message.figures_missing;
  wire.demand_cores = message.demand_cores;
  wire.offered_cores = message.offered_cores;
  wire.backlog_cores = message.backlog_cores;
  wire.capacity_cores = message.capacity_cores;
  wire.silent_servers = static_cast<int32_t>(message.silent_servers);
  for (const ZoneId& zone : message.silent_zones)
    wire.silent_zones.push_back(zone.str());
  wire.servers = static_cast<int32_t>(message.servers);
  wire.min_servers = static_cast<int32_t>(message.min_servers);
  for (const ServerId& server : message.spare_servers)
    wire.spare_servers.push_back(server.str());
  envelope.__set_owner_beat(wire);
}

void SetMessage(const JobNotice& message, jobs_wire::Envelope& envelope) {
  jobs_wire::JobNotice wire;
  wire.pool = message.pool.str();
  wire.job = message.job.str();
  wire.definition = JobToWire(message.spec);
  wire.age_ms = WholeMilliseconds(message.age);
  wire.request = static_cast<int64_t>(message.request);
  wire.admitted_since = static_cast<int64_t>(message.admitted_since);
  envelope.__set_job_notice(wire);
}

void SetMessage(const JobQuery& message, jobs_wire::Envelope& envelope) {
  jobs_wire::JobQuery wire;
  wire.request = static_cast<int64_t>(message.request);
  wire.pool = message.pool.str();
  wire.job = message.job.str();
  wire.cancel = message.cancel;
  envelope.__set_job_query(wire);
}

void SetMessage(const JobAnswer& message, jobs_wire::Envelope& envelope) {
  jobs_wire::JobAnswer wire;
  wire.request = static_cast<int64_t>(message.request);
  wire.state = static_cast<int32_t>(message.state);
  wire.retry_after_ms = WholeMilliseconds(message.retry_after);
  envelope.__set_job_answer(wire);
}

void SetMessage(const VacateRequest& message, jobs_wire::Envelope& envelope) {
  jobs_wire::VacateRequest wire;
  wire.pool = message.pool.str();
  wire.server = message.server.str();
  wire.withdraw = message.withdraw;
  envelope.__set_vacate_request(wire);
}

void SetMessage(const VacateAnswer& message, jobs_wire::Envelope& envelope) {
  jobs_wire::VacateAnswer wire;
  wire.pool = message.pool.str();
  wire.server = message.server.str();
  wire.state = static_cast<int32_t>(message.state);
  wire.token = static_cast<int64_t>(message.token);
  envelope.__set_vacate_answer(wire);
}

// Values of RelayedOrder::kind.
enum OrderKind : int32_t { kStart = 0, kStop = 1, kPoll = 2, kPace = 3 };

jobs_wire::RelayedOrder OrderToWire(const OrderToServer& order) {
  jobs_wire::RelayedOrder wire;
  wire.tag = static_cast<int64_t>(order.tag);
  wire.server = order.server.str();
  wire.address = order.address;
  wire.token = static_cast<int64_t>(order.token);
  if (const auto* start = std::get_if<StartRun>(&order.order)) {
    wire.kind = kStart;
    wire.task = FormatTask(start->task);
    wire.run = static_cast<int32_t>(start->run);
    wire.payload = start->payload;
    wire.lease_until = start->lease_until;
    wire.checkpoint = start->checkpoint;
    wire.ticket = start->ticket;
  } else if (const auto* stop = std::get_if<StopRun>(&order.order)) {
    wire.kind = kStop;
    wire.task = FormatTask(stop->task);
    wire.run = static_cast<int32_t>(stop->run);
  } else if (const auto* server_poll = std::get_if<PollServer>(&order.order)) {
    wire.kind = kPoll;
    wire.lease_until = server_poll->lease_until;
    wire.acknowledged = static_cast<int64_t>(server_poll->acknowledged);
    wire.wait_ms = WholeMilliseconds(server_poll->wait);
  } else if (const auto* pace = std::get_if<PaceRun>(&order.order)) {
    wire.kind = kPace;
    wire.task = FormatTask(pace->task);
    wire.run = static_cast<int32_t>(pace->run);
    wire.pace_percent = static_cast<int32_t>(pace->pace_percent);
  }
  return wire;
}

std::optional<OrderToServer> OrderFromWire(
    const jobs_wire::RelayedOrder& wire) {
  OrderToServer order;
  order.tag = static_cast<uint64_t>(wire.tag);
  order.server = ServerId(wire.server);
  order.address = wire.address;
  order.token = static_cast<FencingToken>(wire.token);
  if (wire.kind == kPoll) {
    order.order =
        PollServer{wire.lease_until, static_cast<uint64_t>(wire.acknowledged),
                   DecodedMilliseconds(wire.wait_ms)};
    return order;
  }
  std::optional<TaskId> task = ParseTask(wire.task);
  if (!task || wire.run < 0)
    return std::nullopt;
  auto run = static_cast<RunNumber>(wire.run);
  switch (wire.kind) {
    case kStart:
      order.order =
          StartRun{*task,           run,        wire.payload, wire.lease_until,
                   wire.checkpoint, wire.ticket};
      return order;
    case kStop:
      order.order = StopRun{*task, run};
      return order;
    case kPace:
      if (wire.pace_percent < 0 || wire.pace_percent > 100)
        return std::nullopt;
      order.order =
          PaceRun{*task, run, static_cast<uint32_t>(wire.pace_percent)};
      return order;
    default:
      return std::nullopt;
  }
}

jobs_wire::RelayedReply ReplyToWire(const ServerReply& reply) {
  jobs_wire::RelayedReply wire;
  wire.tag = static_cast<int64_t>(reply.tag);
  wire.server = reply.server.str();
  wire.outcome = static_cast<int32_t>(reply.outcome);
  if (reply.clock)
    wire.__set_clock_ms(*reply.clock);
  if (reply.incarnation_started_at)
    wire.__set_born_ms(*reply.incarnation_started_at);
  for (const RunningTask& running : reply.running) {
    jobs_wire::RunningRun run;
    run.task = FormatTask(running.task);
    run.run = static_cast<int32_t>(running.run);
    run.checkpoint = running.checkpoint;
    run.progress_percent = static_cast<int32_t>(running.progress_percent);
    run.load = running.load;
    wire.running.push_back(std::move(run));
  }
  for (const EndedRun& ended : reply.ended) {
    jobs_wire::EndedRun run;
    run.sequence = static_cast<int64_t>(ended.sequence);
    run.task = FormatTask(ended.task);
    run.run = static_cast<int32_t>(ended.run);
    run.run_end = static_cast<int32_t>(ended.end);
    run.checkpoint = ended.checkpoint;
    wire.ended.push_back(std::move(run));
  }
  return wire;
}

std::optional<ServerReply> ReplyFromWire(const jobs_wire::RelayedReply& wire) {
  if (wire.outcome < 0 ||
      wire.outcome > static_cast<int>(OrderOutcome::kConnectionLost))
    return std::nullopt;
  ServerReply reply;
  reply.tag = static_cast<uint64_t>(wire.tag);
  reply.server = ServerId(wire.server);
  reply.outcome = static_cast<OrderOutcome>(wire.outcome);
  if (wire.__isset.clock_ms)
    reply.clock = wire.clock_ms;
  if (wire.__isset.born_ms)
    reply.incarnation_started_at = wire.born_ms;
  for (const jobs_wire::RunningRun& run : wire.running) {
    std::optional<TaskId> task = ParseTask(run.task);
    if (!task || run.run < 0 || run.progress_percent < 0)
      return std::nullopt;
    reply.running.push_back(
        {*task, static_cast<RunNumber>(run.run), run.checkpoint,
         static_cast<uint32_t>(run.progress_percent), run.load});
  }
  for (const jobs_wire::EndedRun& run : wire.ended) {
    std::optional<TaskId> task = ParseTask(run.task);
    if (!task || run.run < 0 || run.run_end < 0 ||
        run.run_end > static_cast<int>(RunEnd::kGangAlone))
      return std::nullopt;
    reply.ended.push_back({static_cast<uint64_t>(run.sequence), *task,
                           static_cast<RunNumber>(run.run),
                           static_cast<RunEnd>(run.run_end), run.checkpoint});
  }
  return reply;
}

void SetMessage(const OrderBatch& message, jobs_wire::Envelope& envelope) {
  jobs_wire::OrderBatch wire;
  wire.session = static_cast<int64_t>(message.session);
  for (const OrderToServer& order : message.orders)
    wire.orders.push_back(OrderToWire(order));
  wire.valid_until_ms = WholeMilliseconds(message.valid_until);
  envelope.__set_order_batch(wire);
}

void SetMessage(const ReplyBatch& message, jobs_wire::Envelope& envelope) {
  jobs_wire::ReplyBatch wire;
  wire.session = static_cast<int64_t>(message.session);
  for (const ServerReply& reply : message.replies)
    wire.replies.push_back(ReplyToWire(reply));
  wire.clock_ms = WholeMilliseconds(message.clock);
  envelope.__set_reply_batch(wire);
}

// An order or reply that cannot be decoded is left out of its batch. The owner
// then finds the order unanswered.
OrderBatch OrderBatchFromWire(const jobs_wire::OrderBatch& wire) {
  OrderBatch batch{static_cast<uint64_t>(wire.session),
                   {},
                   DecodedMilliseconds(wire.valid_until_ms)};
  for (const jobs_wire::RelayedOrder& wire_order : wire.orders) {
    if (std::optional<OrderToServer> order = OrderFromWire(wire_order))
      batch.orders.push_back(std::move(*order));
  }
  return batch;
}

ReplyBatch ReplyBatchFromWire(const jobs_wire::ReplyBatch& wire) {
  ReplyBatch batch{static_cast<uint64_t>(wire.session),
                   {},
                   DecodedMilliseconds(wire.clock_ms)};
  for (const jobs_wire::RelayedReply& wire_reply : wire.replies) {
    if (std::optional<ServerReply> reply = ReplyFromWire(wire_reply))
      batch.replies.push_back(std::move(*reply));
  }
  return batch;
}

OwnerHeartbeat HeartbeatFromWire(const jobs_wire::OwnerBeat& wire) {
  OwnerHeartbeat message;
  message.pool = PoolId(wire.pool);
  message.token = static_cast<FencingToken>(wire.token);
  message.lease_version = static_cast<RowVersion>(wire.lease_version);
  message.renewed_age = DecodedMilliseconds(wire.renewed_age_ms);
  for (const jobs_wire::QueueLoad& wire_load : wire.queues) {
    message.queues.push_back(
        {QueueId(wire_load.queue),
         static_cast<uint32_t>(wire_load.pending),
         DecodedMilliseconds(wire_load.wait_ms),
         static_cast<ConfigVersion>(wire_load.open_since),
         {wire_load.earlier_pools.begin(), wire_load.earlier_pools.end()}});
  }
  message.partial_queues = wire.partial_queues;
  message.released = wire.released;
  message.successor = MemberId(wire.successor);
  message.figures_missing = wire.figures_missing;
  message.demand_cores = wire.demand_cores;
  message.offered_cores = wire.offered_cores;
  message.backlog_cores = wire.backlog_cores;
  message.capacity_cores = wire.capacity_cores;
  message.silent_servers = static_cast<uint32_t>(wire.silent_servers);
  for (const std::string& zone : wire.silent_zones)
    message.silent_zones.emplace_back(zone);
  message.servers = static_cast<uint32_t>(wire.servers);
  message.min_servers = static_cast<uint32_t>(wire.min_servers);
  for (const std::string& server : wire.spare_servers)
    message.spare_servers.emplace_back(server);
  return message;
}

std::optional<JobPeerMessage> MessageFromWire(
    const jobs_wire::Envelope& envelope) {
  if (envelope.__isset.owner_beat)
    return HeartbeatFromWire(envelope.owner_beat);
  if (envelope.__isset.job_notice) {
    const jobs_wire::JobNotice& wire = envelope.job_notice;
    return JobNotice{PoolId(wire.pool),
                     JobId(wire.job),
                     JobFromWire(wire.definition),
                     DecodedMilliseconds(wire.age_ms),
                     static_cast<uint64_t>(wire.request),
                     static_cast<ConfigVersion>(wire.admitted_since)};
  }
  if (envelope.__isset.job_query) {
    const jobs_wire::JobQuery& wire = envelope.job_query;
    return JobQuery{static_cast<uint64_t>(wire.request), PoolId(wire.pool),
                    JobId(wire.job), wire.cancel};
  }
  if (envelope.__isset.job_answer) {
    const jobs_wire::JobAnswer& wire = envelope.job_answer;
    if (wire.state < 0 ||
        wire.state > static_cast<int>(JobAnswerState::kNotAdmitted))
      return std::nullopt;
    return JobAnswer{static_cast<uint64_t>(wire.request),
                     static_cast<JobAnswerState>(wire.state),
                     DecodedMilliseconds(wire.retry_after_ms)};
  }
  if (envelope.__isset.vacate_request) {
    const jobs_wire::VacateRequest& wire = envelope.vacate_request;
    return VacateRequest{PoolId(wire.pool), ServerId(wire.server),
                         wire.withdraw};
  }
  if (envelope.__isset.vacate_answer) {
    const jobs_wire::VacateAnswer& wire = envelope.vacate_answer;
    if (wire.state < 0 ||
        wire.state > static_cast<int>(VacateState::kUnknownServer))
      return std::nullopt;
    return VacateAnswer{PoolId(wire.pool), ServerId(wire.server),
                        static_cast<VacateState>(wire.state),
                        static_cast<FencingToken>(wire.token)};
  }
  if (envelope.__isset.order_batch)
    return OrderBatchFromWire(envelope.order_batch);
  if (envelope.__isset.reply_batch)
    return ReplyBatchFromWire(envelope.reply_batch);
  return std::nullopt;
}

}  // namespace

std::string EncodeJobPeer(const JobPeerEnvelope& envelope) {
  jobs_wire::Envelope wire;
  wire.sender = envelope.sender.str();
  wire.address = envelope.address;
  std::visit([&wire](const auto& message) { SetMessage(message, wire); },
             envelope.message);
  return ToBytes(wire);
}

std::optional<JobPeerEnvelope> DecodeJobPeer(std::string_view bytes) {
  jobs_wire::Envelope wire;
  if (!FromBytes(bytes, wire))
    return std::nullopt;
  std::optional<JobPeerMessage> message = MessageFromWire(wire);
  if (!message)
    return std::nullopt;
  return JobPeerEnvelope{MemberId(wire.sender), wire.address,
                         std::move(*message)};
}

}  // namespace radishmoor
