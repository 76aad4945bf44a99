// LOST: one job with many work items stops the whole service. Its stored
// progress exceeds `row_bytes`, the store refuses each commit of the service's
// owner, and no other job of the service runs any more.

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <map>
#include <set>

#include "review/stand-in-2/review_site.h"

using namespace radishmoor;          // NOLINT(google-build-using-namespace)
using namespace radishmoor::review;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;
constexpr int kWideItems = 2500;
constexpr int kWideCpu = 10;
constexpr int kPartItems = 100;
constexpr int kWideRunMs = 60000;
constexpr int kSmallJobs = 8;
constexpr int kSmallItems = 2;
constexpr int kSmallCpu = 500;
constexpr int kSmallRunMs = 1500;
constexpr int kSmallSteps = 3;
constexpr int kTries = 5;                  // The first one and four retries.
constexpr Duration kFinish = Seconds(14);  // finish_s
constexpr Duration kNothing = Seconds(3);  // Of the rule LOST.
constexpr Duration kSample = Milliseconds(50);

class Case {
 public:
  int Run() {
    bool trouble = TroubleWanted();
    site_.SetRoutes({{"prices", "/prices/", "alpha"},
                     {"bulletins", "/bulletins/", "beta"}});
    if (!site_.StartProcesses())
      return kCouldNotRun;
    for (int i = 0; i < kSmallJobs; ++i)
      Submit(kSmallItems, kSmallCpu, kSmallRunMs, kSmallSteps);
    site_.RunFor(Milliseconds(700));
    if (accepted_.size() != kSmallJobs)
      return kCouldNotRun;
    // The same work, as one job or as jobs of 100 work items.
    if (trouble) {
      Submit(kWideItems, kWideCpu, kWideRunMs);
    } else {
      for (int i = 0; i < kWideItems / kPartItems; ++i)
        Submit(kPartItems, kWideCpu, kWideRunMs);
    }
    for (int i = 0; i < kSmallJobs; ++i) {
      site_.RunFor(Seconds(1));
      Submit(kSmallItems, kSmallCpu, kSmallRunMs, kSmallSteps);
    }
    site_.Record("end of the traffic");
    site_.RunFor(kFinish);
    return Judge();
  }

 private:
  void Submit(int items, int cpu, int run_ms, int steps = 1) {
    std::string job = JobIdText(next_job_++);
    site_.NoteCpu(job, cpu);
    items_[job] = items * steps;
    Try(job, JobBody(items, cpu, 10, run_ms, steps), 1);
  }

  void Try(const std::string& job, const std::string& body, int number) {
    auto process = static_cast<int>((next_process_++) % 3);
    site_.Send(process, "POST", "/prices/" + job, body,
               [this, job, body, number](unsigned status, const std::string&) {
                 if (status == 200) {
                   accepted_.insert(job);
                   return;
                 }
                 if (number < kTries)
                   site_.loop().RunAfter(Milliseconds(500),
                                         [this, job, body, number] {
                                           Try(job, body, number + 1);
                                         });
               });
  }

  // Number of work items of the job that have ended 'done'.
  size_t DoneItems(const std::string& job) const {
    std::set<std::string> done;
    for (const SeenRun& run : site_.runs()) {
      if (run.work_item.starts_with(job) && run.how == "done")
        done.insert(run.work_item);
    }
    return done.size();
  }

  // Asks for all accepted jobs and looks for those that have nothing running
  // for 3 s while at most half of the service is in use.
  int Judge() {
    std::map<std::string, Duration> idle;
    std::map<std::string, Duration> longest;
    for (Duration at{}; at < Seconds(6); at += kSample) {
      site_.RunFor(kSample);
      bool room = site_.UsedCpu("alpha") * 2 < site_.CapacityOf("alpha");
      for (const std::string& job : accepted_) {
        bool waits = DoneItems(job) < static_cast<size_t>(items_[job]) &&
                     site_.RunningItems(job) == 0 && room;
        idle[job] = waits ? idle[job] + kSample : Duration::zero();
        longest[job] = std::max(longest[job], idle[job]);
      }
    }
    int lost = 0;
    for (const std::string& job : accepted_) {
      std::string state =
          StateIn(site_.SendAndWait(0, "GET", "/prices/" + job).second);
      bool stuck = longest[job] >= kNothing;
      lost += stuck ? 1 : 0;
      std::string line = "job " + job;
      line.append(": state ").append(state).append(", ");
      line.append(std::to_string(DoneItems(job))).append(" of ");
      line.append(std::to_string(items_[job])).append(" done, idle for ");
      line.append(std::to_string(WholeMilliseconds(longest[job])));
      site_.Record(line.append(" ms"));
    }
    site_.Record(
        std::to_string(accepted_.size()) + " jobs accepted, " +
        std::to_string(lost) + " with nothing running for 3 s; capacity " +
        std::to_string(site_.CapacityOf("alpha")) + ", transactions refused: " +
        std::to_string(site_.refused_transactions()));
    if (site_.process_ends() > 0)
      return kCouldNotRun;
    return lost > 0 ? kBroken : kHeld;
  }

  ReviewSite site_{{}};
  uint64_t next_job_ = 1;
  uint64_t next_process_ = 0;
  std::map<std::string, int> items_;
  std::set<std::string> accepted_;
};

}  // namespace

int main() {
  try {
    return Case().Run();
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kCouldNotRun;
  }
}
