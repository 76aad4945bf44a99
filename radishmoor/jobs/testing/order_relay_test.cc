#include "radishmoor/jobs/order_relay.h"

#include <catch2/catch.hpp>

namespace radishmoor {
namespace {

constexpr Time kNow = kTimeZero + Seconds(100);

OrderBatch MakeBatch(uint64_t session, uint64_t first_tag, size_t count) {
  OrderBatch batch{session, {}, kNow - kTimeZero + Seconds(1)};
  for (size_t i = 0; i < count; ++i) {
    OrderToServer order;
    order.tag = first_tag + i;
    order.server = ServerId("s");
    order.order = StopRun{};
    batch.orders.push_back(order);
  }
  return batch;
}

std::vector<OrderToServer> OrdersOf(Outbox& outbox) {
  return outbox.TakeOrders();
}

std::vector<SendJobPeer> MessagesOf(Outbox& outbox) {
  std::vector<SendJobPeer> messages;
  for (JobAction& action : outbox.TakeAllActions()) {
    if (auto* send = std::get_if<SendJobPeer>(&action))
      messages.push_back(std::move(*send));
  }
  return messages;
}

ServerReply AnswerTo(uint64_t tag) {
  ServerReply reply;
  reply.tag = tag;
  reply.outcome = OrderOutcome::kDone;
  return reply;
}

// Guards against answers that reach the wrong owner, or the wrong order of the
// right one: owners choose their tags independently.
TEST_CASE("each owner gets the answers to its own orders and tags", "[relay]") {
  OrderRelay relay;
  Outbox outbox;
  relay.OnOrders(kNow, MemberId("o1"), "o1:1", MakeBatch(5, 10, 2), outbox);
  relay.OnOrders(kNow, MemberId("o2"), "o2:1", MakeBatch(6, 10, 1), outbox);
  std::vector<OrderToServer> orders = OrdersOf(outbox);
  REQUIRE(orders.size() == 3);
  for (size_t i = orders.size(); i-- > 0;) {
    REQUIRE(relay.IsRelayed(orders[i].tag));
    REQUIRE(relay.OnReply(kNow, AnswerTo(orders[i].tag)));
    REQUIRE_FALSE(relay.OnReply(kNow, AnswerTo(orders[i].tag)));
  }
  relay.Tick(kNow, outbox);
  REQUIRE(MessagesOf(outbox).empty());
  REQUIRE(relay.next_wake() <= kNow + Milliseconds(10));
  relay.Tick(relay.next_wake(), outbox);
  std::vector<SendJobPeer> messages = MessagesOf(outbox);
  REQUIRE(messages.size() == 2);
  REQUIRE(messages[0].to == MemberId("o1"));
  const auto& first = std::get<ReplyBatch>(messages[0].message);
  REQUIRE(first.session == 5);
  REQUIRE(first.replies.size() == 2);
  REQUIRE(first.replies[0].tag == 11);
  REQUIRE(first.replies[1].tag == 10);
  const auto& second = std::get<ReplyBatch>(messages[1].message);
  REQUIRE(second.session == 6);
  REQUIRE(second.replies[0].tag == 10);
}

// Guards against a relay that stood still and sends a start seconds late: a
// server that has restarted meanwhile does not know that the run was stopped.
TEST_CASE("orders are not sent after the end of their validity", "[relay]") {
  OrderRelay relay;
  Outbox outbox;
  relay.OnOrders(kNow + Seconds(2), MemberId("o"), "o:1", MakeBatch(5, 1, 2),
                 outbox);
  REQUIRE(OrdersOf(outbox).empty());
  relay.Tick(kNow + Seconds(3), outbox);
  std::vector<SendJobPeer> messages = MessagesOf(outbox);
  REQUIRE(messages.size() == 1);
  const auto& batch = std::get<ReplyBatch>(messages[0].message);
  REQUIRE(batch.replies.size() == 2);
  REQUIRE(batch.replies[0].outcome == OrderOutcome::kNotSent);
  REQUIRE(batch.clock == kNow + Seconds(3) - kTimeZero);
}

TEST_CASE("a batch without orders is answered with the clock", "[relay]") {
  OrderRelay relay;
  Outbox outbox;
  relay.OnOrders(kNow, MemberId("o"), "o:1", OrderBatch{5, {}, {}}, outbox);
  relay.Tick(kNow, outbox);
  std::vector<SendJobPeer> messages = MessagesOf(outbox);
  REQUIRE(messages.size() == 1);
  const auto& batch = std::get<ReplyBatch>(messages[0].message);
  REQUIRE(batch.replies.empty());
  REQUIRE(batch.clock == kNow - kTimeZero);
}

// Guards against memory that grows without bound when servers do not answer.
TEST_CASE("orders beyond the limit are answered as not sent", "[relay]") {
  OrderRelay relay;
  Outbox outbox;
  relay.OnOrders(kNow, MemberId("o"), "o:1",
                 MakeBatch(5, 1, OrderRelay::kMaxOrdersInFlight + 1), outbox);
  REQUIRE(OrdersOf(outbox).size() == OrderRelay::kMaxOrdersInFlight);
  relay.Tick(kNow + Seconds(1), outbox);
  std::vector<SendJobPeer> messages = MessagesOf(outbox);
  REQUIRE(messages.size() == 1);
  const auto& batch = std::get<ReplyBatch>(messages[0].message);
  REQUIRE(batch.replies.size() == 1);
  REQUIRE(batch.replies[0].outcome == OrderOutcome::kNotSent);
}

}  // namespace
}  // namespace radishmoor
