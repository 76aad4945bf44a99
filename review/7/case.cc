// TWICE: a queue moves to another service, and a process is killed. A
// submission that arrives again after its 2xx answer, at that process, is run a
// second time.

#include <cstdlib>
#include <iostream>

#include "review/stand-in-2/review_site.h"

using namespace radishmoor;          // NOLINT(google-build-using-namespace)
using namespace radishmoor::review;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;
constexpr int kItems = 4;
constexpr int kProcesses = 8;
constexpr int kKilled = 7;
constexpr Duration kApply = Milliseconds(2000);  // config_apply_ms

const Route kPrices{"prices", "/prices/", "alpha"};
const Route kBulletins{"bulletins", "/bulletins/", "beta"};

int Run() {
  bool trouble = TroubleWanted();
  ReviewSite site({.processes = kProcesses});
  site.SetRoutes({kPrices, kBulletins});
  if (!site.StartProcesses())
    return kCouldNotRun;
  std::string job = JobIdText(1);
  std::string path = "/prices/" + job;
  std::string body = JobBody(kItems, 500, 100, 400);
  if (site.SendAndWait(0, "POST", path, body).first != 200)
    return kCouldNotRun;
  std::string state;
  for (int i = 0; i < 40 && state != "completed"; ++i) {
    site.RunFor(Milliseconds(100));
    state = StateIn(site.SendAndWait(1, "GET", path).second);
  }
  if (state != "completed")
    return kCouldNotRun;
  // The queue moves to another service. One process is killed later and knows
  // only the newest configuration when it is back.
  Route moved = kPrices;
  moved.service = "beta";
  site.SetRoutes({moved, kBulletins});
  site.RunFor(kApply);
  if (trouble)
    site.KillProcess(kKilled);
  site.RunFor(Seconds(4));
  // The same request again, seconds after its 2xx answer.
  site.SendAndWait(kKilled, "POST", path, body);
  site.RunFor(Seconds(4));
  site.SendAndWait(0, "GET", path);

  int again = 0;
  for (const SeenRun& run : site.runs()) {
    if (!run.work_item.starts_with(job))
      continue;
    site.Record("run " + run.work_item + " #" + std::to_string(run.run) +
                " on " + run.worker + " of " + run.service + ": " + run.how);
    for (const SeenRun& earlier : site.runs()) {
      bool after_done = earlier.work_item == run.work_item &&
                        earlier.how == "done" &&
                        earlier.taken_note_of + Seconds(1) < run.started;
      again += after_done ? 1 : 0;
    }
  }
  if (site.process_ends() > 0)
    return kCouldNotRun;
  site.Record(std::to_string(again) +
              " starts over a second after an end 'done' of the work item was "
              "taken note of");
  return again > 0 ? kBroken : kHeld;
}

}  // namespace

int main() {
  try {
    return Run();
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kCouldNotRun;
  }
}
