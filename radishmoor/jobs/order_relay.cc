#include "radishmoor/jobs/order_relay.h"

#include <algorithm>
#include <utility>

namespace radishmoor {
namespace {

// An answer waits this long for others to the same owner. Each frame costs the
// owner a system call and a wake-up.
constexpr Duration kReplyBatchDelay = Milliseconds(8);
// A batch with this many answers is sent at once.
constexpr size_t kMaxRepliesPerBatch = 64;

}  // namespace

void OrderRelay::OnOrders(Time now,
                          const MemberId& owner_node,
                          const std::string& address,
                          const OrderBatch& batch,
                          Outbox& outbox) {
  Owner owner{owner_node, batch.session};
  PendingReplies& pending = replies_[owner];
  pending.address = address;
  if (batch.orders.empty()) {
    pending.clock_wanted = true;
    pending.due = now;
  }
  bool expired = now - kTimeZero >= batch.valid_until;
  for (const OrderToServer& order : batch.orders) {
    if (expired || orders_.size() >= kMaxOrdersInFlight) {
      ServerReply reply;
      reply.tag = order.tag;
      reply.server = order.server;
      reply.outcome = OrderOutcome::kNotSent;
      AddReply(now, owner, std::move(reply));
      continue;
    }
    uint64_t tag =
        outbox.SendOrder(order.server, order.address, order.token, order.order);
    orders_[tag] = {owner, order.tag};
  }
}

bool OrderRelay::OnReply(Time now, const ServerReply& reply) {
  auto node = orders_.extract(reply.tag);
  if (node.empty())
    return false;
  ServerReply relayed = reply;
  relayed.tag = node.mapped().owner_tag;
  AddReply(now, node.mapped().owner, std::move(relayed));
  return true;
}

void OrderRelay::AddReply(Time now, const Owner& owner, ServerReply reply) {
  PendingReplies& pending = replies_[owner];
  if (pending.batch.replies.empty())
    pending.due = now + kReplyBatchDelay;
  pending.batch.replies.push_back(std::move(reply));
  if (pending.batch.replies.size() >= kMaxRepliesPerBatch)
    pending.due = now;
}

void OrderRelay::Tick(Time now, Outbox& outbox) {
  next_wake_ = kTimeMax;
  for (auto it = replies_.begin(); it != replies_.end();) {
    PendingReplies& pending = it->second;
    if (pending.batch.replies.empty() && !pending.clock_wanted) {
      it = orders_.empty() ? replies_.erase(it) : std::next(it);
      continue;
    }
    if (now < pending.due) {
      next_wake_ = std::min(next_wake_, pending.due);
      ++it;
      continue;
    }
    pending.clock_wanted = false;
    pending.batch.session = it->first.session;
    pending.batch.clock = now - kTimeZero;
    outbox.SendToPeer(it->first.node, pending.address,
                      std::exchange(pending.batch, {}));
    ++it;
  }
}

}  // namespace radishmoor
