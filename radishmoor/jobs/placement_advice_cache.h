// Which servers the placement adviser admits for the steps of queues that need
// its advice, and the tickets that starts there have to carry.
//
// Load that it answers: the adviser takes its time for each server that it is
// asked about and one question of a process at a time, so a step is asked for
// once, about as many servers as could run it, and asked for again only when
// its tickets have run out.

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
  // The tickets of the step by server, as far as they are valid for a start
  // now. Without any, asks for them about `servers`, unless an answer is
  // awaited.
  std::map<ServerId, std::string> Tickets(Time now,
                                          const TaskId& task,
                                          std::span<const ServerId> servers,
                                          Outbox& outbox);
  // The ticket for a start; empty if there is none.
  std::string TicketFor(const TaskId& task, const ServerId& server) const;
  // The server refused the ticket.
  void Drop(const TaskId& task, const ServerId& server);
  // True if the reply was meant for this pool.
  bool OnReply(Time now, const PlacementAdviceReply& reply);
  // The job has ended.
  void Forget(const JobId& job);

 private:
  struct StepKey {
    JobId job;
    uint32_t occurrence = 0;
    uint32_t step = 0;
    friend auto operator<=>(const StepKey&, const StepKey&) = default;
  };
  struct Advice {
    std::map<ServerId, std::string> tickets;
    Time valid_until;
    Time ask_after;
    uint64_t tag = 0;
  };

  std::map<StepKey, Advice> steps_;
  std::map<uint64_t, StepKey> asked_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_PLACEMENT_ADVICE_CACHE_H_
