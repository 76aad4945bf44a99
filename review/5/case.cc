// A wave of upkeeps, one machine at a time. One call for an upkeep gets no
// answer and is carried out seconds later; the process that made it is killed.

#include <csignal>
#include <iostream>

#include "review/standin/site.h"

namespace {

using radishmoor::Duration;
using radishmoor::Milliseconds;
using radishmoor::Seconds;
using radishmoor::Time;
using review::Site;

constexpr int kWorkers = 6;
// Calls are carried out 2 to 12 s late.
constexpr Duration kLateBy = Milliseconds(2600);
constexpr Duration kKillAfter = Milliseconds(200);
constexpr Duration kRestartAfter = Milliseconds(3500);
constexpr Duration kWaveTime = Seconds(40);

}  // namespace

int main(int argc, char** argv) {
  try {
    Site site({.services = {{.name = "desk", .workers = kWorkers}},
               .record_path = argc > 1 ? argv[1] : "record.txt"});
    if (!site.StartNodes())
      return 2;
    site.RunFor(Seconds(4));
    std::string holder;
    if (Site::trouble()) {
      site.CarryOutNextUpkeepLate(
          kLateBy, [&holder](const std::string& name) { holder = name; });
    }
    std::vector<std::string> machines;
    for (size_t i = 0; i < site.worker_count(); ++i)
      machines.push_back(site.worker(i).machine());
    site.PutWave(1, machines, 1);
    Time end = site.loop().now() + kWaveTime;
    Time kill_at = radishmoor::kTimeMax;
    Time restart_at = radishmoor::kTimeMax;
    while (site.loop().now() < end) {
      site.RunFor(Milliseconds(20));
      Time now = site.loop().now();
      if (!holder.empty() && kill_at == radishmoor::kTimeMax)
        kill_at = now + kKillAfter;
      if (now >= kill_at && restart_at == radishmoor::kTimeMax) {
        site.FindNode(holder)->Signal(SIGKILL);
        restart_at = now + kRestartAfter;
      }
      if (now >= restart_at) {
        site.FindNode(holder)->RestartIfEnded();
        restart_at = end;
      }
    }
    if (Site::trouble() && holder.empty())
      return 2;
    return site.recorder().violations().empty() ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
