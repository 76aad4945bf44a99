// Caches which servers the placement adviser admits for the steps of queues
// that need its advice, and the tickets that starts on these servers have to
// carry.
//
// The adviser's answer takes time for each server in the request, and it
// handles one request of a process at a time. Each step is therefore requested
// once, for all servers that could run it up to a limit, and requested again
// only after its tickets have expired or no server was admitted.

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

class PlacementAdviceCache {
 public:
  // Returns the tickets of the task's step, by server, that are valid for a
  // start now. If there are none, requests them for `servers`, unless a request
  // is in flight or was answered a moment ago.
  std::map<ServerId, std::string> GetOrRequestTickets(
      Time now,
      const TaskId& task,
      std::span<const ServerId> servers,
      Outbox& outbox);
  // Returns the ticket for a start, or an empty string if there is none.
  std::string TicketFor(const TaskId& task, const ServerId& server) const;
  // Removes a ticket that the server refused.
  void Drop(const TaskId& task, const ServerId& server);
  // Returns true if the reply belongs to a request of this cache.
  bool OnReply(Time now, const PlacementAdviceReply& reply);
  // Removes the tickets of a job that has ended.
  void Forget(const JobId& job);

 private:
  struct StepKey {
    JobId job;
    uint32_t occurrence = 0;
    uint32_t step = 0;
    friend auto operator<=>(const StepKey&, const StepKey&) = default;
  };
  struct StepAdvice {
    std::map<ServerId, std::string> tickets;
    Time valid_until;
    Time next_request_at;
    uint64_t request_tag = 0;  // Of the request in flight; 0: none.
  };

  std::map<StepKey, StepAdvice> steps_;
  std::map<uint64_t, StepKey> requested_steps_;  // By request tag.
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_PLACEMENT_ADVICE_CACHE_H_
