#include "radishmoor/jobs/pool_scheduler.h"

#include <catch2/catch.hpp>
#include <functional>
#include <utility>

#include "radishmoor/jobs/pool_report.h"
#include "radishmoor/store/memory_table.h"

namespace radishmoor {
namespace {

JobSpec OneTask() {
  JobSpec spec;
  spec.queue = QueueId("q");
  spec.payload = "p";
  StepSpec step;
  step.request = {1000, 100, 0};
  step.estimate = Milliseconds(500);
  spec.steps = {step};
  return spec;
}

// Runs a pool's owner against a table in memory, in virtual time, and can stop
// after any number of commits.
class OwnerHarness {
 public:
  OwnerHarness() {
    config_.version = 1;
    config_.pools = {{pool_}};
    QueueConfig queue;
    queue.id = QueueId("q");
    queue.pool = pool_;
    config_.queues = {queue};
  }

  void Put(const std::string& key, const std::string& value) {
    Transaction transaction;
    transaction.writes.push_back({key, value});
    table_.Handle(CommitRows{transaction});
  }

  // Starts a new owner, which takes the lease from the one before, if any. It
  // finds the servers in the row that the one before was emptying.
  void TakeOver() {
    PoolSchedulerOptions options;
    options.pool = pool_;
    options.node = MemberId("n");
    options.token = ++token_;
    options.lease_taken_at = now_;
    options.earlier_orders_until = earlier_orders_until_;
    if (std::optional<LeaseRow> before =
            DecodeLease(Read(OwnerLeaseKey(pool_)).value))
      options.vacating_servers = before->vacating_servers;
    LeaseRow lease;
    lease.holder = options.node;
    lease.token = token_;
    Transaction transaction;
    transaction.writes.push_back({OwnerLeaseKey(pool_), EncodeLease(lease)});
    options.lease_version =
        std::get<CommittedReply>(table_.Handle(CommitRows{transaction}))
            .versions[0];
    owner_ = std::make_unique<PoolScheduler>(options, config_, outbox_);
  }

  // Runs until the owner has sent `commits` commits, or `length` has passed.
  void Run(Duration length, int commits = 1'000'000) {
    for (Time end = now_ + length; now_ < end && commits > 0;
         now_ += Milliseconds(5)) {
      owner_->Tick(now_, 0, outbox_);
      for (const JobAction& action : outbox_.TakeAllActions()) {
        const auto* call = std::get_if<StoreCall>(&action);
        if (call == nullptr)
          continue;
        const auto* scan = std::get_if<ScanRows>(&call->request);
        if (owner_->loaded() && scan != nullptr && before_inbox_scan_)
          std::exchange(before_inbox_scan_, nullptr)();
        commits -= std::holds_alternative<CommitRows>(call->request) ? 1 : 0;
        owner_->OnStoreAnswer(
            now_, 0, {call->tag, table_.Handle(call->request)}, outbox_);
      }
    }
  }

  Row Read(const std::string& key) {
    return std::get<RowsReply>(table_.Handle(ReadRows{{key}})).rows[0];
  }

  PoolId pool_{"a"};
  JobConfig config_;
  MemoryTable table_;
  Outbox outbox_;
  Time now_ = kTimeZero + Seconds(100);
  std::unique_ptr<PoolScheduler> owner_;
  FencingToken token_ = 0;
  Time earlier_orders_until_;  // PoolSchedulerOptions::earlier_orders_until.
  // Called once, before the first scan of the inbox by an owner that has loaded
  // the pool.
  std::function<void()> before_inbox_scan_;
};

// Lists a server of the pool to the owner.
ServerId AddServer(OwnerHarness& harness) {
  ServerListing listing;
  listing.id = ServerId("s");
  listing.pool = harness.pool_;
  listing.address = "10.0.0.1:1";
  harness.owner_->OnServerList(harness.now_, {&listing, 1}, harness.outbox_);
  return listing.id;
}

VacateState AnswerVacateRequest(OwnerHarness& harness, const ServerId& id) {
  harness.outbox_.TakeAllActions();
  harness.owner_->OnVacateRequest(harness.now_, MemberId("c"), "10.0.0.2:1",
                                  {harness.pool_, id}, harness.outbox_);
  for (const JobAction& action : harness.outbox_.TakeAllActions()) {
    if (const auto* peer = std::get_if<SendJobPeer>(&action))
      return std::get<VacateAnswer>(peer->message).state;
  }
  return VacateState::kUnknownServer;
}

// Guards against tasks that start again while a lease lasts that an order
// granted which was meant for an earlier incarnation of their server.
TEST_CASE("a new owner counts with the longest leases that servers allow",
          "[scheduler]") {
  OwnerHarness harness;
  harness.earlier_orders_until_ = harness.now_;
  harness.TakeOver();
  harness.Run(Milliseconds(100));
  ServerId id = AddServer(harness);
  const ServerState& server = harness.owner_->state().servers.all().at(id);
  Time orders_arrived = harness.earlier_orders_until_ + kOrderArrivalLimit;
  REQUIRE_FALSE(server.doubt.LeasesExpired(orders_arrived + Seconds(6)));
  harness.Run(Milliseconds(300));
  std::optional<LeaseRow> row =
      DecodeLease(harness.Read(OwnerLeaseKey(harness.pool_)).value);
  REQUIRE(harness.now_ + row->other_leases_remaining >
          orders_arrived + Seconds(6));
  // The first answer to this owner shuts out all earlier orders.
  harness.now_ += Milliseconds(1);
  harness.owner_->OnServerList(harness.now_, {&server.listing, 1},
                               harness.outbox_);
  ServerReply reply;
  reply.tag = server.poll_tag;
  reply.server = id;
  reply.outcome = OrderOutcome::kDone;
  reply.clock = 50;
  reply.incarnation_started_at = 1'800'000'000'000;
  REQUIRE(harness.owner_->OnServerReply(harness.now_, reply, harness.outbox_));
  REQUIRE_FALSE(server.doubt.LeasesExpired(harness.now_ + Seconds(6)));
  REQUIRE(server.doubt.LeasesExpired(harness.now_ + Milliseconds(6200)));
}

// Guards against tasks that are started on a server that is being emptied and
// stopped there soon after, by owner after owner; and against servers that stay
// unused because each of several owners keeps them empty anew.
TEST_CASE("a new owner starts nothing on a server that is being emptied",
          "[scheduler]") {
  for (bool withdrawn : {false, true}) {
    OwnerHarness harness;
    harness.TakeOver();
    harness.Run(Milliseconds(500));
    ServerId server = AddServer(harness);
    REQUIRE(AnswerVacateRequest(harness, server) == VacateState::kEmpty);
    if (withdrawn)
      harness.owner_->OnVacateRequest(harness.now_, MemberId("c"), "10.0.0.2:1",
                                      {harness.pool_, server, true},
                                      harness.outbox_);
    harness.Run(Milliseconds(500));
    auto is_vacating = [&harness, &server] {
      const auto& servers = harness.owner_->state().servers.all();
      auto found = servers.find(server);
      return found != servers.end() && found->second.vacating;
    };
    harness.TakeOver();
    harness.Run(Milliseconds(100));
    REQUIRE(is_vacating() == !withdrawn);
    // A third owner within that time finds only requests to the second one.
    if (!withdrawn) {
      harness.TakeOver();
      harness.Run(Milliseconds(100));
      REQUIRE_FALSE(is_vacating());
    }
  }
}

// Guards against a maintenance call for a server on which another owner has
// started tasks: the earlier owner, which was cut off, still answered that the
// server is empty.
TEST_CASE("an owner whose lease may be over does not call a server empty",
          "[scheduler]") {
  OwnerHarness harness;
  harness.TakeOver();
  harness.Run(Milliseconds(500));
  ServerId server = AddServer(harness);
  REQUIRE(AnswerVacateRequest(harness, server) == VacateState::kEmpty);
  harness.now_ += kOwnerLeaseLength + Seconds(1);
  REQUIRE(AnswerVacateRequest(harness, server) == VacateState::kEmptying);
}

// Guards against a process that wakes without pause while it releases a pool
// and the configuration changes.
TEST_CASE("an owner that releases its pool sleeps until that is stored",
          "[scheduler]") {
  OwnerHarness harness;
  harness.TakeOver();
  harness.Run(Milliseconds(500));
  harness.owner_->Release(MemberId("m"));
  harness.owner_->Tick(harness.now_, 0, harness.outbox_);
  ++harness.config_.version;
  harness.owner_->OnConfig(harness.config_);
  harness.now_ += Milliseconds(1);
  harness.owner_->Tick(harness.now_, 0, harness.outbox_);
  REQUIRE(harness.owner_->next_wake() > harness.now_);
}

// Guards against a lost cancellation: the owner must not remove its inbox row
// before the cancelled state is stored, which other changes may delay by
// several commits.
TEST_CASE("a stored cancellation survives the end of its owner",
          "[scheduler]") {
  for (int commits = 1; commits <= 10; ++commits) {
    INFO("the first owner ends after " << commits << " commits");
    OwnerHarness harness;
    JobId job("job");
    harness.Put(JobKey(harness.pool_, job), EncodeJob(OneTask()));
    harness.TakeOver();
    harness.Run(Milliseconds(500));
    harness.Put(InboxKey(harness.pool_, kInboxCancelled, job), "");
    bool polled = false;
    harness.before_inbox_scan_ = [&harness, &polled] {
      polled = true;
      for (int i = 0; i < 200; ++i) {
        harness.owner_->OnJobNotice(harness.now_, MemberId("m"), "",
                                    {harness.pool_,
                                     JobId("other" + std::to_string(i)),
                                     OneTask(),
                                     {},
                                     1},
                                    harness.outbox_);
      }
    };
    while (!polled)
      harness.Run(Milliseconds(5));
    harness.Run(Seconds(1), commits);
    harness.TakeOver();
    harness.Run(Seconds(5));
    std::optional<StoredProgress> progress =
        DecodeProgress(harness.Read(ProgressKey(harness.pool_, job)).value);
    REQUIRE(progress);
    REQUIRE(progress->state == JobState::kCancelled);
    REQUIRE(
        harness.Read(InboxKey(harness.pool_, kInboxCancelled, job)).version ==
        0);
  }
}

// Guards against a job that fails at its first failure: the new owner of a pool
// has never seen the job's queue, which was removed from the configuration.
TEST_CASE("a job keeps the settings of a removed queue", "[scheduler]") {
  OwnerHarness harness;
  JobSpec spec = OneTask();
  spec.queue_settings = QueueSettings{1, 3, 2.0, Milliseconds(600), true};
  JobId job("job");
  harness.Put(JobKey(harness.pool_, job), EncodeJob(spec));
  harness.config_.queues.clear();
  harness.TakeOver();
  harness.Run(Milliseconds(500));
  const Job* loaded = harness.owner_->state().jobs.Find(job);
  REQUIRE(loaded != nullptr);
  REQUIRE(harness.owner_->state().SettingsOf(loaded->spec) ==
          *spec.queue_settings);
  // 600 ms and twice the estimate of 500 ms.
  REQUIRE(loaded->objective - loaded->arrived == Milliseconds(1600));
  // A configuration that has the queue goes first.
  QueueConfig queue;
  queue.id = spec.queue;
  queue.pool = harness.pool_;
  queue.settings.max_attempts = 5;
  harness.config_.queues = {queue};
  harness.owner_->OnConfig(harness.config_);
  REQUIRE(harness.owner_->state().SettingsOf(loaded->spec).max_attempts == 5);
}

// Guards against inbox rows that are never removed because the changes of many
// jobs fill each commit.
TEST_CASE("inbox rows are removed while many jobs change", "[scheduler]") {
  OwnerHarness harness;
  for (int i = 0; i < 400; ++i) {
    JobId job("a" + std::to_string(100 + i));
    harness.Put(JobKey(harness.pool_, job), EncodeJob(OneTask()));
    harness.Put(InboxKey(harness.pool_, kInboxSubmitted, job), "");
  }
  harness.TakeOver();
  harness.Run(Seconds(10));
  RowsReply left = std::get<RowsReply>(
      harness.table_.Handle(ScanRows{"inbox/a/", "", 1000}));
  REQUIRE(left.rows.empty());
}

// Guards against a row that cannot be decoded ending the process or keeping
// other jobs from being loaded.
TEST_CASE("unreadable rows are skipped and counted", "[scheduler]") {
  OwnerHarness harness;
  JobId good("good");
  harness.Put(JobKey(harness.pool_, JobId("bad")), "no job");
  harness.Put(ProgressKey(harness.pool_, JobId("bad2")), "no progress");
  harness.Put("inbox/a/nonsense", "");
  harness.Put(JobKey(harness.pool_, good), EncodeJob(OneTask()));
  harness.TakeOver();
  harness.Run(Seconds(3));
  REQUIRE(harness.owner_->loaded());
  REQUIRE(harness.owner_->state().jobs.Find(good) != nullptr);
  REQUIRE(harness.owner_->state().counters.unreadable_rows == 3);
}

// Guards against commits that hold only a few new jobs: while the store is
// slow, one commit a second has to store all jobs that arrive.
TEST_CASE("two commits store 160 new jobs", "[scheduler]") {
  OwnerHarness harness;
  harness.TakeOver();
  harness.Run(Seconds(1));
  constexpr int kJobs = 160;
  for (int i = 0; i < kJobs; ++i) {
    harness.owner_->OnJobNotice(harness.now_, MemberId("m"), "",
                                {harness.pool_,
                                 JobId("job" + std::to_string(1000 + i)),
                                 OneTask(),
                                 {},
                                 1,
                                 1},
                                harness.outbox_);
  }
  harness.Run(Seconds(1), 2);
  RowsReply stored =
      std::get<RowsReply>(harness.table_.Handle(ScanRows{"jobs/a/", "", 1000}));
  REQUIRE(stored.rows.size() == kJobs);
  // A successor finds them all.
  harness.TakeOver();
  harness.Run(Seconds(1));
  REQUIRE(harness.owner_->state().jobs.open().size() == kJobs);
}

// Guards against a pool report that omits open jobs without saying how many.
TEST_CASE("the pool report lists the oldest open jobs and counts the rest",
          "[scheduler]") {
  OwnerHarness harness;
  harness.TakeOver();
  harness.Run(Seconds(1));
  for (size_t i = 0; i < kMaxReportedJobs + 5; ++i) {
    harness.owner_->OnJobNotice(harness.now_, MemberId("m"), "",
                                {harness.pool_,
                                 JobId("job" + std::to_string(1000 + i)),
                                 OneTask(),
                                 {},
                                 1,
                                 1},
                                harness.outbox_);
    harness.Run(Milliseconds(5));
  }
  std::string report = FormatPoolReport(harness.now_, *harness.owner_);
  REQUIRE(report.starts_with("pool a token=1 loaded=1"));
  REQUIRE(report.find("queue q pending=105") != std::string::npos);
  REQUIRE(report.find("job job1000 ") < report.find("job job1001 "));
  REQUIRE(report.find("and 5 more jobs") != std::string::npos);
  REQUIRE(report.find("job job1104 ") == std::string::npos);
}

// Guards against jobs that wait past their objective because the adviser is
// busy with the jobs before them.
TEST_CASE("a job that the adviser's pace cannot serve is refused at once",
          "[scheduler]") {
  OwnerHarness harness;
  QueueSettings& settings = harness.config_.queues[0].settings;
  settings.needs_advice = true;
  settings.adviser_pace = {Milliseconds(20), Milliseconds(1)};
  settings.latency_objective = Milliseconds(1000);
  harness.TakeOver();
  harness.Run(Milliseconds(500));
  auto submit = [&harness](const std::string& job, uint64_t request) {
    harness.owner_->OnJobNotice(
        harness.now_, MemberId("m"), "a",
        {harness.pool_, JobId(job), OneTask(), Duration::zero(), request, 1},
        harness.outbox_);
  };
  std::vector<JobAnswer> refusals;
  auto collect = [&] {
    for (const JobPeerMessage& message :
         harness.outbox_.TakeMessagesTo(MemberId("m"))) {
      const auto* answer = std::get_if<JobAnswer>(&message);
      if (answer != nullptr && answer->state == JobAnswerState::kRefused)
        refusals.push_back(*answer);
    }
  };
  for (uint64_t i = 1; i <= 100; ++i)
    submit("job" + std::to_string(i), i);
  collect();
  // A request about 30 servers takes 50 ms, so that 20 of them take 1,000 ms.
  REQUIRE(refusals.size() >= 75);
  REQUIRE(refusals.size() <= 85);
  REQUIRE(refusals.front().retry_after >= Seconds(1));
  // A repeated submission of an accepted job is not refused.
  size_t before = refusals.size();
  submit("job1", 101);
  collect();
  REQUIRE(refusals.size() == before);
}

// Guards against a pool that stands still because the store rejects what one of
// its jobs adds to each commit.
TEST_CASE("a job that the store rejects does not stop the others",
          "[scheduler]") {
  OwnerHarness harness;
  harness.table_.SetRowLimit(2000);
  harness.TakeOver();
  harness.Run(Seconds(1));
  constexpr int kJobs = 40;
  for (int i = 0; i < kJobs; ++i) {
    JobSpec spec = OneTask();
    if (i == 7)
      spec.payload.assign(3000, 'x');
    harness.owner_->OnJobNotice(
        harness.now_, MemberId("m"), "",
        {harness.pool_, JobId("job" + std::to_string(i)), spec, {}, 1, 1},
        harness.outbox_);
  }
  harness.Run(Seconds(1));
  REQUIRE_FALSE(harness.owner_->lost());
  CHECK(harness.owner_->renewed_age(harness.now_) < Seconds(1));
  for (int i = 0; i < kJobs; ++i) {
    CHECK((harness.Read(JobKey(harness.pool_, JobId("job" + std::to_string(i))))
               .version != 0) == (i != 7));
  }
  CHECK(harness.table_.rejections() < 10);
}

// Guards against tasks that run again because a new owner reads only the first
// of the rows that hold a job's progress.
TEST_CASE("a new owner loads progress from several rows", "[scheduler]") {
  OwnerHarness harness;
  JobId job("job");
  JobSpec spec = OneTask();
  spec.steps[0].count = kMaxTasksPerJob;
  harness.Put(JobKey(harness.pool_, job), EncodeJob(spec));
  StoredProgress progress;
  progress.state = JobState::kInProgress;
  progress.occurrences = {{0, {}}};
  for (uint32_t i = 0; i < kMaxTasksPerJob; i += 2)
    progress.occurrences[0].tasks.push_back({i, true, 0, 1, "", {}});
  std::vector<std::string> rows = EncodeProgressRows(progress, 10'000, 600'000);
  REQUIRE(rows.size() > 3);
  harness.Put(ProgressKey(harness.pool_, job), rows[0]);
  for (uint32_t i = 1; i < rows.size(); ++i)
    harness.Put(FurtherProgressKey(harness.pool_, job, i), rows[i]);
  // A row of an earlier time, when there were more.
  harness.Put(FurtherProgressKey(harness.pool_, job,
                                 static_cast<uint32_t>(rows.size())),
              rows[1]);
  harness.TakeOver();
  harness.Run(Seconds(1));
  const Job* loaded = harness.owner_->state().jobs.Find(job);
  REQUIRE(loaded != nullptr);
  REQUIRE(loaded->occurrences.at(0).done_in_step[0] == kMaxTasksPerJob / 2);
}

}  // namespace
}  // namespace radishmoor
