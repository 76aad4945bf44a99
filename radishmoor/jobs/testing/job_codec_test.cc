#include <rapidcheck.h>
#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <fstream>
#include <set>

#include "radishmoor/jobs/job_peer_codec.h"
#include "radishmoor/jobs/job_rows.h"

namespace radishmoor {
namespace {

JobSpec SampleJob() {
  JobSpec spec;
  spec.queue = QueueId("q");
  spec.payload = std::string("bytes \0 \xff", 9);
  StepSpec first;
  first.count = 3;
  first.request = {500, 256, 1};
  first.estimate = Milliseconds(900);
  first.checkpointing = true;
  first.requirement = "b";
  first.data_rack = RackId("r1-3");
  StepSpec second;
  second.after = {0};
  second.long_running = true;
  second.max_per_server = 1;
  second.tail_limit = Milliseconds(40);
  second.allowed_missing = 2;
  spec.steps = {first, second};
  spec.submitted_at = 1'800'000'000'123;
  spec.queue_settings = QueueSettings{2, 3, 1.6, Milliseconds(600), true};
  return spec;
}

TEST_CASE("a decoded job equals the encoded one", "[codec]") {
  JobSpec spec = SampleJob();
  std::optional<JobSpec> decoded = DecodeJob(EncodeJob(spec));
  REQUIRE(decoded);
  REQUIRE(decoded->payload == spec.payload);
  REQUIRE(decoded->steps.size() == 2);
  REQUIRE(decoded->steps[0].request == spec.steps[0].request);
  REQUIRE(decoded->steps[0].checkpointing);
  REQUIRE_FALSE(decoded->steps[0].gang);
  REQUIRE(decoded->steps[0].data_rack == RackId("r1-3"));
  REQUIRE(decoded->steps[1].after == std::vector<uint32_t>{0});
  REQUIRE(decoded->steps[1].long_running);
  REQUIRE(decoded->steps[1].tail_limit == Milliseconds(40));
  REQUIRE(decoded->submitted_at == spec.submitted_at);
  REQUIRE(decoded->queue_settings == spec.queue_settings);
  spec.queue_settings.reset();
  REQUIRE_FALSE(DecodeJob(EncodeJob(spec))->queue_settings);
}

// Guards against a damaged row whose job would fail at once, or whose objective
// would not be a valid time.
TEST_CASE("damaged queue settings are replaced by valid ones", "[codec]") {
  JobSpec spec = SampleJob();
  spec.queue_settings = QueueSettings{0, 0, 1e300, Duration::zero(), false};
  std::optional<JobSpec> decoded = DecodeJob(EncodeJob(spec));
  REQUIRE(decoded);
  REQUIRE(decoded->queue_settings->max_attempts == 1);
  REQUIRE(decoded->queue_settings->slack_factor == 1.0);
}

TEST_CASE("decoded progress and lease rows equal the encoded ones", "[codec]") {
  StoredProgress progress;
  progress.state = JobState::kInProgress;
  progress.begun = true;
  progress.finished_below = 2;
  progress.occurrences.push_back(
      {2,
       {{1, true, 1, 3, "", {}},
        {4, false, 0, 1, "c", {{1, ServerId("s"), true}}}}});
  std::optional<StoredProgress> decoded =
      DecodeProgress(EncodeProgress(progress));
  REQUIRE(decoded);
  REQUIRE(decoded->finished_below == 2);
  REQUIRE(decoded->occurrences.size() == 1);
  REQUIRE(decoded->occurrences[0].tasks[0].done);
  REQUIRE(decoded->occurrences[0].tasks[1].runs[0].server == ServerId("s"));
  REQUIRE(decoded->occurrences[0].tasks[1].runs[0].stop_wanted);

  LeaseRow lease{MemberId("n"), "10.0.0.1:1",      7, 9, true,
                 MemberId("m"), Milliseconds(1234)};
  lease.vacating_servers = {ServerId("s1"), ServerId("s2")};
  std::optional<LeaseRow> row = DecodeLease(EncodeLease(lease));
  REQUIRE(row);
  REQUIRE(row->token == 7);
  REQUIRE(row->other_leases_remaining == Milliseconds(1234));
  REQUIRE(row->vacating_servers == lease.vacating_servers);
  REQUIRE(row->released);
}

TEST_CASE("decoded queue rows equal the encoded ones", "[codec]") {
  QueueAdmissionRow admission{
      QueueId("host/path/"), true, 12, {PoolId("a"), PoolId("b")}};
  REQUIRE(DecodeQueueAdmission(EncodeQueueAdmission(admission)) == admission);
  REQUIRE(DecodeQueuePools(EncodeQueuePools(admission.earlier_pools)) ==
          admission.earlier_pools);
  // A queue's path may be longer than the key of a row.
  QueueId long_queue(std::string(500, 'x'));
  REQUIRE(QueueAdmissionKey(PoolId("p"), long_queue).size() < 100);
  REQUIRE(QueueAdmissionKey(PoolId("p"), long_queue) !=
          QueuePoolsKey(long_queue));
}

TEST_CASE("decoded peer messages equal the encoded ones", "[codec]") {
  OwnerHeartbeat heartbeat;
  heartbeat.pool = PoolId("p");
  heartbeat.token = 4;
  heartbeat.queues = {
      {QueueId("q"), 12, Milliseconds(700), 9, {PoolId("a"), PoolId("b")}}};
  heartbeat.spare_servers = {ServerId("s1"), ServerId("s2")};
  heartbeat.min_servers = 5;
  std::optional<JobPeerEnvelope> envelope =
      DecodeJobPeer(EncodeJobPeer({MemberId("n"), "10.0.0.1:1", heartbeat}));
  REQUIRE(envelope);
  const auto& decoded = std::get<OwnerHeartbeat>(envelope->message);
  REQUIRE(decoded.queues[0].pending == 12);
  REQUIRE(decoded.queues[0].open_since == 9);
  REQUIRE(decoded.queues[0].earlier_pools == heartbeat.queues[0].earlier_pools);
  REQUIRE(decoded.spare_servers == heartbeat.spare_servers);
  REQUIRE(decoded.min_servers == 5);

  JobNotice notice{PoolId("p"),     JobId("j"), SampleJob(),
                   Milliseconds(5), 77,         9};
  envelope = DecodeJobPeer(EncodeJobPeer({MemberId("n"), "", notice}));
  REQUIRE(envelope);
  REQUIRE(std::get<JobNotice>(envelope->message).request == 77);
  REQUIRE(std::get<JobNotice>(envelope->message).admitted_since == 9);
  REQUIRE(std::get<JobNotice>(envelope->message).spec.payload ==
          notice.spec.payload);
}

TEST_CASE("decoded batches of orders and replies equal the encoded ones",
          "[codec]") {
  TaskId task{JobId("5c0e7a21d94b36f8"), 3, 1, 17};
  OrderBatch orders{9, {}, Milliseconds(5555)};
  for (const ServerOrder& order : std::initializer_list<ServerOrder>{
           StartRun{task, 4, "payload", 900, "cp", "ticket"}, StopRun{task, 4},
           PollServer{800, 57, Milliseconds(700)}, PaceRun{task, 4, 35}})
    orders.orders.push_back(
        {orders.orders.size() + 1, ServerId("s"), "10.0.0.1:1", 7, order});
  auto envelope = DecodeJobPeer(EncodeJobPeer({MemberId("n"), "a", orders}));
  REQUIRE(envelope);
  const auto& decoded = std::get<OrderBatch>(envelope->message);
  REQUIRE(decoded.session == 9);
  REQUIRE(decoded.valid_until == Milliseconds(5555));
  REQUIRE(decoded.orders.size() == 4);
  REQUIRE(decoded.orders[3].tag == 4);
  REQUIRE(decoded.orders[0].token == 7);
  const auto& start = std::get<StartRun>(decoded.orders[0].order);
  REQUIRE(start.task == task);
  REQUIRE(start.run == 4);
  REQUIRE(start.payload == "payload");
  REQUIRE(start.lease_until == 900);
  REQUIRE(start.checkpoint == "cp");
  REQUIRE(start.ticket == "ticket");
  REQUIRE(std::get<StopRun>(decoded.orders[1].order).task == task);
  const auto& server_poll = std::get<PollServer>(decoded.orders[2].order);
  REQUIRE(server_poll.lease_until == 800);
  REQUIRE(server_poll.acknowledged == 57);
  REQUIRE(server_poll.wait == Milliseconds(700));
  REQUIRE(std::get<PaceRun>(decoded.orders[3].order).pace_percent == 35);

  ServerReply reply;
  reply.tag = 12;
  reply.server = ServerId("s");
  reply.outcome = OrderOutcome::kNoRoom;
  reply.clock = 482113;
  reply.incarnation_started_at = 77;
  reply.running = {{task, 4, "cp", 41, 12}};
  reply.ended = {{58, task, 5, RunEnd::kLeaseExpired, "cp2"}};
  envelope = DecodeJobPeer(EncodeJobPeer(
      {MemberId("n"), "a", ReplyBatch{9, {reply, {}}, Milliseconds(4444)}}));
  REQUIRE(envelope);
  const auto& replies = std::get<ReplyBatch>(envelope->message);
  REQUIRE(replies.replies.size() == 2);
  REQUIRE(replies.clock == Milliseconds(4444));
  const ServerReply& first = replies.replies[0];
  REQUIRE(first.tag == 12);
  REQUIRE(first.outcome == OrderOutcome::kNoRoom);
  REQUIRE(first.clock == 482113);
  REQUIRE(first.incarnation_started_at == 77);
  REQUIRE(first.running[0].task == task);
  REQUIRE(first.running[0].progress_percent == 41);
  REQUIRE(first.running[0].load == 12);
  REQUIRE(first.ended[0].sequence == 58);
  REQUIRE(first.ended[0].run == 5);
  REQUIRE(first.ended[0].end == RunEnd::kLeaseExpired);
  REQUIRE(first.ended[0].checkpoint == "cp2");
  REQUIRE_FALSE(replies.replies[1].clock);
  REQUIRE(replies.replies[1].outcome == OrderOutcome::kUnanswered);
}

// Guards against a process that crashes on malformed rows or messages.
// Guards against a damaged duration that overflows when it is turned into the
// unit of Duration, or added to a time. Found by tools/fuzz.
TEST_CASE("a damaged duration does not overflow", "[codec]") {
  OwnerHeartbeat heartbeat;
  heartbeat.pool = PoolId("p");
  heartbeat.renewed_age = Milliseconds(12345);
  std::string bytes = EncodeJobPeer({MemberId("n"), "n:1", heartbeat});
  const std::string encoded = "\xf2\xc0\x01";  // 12345 as zigzag varint.
  const std::string least = "\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01";
  size_t at = bytes.find(encoded);
  REQUIRE(at != std::string::npos);
  bytes.replace(at, encoded.size(), least);
  std::optional<JobPeerEnvelope> envelope = DecodeJobPeer(bytes);
  REQUIRE(envelope.has_value());
  const auto& decoded = std::get<OwnerHeartbeat>(envelope->message);
  constexpr Duration kYear = Seconds(365 * 24 * 3600);
  REQUIRE(decoded.renewed_age < -kYear);
  REQUIRE(decoded.renewed_age > -100 * kYear);
}

// Returns the most address space that this process has used, in KB.
uint64_t PeakAddressSpaceKb() {
  std::ifstream status("/proc/self/status");
  std::string word;
  uint64_t peak = 0;
  while (status >> word) {
    if (word == "VmPeak:")
      status >> peak;
  }
  return peak;
}

// Guards against a small damaged message that announces a string of more than 1
// GB, which was allocated before its length was compared with the message. A
// process of 160 MB ended. Found by tools/fuzz.
TEST_CASE("a damaged length allocates no more than the message", "[codec]") {
  // A field that the envelope does not know, with a length of 1.25 * 2^30.
  const std::string damaged = "\xf8\x80\x80\x80\x80\x05";
  constexpr uint64_t kLimitKb = 64 * 1024;
  uint64_t before = PeakAddressSpaceKb();
  REQUIRE(before > 0);
  REQUIRE_FALSE(DecodeJobPeer(damaged).has_value());
  REQUIRE(PeakAddressSpaceKb() < before + kLimitKb);
}

TEST_CASE("decoders do not throw on arbitrary or truncated bytes", "[codec]") {
  rc::prop("decoders do not throw on arbitrary bytes",
           [](const std::string& bytes) {
             DecodeJob(bytes);
             DecodeProgress(bytes);
             DecodeLease(bytes);
             DecodeQueueAdmission(bytes);
             DecodeQueuePools(bytes);
             ParseProgressRowName(bytes);
             DecodeNode(bytes);
             DecodeHostOperation(bytes);
             DecodeJobPeer(bytes);
           });
  rc::prop("the job decoder does not throw on truncated bytes", [] {
    std::string bytes = EncodeJob(SampleJob());
    auto size = *rc::gen::inRange<size_t>(0, bytes.size());
    DecodeJob(std::string_view(bytes).substr(0, size));
  });
}

TEST_CASE("a formatted task id is parsed back and malformed ones are refused",
          "[codec]") {
  TaskId task{JobId("5c0e7a21d94b36f8"), 3, 1, 17};
  REQUIRE(FormatTask(task) == "5c0e7a21d94b36f8.3.1.17");
  REQUIRE(ParseTask(FormatTask(task)) == task);
  REQUIRE_FALSE(ParseTask("a.b.c.d"));
  REQUIRE_FALSE(ParseTask("1.2.3"));
  REQUIRE_FALSE(ParseTask(""));
}

// Guards against jobs that could never end or would need unbounded memory.
TEST_CASE("jobs with impossible steps or excessive sizes are refused",
          "[codec]") {
  JobSpec spec = SampleJob();
  REQUIRE_FALSE(CheckJob(spec));
  spec.steps[0].after = {1};
  REQUIRE(CheckJob(spec) == "the steps wait for each other");
  spec.steps[0].after = {5};
  REQUIRE(CheckJob(spec));
  spec = SampleJob();
  spec.payload.assign(kMaxPayloadBytes + 1, 'x');
  REQUIRE(CheckJob(spec));
  spec = SampleJob();
  spec.steps[0].count = 0;
  REQUIRE(CheckJob(spec));
  spec.steps[0].count = kMaxTasksPerJob + 1;
  REQUIRE(CheckJob(spec));
  spec.steps.clear();
  REQUIRE(CheckJob(spec));
}

// Guards against a progress row that is larger than the store takes.
TEST_CASE("the progress of the largest job fits into rows and one commit",
          "[codec]") {
  constexpr size_t kRow = 48 * 1024;
  constexpr size_t kCommit = 600 * 1024;
  size_t checkpoint = GENERATE(0, 16, 300, 5000);
  StoredProgress progress;
  progress.state = JobState::kInProgress;
  progress.begun = true;
  progress.finished_below = 7;
  progress.occurrences = {{7, {}}, {8, {}}};
  for (uint32_t i = 0; i < kMaxTasksPerJob; ++i) {
    StoredTask task;
    task.position = i;
    task.failures = 2;
    task.last_run = 3;
    task.checkpoint = std::string(checkpoint, 'c');
    task.unanswered_servers = {ServerId(std::string(20, 's'))};
    task.runs = {{3, ServerId("i-0123456789abcdef")}};
    progress.occurrences[i % 2].tasks.push_back(std::move(task));
  }
  std::vector<std::string> rows = EncodeProgressRows(progress, kRow, kCommit);
  CHECK(rows.size() < 90);
  size_t bytes = 0;
  std::set<uint32_t> positions;
  for (size_t i = 0; i < rows.size(); ++i) {
    CHECK(rows[i].size() <= kRow);
    bytes += rows[i].size();
    std::optional<StoredProgress> row = DecodeProgress(rows[i]);
    REQUIRE(row);
    if (i == 0) {
      CHECK(row->state == JobState::kInProgress);
      CHECK(row->finished_below == 7);
      CHECK(row->further_rows == rows.size() - 1);
    }
    for (const StoredOccurrence& occurrence : row->occurrences) {
      for (const StoredTask& task : occurrence.tasks) {
        CHECK(task.position % 2 == occurrence.number - 7);
        CHECK(task.failures == 2);
        CHECK(task.runs.size() == 1);
        positions.insert(task.position);
      }
    }
  }
  CHECK(positions.size() == kMaxTasksPerJob);
  CHECK(bytes <= kCommit);
}

// Guards against rows of one job that are taken for another job's.
TEST_CASE("the names of progress rows can be read back", "[codec]") {
  PoolId pool("p");
  JobId job("0123456789abcdef");
  auto name = [](const std::string& key) {
    return ParseProgressRowName(LastKeyPart(key));
  };
  CHECK(name(ProgressKey(pool, job))->job == job);
  CHECK(name(ProgressKey(pool, job))->number == 0);
  CHECK(name(FurtherProgressKey(pool, job, 12))->job == job);
  CHECK(name(FurtherProgressKey(pool, job, 12))->number == 12);
  CHECK_FALSE(ParseProgressRowName("0123456789abcdef.x"));
  CHECK_FALSE(ParseProgressRowName("0123456789abcdef.0"));
}

}  // namespace
}  // namespace radishmoor
