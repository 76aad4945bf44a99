// LOST: a queue moves to another service. Reading and cancelling a job that was
// accepted before is then answered with 410, although the job is stored and
// runs on.

#include <cstdlib>
#include <iostream>

#include "review/stand-in-2/review_site.h"

using namespace radishmoor;          // NOLINT(google-build-using-namespace)
using namespace radishmoor::review;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;
constexpr Duration kApply = Milliseconds(2000);   // config_apply_ms
constexpr Duration kCancel = Milliseconds(3000);  // cancel_ms
constexpr Duration kStop = Milliseconds(200);     // stop_ms

int Run() {
  bool trouble = TroubleWanted();
  ReviewSite site({});
  Route prices{"prices", "/prices/", "alpha"};
  Route bulletins{"bulletins", "/bulletins/", "beta"};
  site.SetRoutes({prices, bulletins});
  if (!site.StartProcesses())
    return kCouldNotRun;
  std::string ended_job = JobIdText(1);
  std::string long_job = JobIdText(2);
  std::string ended_path = "/prices/" + ended_job;
  std::string long_path = "/prices/" + long_job;
  if (site.SendAndWait(0, "POST", ended_path, JobBody(4, 500, 100, 400))
              .first != 200 ||
      site.SendAndWait(1, "POST", long_path, JobBody(4, 500, 100, 25000))
              .first != 200)
    return kCouldNotRun;
  site.RunFor(Seconds(4));  // visible_ms and more
  bool shown =
      StateIn(site.SendAndWait(0, "GET", ended_path).second) == "completed" &&
      StateIn(site.SendAndWait(1, "GET", long_path).second) == "in_progress";
  if (!shown)
    return kCouldNotRun;
  // Without the disruption, the change of the configuration is another one.
  if (trouble)
    prices.service = "beta";
  else
    prices.slo_ms = 900;
  site.SetRoutes({prices, bulletins});
  site.RunFor(kApply + Milliseconds(500));
  int gone = 0;
  for (int process = 0; process < 3; ++process) {
    gone += site.SendAndWait(process, "GET", ended_path).first == 410 ? 1 : 0;
    gone += site.SendAndWait(process, "GET", long_path).first == 410 ? 1 : 0;
  }
  unsigned cancel = site.SendAndWait(0, "DELETE", long_path).first;
  site.RunFor(kCancel + kStop);
  int running = site.RunningItems(long_job);
  site.Record(std::to_string(gone) +
              " of 6 reads of accepted jobs, which nobody had cancelled, were "
              "answered with 410");
  site.Record("the cancelling was answered with " + std::to_string(cancel) +
              "; " + std::to_string(running) +
              " work items of the job run on after cancel_ms + stop_ms");
  if (site.process_ends() > 0)
    return kCouldNotRun;
  return gone > 0 ? kBroken : kHeld;
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
