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

// An owner in front of a store; its commits are seen one by one.
class OwnerSite {
 public:
  OwnerSite() {
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

  void TakeOver() {
    PoolSchedulerOptions options;
    options.pool = pool_;
    options.node = MemberId("n");
    options.token = ++token_;
    options.lease_taken_at = now_;
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

  // Runs until `commits` more commits were stored, or `length` has passed.
  void Run(Duration length, int commits = 1'000'000) {
    for (Time end = now_ + length; now_ < end && commits > 0;
         now_ += Milliseconds(5)) {
      owner_->Tick(now_, 0, outbox_);
      for (const JobAction& action : outbox_.TakeAllActions()) {
        const auto* call = std::get_if<StoreCall>(&action);
        if (call == nullptr)
          continue;
        const auto* scan = std::get_if<ScanRows>(&call->request);
        if (owner_->loaded() && scan != nullptr && before_inbox_)
          std::exchange(before_inbox_, nullptr)();
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
  // Runs once, before the first reading of the inbox after the load.
  std::function<void()> before_inbox_;
};

// A cancellation that was acknowledged must survive the owner: its mark may be
// removed only once the cancelled state is stored, which other changes may
// delay by several commits.
TEST_CASE("a cancellation survives the owner at any moment", "[scheduler]") {
  for (int commits = 1; commits <= 10; ++commits) {
    INFO("the first owner ends after " << commits << " commits");
    OwnerSite site;
    JobId job("job");
    site.Put(JobKey(site.pool_, job), EncodeJob(OneTask()));
    site.TakeOver();
    site.Run(Milliseconds(500));
    site.Put(InboxKey(site.pool_, kInboxCancelled, job), "");
    bool polled = false;
    site.before_inbox_ = [&site, &polled] {
      polled = true;
      for (int i = 0; i < 200; ++i) {
        site.owner_->OnJobNotice(
            site.now_, MemberId("m"), "",
            {site.pool_, JobId("other" + std::to_string(i)), OneTask(), {}, 1},
            site.outbox_);
      }
    };
    while (!polled)
      site.Run(Milliseconds(5));
    site.Run(Seconds(1), commits);
    site.TakeOver();
    site.Run(Seconds(5));
    std::optional<StoredProgress> progress =
        DecodeProgress(site.Read(ProgressKey(site.pool_, job)).value);
    REQUIRE(progress);
    REQUIRE(progress->state == JobState::kCancelled);
    REQUIRE(site.Read(InboxKey(site.pool_, kInboxCancelled, job)).version == 0);
  }
}

// Inbox rows must go even while many jobs change all the time.
TEST_CASE("the inbox is emptied beside many changes", "[scheduler]") {
  OwnerSite site;
  for (int i = 0; i < 400; ++i) {
    JobId job("a" + std::to_string(100 + i));
    site.Put(JobKey(site.pool_, job), EncodeJob(OneTask()));
    site.Put(InboxKey(site.pool_, kInboxSubmitted, job), "");
  }
  site.TakeOver();
  site.Run(Seconds(10));
  RowsReply left =
      std::get<RowsReply>(site.table_.Handle(ScanRows{"inbox/a/", "", 1000}));
  REQUIRE(left.rows.empty());
}

// A row of another writer must not end the process or hide other jobs.
TEST_CASE("unreadable rows are passed over", "[scheduler]") {
  OwnerSite site;
  JobId good("good");
  site.Put(JobKey(site.pool_, JobId("bad")), "no job");
  site.Put(ProgressKey(site.pool_, JobId("bad2")), "no progress");
  site.Put("inbox/a/nonsense", "");
  site.Put(JobKey(site.pool_, good), EncodeJob(OneTask()));
  site.TakeOver();
  site.Run(Seconds(3));
  REQUIRE(site.owner_->loaded());
  REQUIRE(site.owner_->state().jobs.Find(good) != nullptr);
  REQUIRE(site.owner_->state().counters.unreadable_rows == 3);
}

// Guards against commits that are full with few jobs: while the store is slow,
// one commit a second takes up all that arrives.
TEST_CASE("a commit takes up many new jobs", "[scheduler]") {
  OwnerSite site;
  site.TakeOver();
  site.Run(Seconds(1));
  constexpr int kJobs = 160;
  for (int i = 0; i < kJobs; ++i) {
    site.owner_->OnJobNotice(
        site.now_, MemberId("m"), "",
        {site.pool_, JobId("job" + std::to_string(1000 + i)), OneTask(), {}, 1},
        site.outbox_);
  }
  site.Run(Seconds(1), 2);
  RowsReply stored =
      std::get<RowsReply>(site.table_.Handle(ScanRows{"jobs/a/", "", 1000}));
  REQUIRE(stored.rows.size() == kJobs);
  // A successor finds them all.
  site.TakeOver();
  site.Run(Seconds(1));
  REQUIRE(site.owner_->state().jobs.open().size() == kJobs);
}

// Guards against a report that leaves out open jobs without a word, or lists
// ended ones.
TEST_CASE("the report lists open jobs, the oldest first", "[scheduler]") {
  OwnerSite site;
  site.TakeOver();
  site.Run(Seconds(1));
  for (size_t i = 0; i < kMaxReportedJobs + 5; ++i) {
    site.owner_->OnJobNotice(
        site.now_, MemberId("m"), "",
        {site.pool_, JobId("job" + std::to_string(1000 + i)), OneTask(), {}, 1},
        site.outbox_);
    site.Run(Milliseconds(5));
  }
  std::string report = PoolReport(site.now_, *site.owner_);
  REQUIRE(report.starts_with("pool a token=1 loaded=1"));
  REQUIRE(report.find("queue q pending=105") != std::string::npos);
  REQUIRE(report.find("job job1000 ") < report.find("job job1001 "));
  REQUIRE(report.find("and 5 more jobs") != std::string::npos);
  REQUIRE(report.find("job job1104 ") == std::string::npos);
}

}  // namespace
}  // namespace radishmoor
