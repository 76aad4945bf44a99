// A route is removed while a job of it is at work, and comes back later. In
// between, the process that schedules the job is stopped and started.

#include <csignal>
#include <iostream>

#include "review/standin/site.h"

namespace {

using radishmoor::Milliseconds;
using radishmoor::Seconds;
using radishmoor::Time;
using review::Node;
using review::Site;

const char kJob[] = "00000000000a6001";

}  // namespace

int main(int argc, char** argv) {
  try {
    // The second service keeps the configuration from being without routes.
    Site site({.services = {{.name = "desk", .workers = 3},
                            {.name = "hall", .workers = 1}},
               .record_path = argc > 1 ? argv[1] : "record.txt"});
    if (!site.StartNodes())
      return 2;
    site.RunFor(Seconds(4));
    site.Submit({.id = kJob,
                 .service = "desk",
                 .steps = {{.count = 2, .cpu = 1000}},
                 .run_time = Seconds(7),
                 .failing_runs = 1});
    site.RunFor(Seconds(1));
    site.PutConfig({"desk"});
    site.RunFor(Seconds(2));
    Node* owner = site.FindOwner("desk");
    if (owner == nullptr)
      return 2;
    if (Site::trouble())
      owner->Signal(SIGTERM);
    Time put_back_at = site.loop().now() + Seconds(8);
    Time end = site.loop().now() + Seconds(30);
    bool put_back = false;
    while (site.loop().now() < end && !site.AllJobsHaveEnded()) {
      site.RunFor(Milliseconds(100));
      owner->RestartIfEnded();
      if (!put_back && site.loop().now() >= put_back_at) {
        put_back = true;
        site.PutConfig({});
      }
    }
    std::string state = site.StateOf(kJob);
    if (state == "failed") {
      site.recorder().Violation(
          std::string("LOST: ") + kJob +
          " is shown as failed after one failed run of each work item; "
          "max_attempts is 3");
    }
    if (!site.recorder().violations().empty())
      return 1;
    return state == "completed" ? 0 : 2;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
