// Caches which servers the placement adviser admits for the steps of queues
// that need its advice, and the tickets that starts on these servers have to
// carry.
//
//   PlacementAdviceCache advice;
//   StepKey step{job, occurrence, index};
//   if (advice.MayRequest(step))
//     advice.Request(now, step, candidates, start_by, pace, outbox);
//   ...
//   advice.OnReply(now, reply);
//   if (advice.HasTicket(now, step, server)) ...
//
// Designed for an adviser whose answer takes time for each server in the
// request, and that handles one request of a process at a time. A request names
// a limited number of servers, the preferred ones first, and only such about
// which nothing is known: not asked about yet, started anew since, or with a
// ticket that has expired. Few requests of a pool are open at the same time, so
// that the order of the later ones follows the order of the jobs when they are
// sent.
//
// Which servers may run a step does not change. A server that was not admitted
// is asked about again only after a restart or after a long time.

#ifndef RADISHMOOR_JOBS_PLACEMENT_ADVICE_CACHE_H_
#define RADISHMOOR_JOBS_PLACEMENT_ADVICE_CACHE_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "radishmoor/base/time.h"
#include "radishmoor/jobs/outbox.h"

namespace radishmoor {

// One occurrence of a step.
struct StepKey {
  JobId job;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  friend auto operator<=>(const StepKey&, const StepKey&) = default;
};

// One incarnation of a server; the adviser may judge the next one differently.
struct ServerIncarnation {
  ServerId server;
  WallMillis started_at = 0;  // 0: not known.
  friend auto operator<=>(const ServerIncarnation&,
                          const ServerIncarnation&) = default;
};

class PlacementAdviceCache {
 public:
  // Returns whether a request about the step can be sent: none of the step's is
  // open, and not too many of the pool's are. O(log n).
  bool MayRequest(const StepKey& key) const;
  // Returns whether the step has a ticket that is valid for a start now.
  bool HasTickets(Time now, const StepKey& key) const;
  bool HasTicket(Time now,
                 const StepKey& key,
                 const ServerIncarnation& server) const;
  // Returns whether a request about the server would tell something new.
  bool IsUnknown(Time now,
                 const StepKey& key,
                 const ServerIncarnation& server) const;
  // Requests advice about the first of `candidates`, in the order of the
  // caller's preference. `start_by` is the time by which the step has to start
  // for its job to meet its objective. MayRequest() must be true. Does nothing
  // if no server is unknown.
  void Request(Time now,
               const StepKey& key,
               std::span<const ServerIncarnation> candidates,
               Time start_by,
               const AdviserPace& pace,
               Outbox& outbox);
  // Returns false if there was no server left to ask about at the last call of
  // Request() for the step.
  bool IsWaiting(const StepKey& key) const;
  // Returns the time that the adviser is expected to take for a request about
  // as many servers as a request may name.
  Duration RequestTime(const AdviserPace& pace) const;
  // Returns the ticket for a start, or an empty string if there is none.
  std::string TicketFor(const TaskId& task, const ServerId& server) const;
  // Removes a ticket that the server refused.
  void Drop(const TaskId& task, const ServerId& server);
  // Returns true if the reply belongs to a request of this cache.
  bool OnReply(Time now, const PlacementAdviceReply& reply);
  // Removes the tickets of a job that has ended.
  void Forget(const JobId& job);

 private:
  struct Ticket {
    std::string text;
    WallMillis server_started_at = 0;
    Time valid_until;
  };
  // A server that the adviser did not admit.
  struct Rejection {
    WallMillis server_started_at = 0;
    Time recheck_at;  // When the server is asked about again.
    Duration recheck_delay{};
  };
  struct StepAdvice {
    std::map<ServerId, Ticket> tickets;
    std::map<ServerId, Rejection> rejected;
    std::vector<ServerIncarnation> requested;  // Servers in the open request.
    uint64_t request_tag = 0;                  // Of the open request; 0: none.
    bool asked_about_all = false;  // No server was unknown at the last try.
  };
  struct OpenRequest {
    StepKey step;
    Time requested_at;
    Duration expected_time{};
  };

  // Returns nullptr if nothing was ever requested for the step.
  const StepAdvice* Find(const StepKey& key) const;

  std::map<StepKey, StepAdvice> steps_;
  std::map<uint64_t, OpenRequest> open_requests_;  // By request tag.
  Time last_reply_at_;
  // Moving average of the ratio of observed to stated times; at least 1.
  double slowness_ = 1;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_PLACEMENT_ADVICE_CACHE_H_
