// Caches which servers the placement adviser admits for the steps of queues
// that need its advice, and the tickets that starts on these servers have to
// carry.
//
// The adviser's answer takes time for each server in the request, and it
// handles one request of a process at a time. A request therefore names a
// limited number of servers, and a step is requested again only for servers
// about which nothing is known: not asked about yet, or with a ticket that has
// expired. When the adviser has refused all servers, it is asked again after a
// while.

#ifndef RADISHMOOR_JOBS_PLACEMENT_ADVICE_CACHE_H_
#define RADISHMOOR_JOBS_PLACEMENT_ADVICE_CACHE_H_

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "radishmoor/base/time.h"
#include "radishmoor/jobs/outbox.h"

namespace radishmoor {

class PlacementAdviceCache {
 public:
  // Returns those tickets of the task's step, by server, that are valid for a
  // start now on one of `servers`, which have room for the task. If there are
  // none, requests them, unless a request is in flight.
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
  struct Ticket {
    std::string text;
    Time valid_until;
  };
  struct StepAdvice {
    std::map<ServerId, Ticket> tickets;
    std::set<ServerId> refused;       // Servers that the adviser did not admit.
    std::vector<ServerId> requested;  // Servers in the request in flight.
    Time next_request_at;
    uint64_t request_tag = 0;  // Of the request in flight; 0: none.
  };

  std::map<StepKey, StepAdvice> steps_;
  std::map<uint64_t, StepKey> requested_steps_;  // By request tag.
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_PLACEMENT_ADVICE_CACHE_H_
