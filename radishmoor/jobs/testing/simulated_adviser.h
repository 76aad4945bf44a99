// Simulates the placement adviser in virtual time. It handles the requests of
// each process one after the other and refuses those beyond its limit. A step
// may run on every eighth server of its pool; which ones differs by step.
//
//   SimulatedAdviser adviser({.ticket_validity = Seconds(3)});
//   SimulatedAdviser::Result result = adviser.Request(now, "node-1", request,
//                                                     index_of_server);
//   // Deliver result.reply at result.answered_at.
//   adviser.IsValidTicket(now, start.task, server, start.ticket);

#ifndef RADISHMOOR_JOBS_TESTING_SIMULATED_ADVISER_H_
#define RADISHMOOR_JOBS_TESTING_SIMULATED_ADVISER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <tuple>

#include "radishmoor/base/time.h"
#include "radishmoor/jobs/messages.h"

namespace radishmoor {

struct SimulatedAdviserOptions {
  Duration per_request = Milliseconds(20);
  Duration per_server = Milliseconds(1);
  Duration ticket_validity = Seconds(3);
  size_t max_waiting = 32;
};

class SimulatedAdviser {
 public:
  // A server's position in its pool, or SIZE_MAX if there is no such server,
  // and when its current incarnation started.
  struct Place {
    size_t position = SIZE_MAX;
    WallMillis started_at = 0;
  };
  struct Result {
    Time answered_at;
    PlacementAdviceReply reply;
  };
  struct Counts {
    uint64_t answered = 0;
    uint64_t refused = 0;
    // Servers that a process asked about again although the adviser had not
    // admitted them a short time before.
    uint64_t repeated = 0;
  };

  explicit SimulatedAdviser(const SimulatedAdviserOptions& options)
      : options_(options) {}

  Result Request(Time now,
                 const std::string& process,
                 const PlacementAdviceRequest& request,
                 const std::function<Place(const ServerId&)>& place_of);
  bool IsValidTicket(Time now,
                     const TaskId& task,
                     const ServerId& server,
                     WallMillis server_started_at,
                     const std::string& ticket) const;
  // Returns whether the step may run on the server at `position` of its pool.
  static bool Admits(const TaskId& task, size_t position);

  const Counts& counts() const { return counts_; }

 private:
  struct Issued {
    WallMillis server_started_at = 0;
    Time valid_until;
  };

  SimulatedAdviserOptions options_;
  // When the open requests of a process will be answered.
  std::map<std::string, std::deque<Time>> open_;
  std::map<std::string, Issued> tickets_;
  // When a server was last not admitted for a process, by process, step and
  // incarnation.
  std::map<std::tuple<std::string, std::string, ServerId, WallMillis>, Time>
      rejections_;
  Counts counts_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_TESTING_SIMULATED_ADVISER_H_
