// Sends the requests of all pools of this process to the placement adviser, a
// few at a time.
//
//   AdviserQueue queue;
//   queue.Add(request);                    // For each request of a pool.
//   queue.Tick(now, outbox);               // Sends those that are due.
//   queue.OnReply(now, reply, outbox);
//   loop.RunAt(queue.next_wake(), ...);    // Calls Tick().
//
// Designed for bursts of jobs whose steps need advice, and for an adviser that
// handles the requests of a process one after the other, refuses more than 32
// waiting ones, may be slow, and may not answer at all. The bound on open
// requests keeps it from refusing any. The requests that wait here are sent by
// the time that their jobs have left, whichever pool they come from.
//
// A request that is not answered in time is given back to its pool, which
// decides anew what to ask first. The time limit follows the pace of the
// adviser: the one that the configuration states, or the slower one that was
// observed. After a refusal or a missing answer the queue pauses, then sends
// one request at a time until one is answered.
//
// A request that is carried out but not answered, or carried out late, has no
// effect at the adviser, so it can be repeated at any time.

#ifndef RADISHMOOR_JOBS_ADVISER_QUEUE_H_
#define RADISHMOOR_JOBS_ADVISER_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "radishmoor/base/time.h"
#include "radishmoor/jobs/outbox.h"

namespace radishmoor {

class AdviserQueue {
 public:
  struct Counters {
    uint64_t sent = 0;
    uint64_t answered = 0;
    uint64_t refused = 0;
    uint64_t unanswered = 0;
  };

  // Requests that may be open at the adviser: one that it handles and the next.
  static constexpr size_t kMaxOpenRequests = 2;

  void Add(PlacementAdviceRequest request);
  // Returns whether the reply belongs to a request that was sent.
  bool OnReply(Time now, const PlacementAdviceReply& reply, Outbox& outbox);
  void Tick(Time now, Outbox& outbox);
  Time next_wake() const;

  size_t open_requests() const { return open_.size(); }
  size_t waiting_requests() const { return waiting_.size(); }
  const Counters& counters() const { return counters_; }

 private:
  struct OpenRequest {
    Time sent_at;
    Duration expected_time{};
  };

  bool MaySend(Time now) const;
  void Send(Time now, Outbox& outbox);
  void LogLoad(Time now, Outbox& outbox);

  std::vector<PlacementAdviceRequest> waiting_;
  std::map<uint64_t, OpenRequest> open_;  // By tag.
  // When the adviser should have answered all open requests.
  Time expected_idle_at_;
  Time last_answer_at_;
  // Moving average of the ratio of observed to stated times; at least 1.
  double slowness_ = 1;
  // Refusals and missing answers since the last answer, and the first of them.
  uint32_t failures_ = 0;
  Time failing_since_;
  Time paused_until_;
  Time next_load_log_;
  Counters counters_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_ADVISER_QUEUE_H_
