// Sends orders to backend servers on behalf of the owners of their pools, and
// returns the answers in batches.
//
//   OrderRelay relay;
//   relay.OnOrders(now, owner, address, batch, outbox);
//   if (relay.OnReply(now, reply)) ...   // The answer to a relayed order.
//   relay.Tick(now, outbox);             // Sends the batches that are due.
//
// The relay decides nothing: it sends each order once, at once, and reports its
// outcome. Orders whose validity has ended, for example while this process was
// stopped, are answered as not sent. Answers wait for others for up to
// kReplyBatchDelay.

#ifndef RADISHMOOR_JOBS_ORDER_RELAY_H_
#define RADISHMOOR_JOBS_ORDER_RELAY_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "radishmoor/jobs/outbox.h"

namespace radishmoor {

class OrderRelay {
 public:
  // Orders beyond this number in flight are answered as not sent.
  static constexpr size_t kMaxOrdersInFlight = 4000;

  void OnOrders(Time now,
                const MemberId& owner,
                const std::string& address,
                const OrderBatch& batch,
                Outbox& outbox);
  // Returns whether the reply answers a relayed order.
  bool OnReply(Time now, const ServerReply& reply);
  // Returns whether an order with this tag was sent for another process.
  bool IsRelayed(uint64_t tag) const { return orders_.contains(tag); }
  void Tick(Time now, Outbox& outbox);
  Time next_wake() const { return next_wake_; }

 private:
  // An owner that waits for answers, in one of its incarnations.
  struct Owner {
    MemberId node;
    uint64_t session = 0;
    auto operator<=>(const Owner&) const = default;
  };
  struct RelayedOrder {
    Owner owner;
    uint64_t owner_tag = 0;
  };
  struct PendingReplies {
    std::string address;
    ReplyBatch batch;
    bool clock_wanted = false;
    Time due;
  };

  void AddReply(Time now, const Owner& owner, ServerReply reply);

  std::unordered_map<uint64_t, RelayedOrder> orders_;  // By tag.
  std::map<Owner, PendingReplies> replies_;
  Time next_wake_ = kTimeMax;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_ORDER_RELAY_H_
