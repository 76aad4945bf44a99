// Simulation in virtual time of the entry processes of one zone that share the
// slots of one pool. Used by slot_shares_test and slots_bench.

#ifndef RADISHMOOR_SLOTS_TESTING_ZONE_SIM_H_
#define RADISHMOOR_SLOTS_TESTING_ZONE_SIM_H_

#include <algorithm>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "radishmoor/base/random.h"
#include "radishmoor/slots/slot_shares.h"

namespace radishmoor {

inline const PoolId kPool("a");
inline const ZoneId kZone("z");

// Simulates members that have a SlotHolder and a SlotAllocator each, and a
// network that delays, loses, repeats and reorders their messages. Members are
// named by their index in `ids` and `nodes`; `m` is such an index. Member lists
// change only through SetMembers().
class ZoneSimulation {
 public:
  ZoneSimulation(int members,
                 int hosts,
                 uint64_t seed,
                 SlotOptions options = {},
                 uint32_t slots = 8)
      : random(seed) {
    for (int h = 0; h < hosts; ++h)
      host_slots.push_back({HostId("w-" + std::to_string(h)), slots});
    for (int m = 0; m < members; ++m)
      ids.emplace_back("e-" + std::to_string(m));
    for (const MemberId& id : ids) {
      nodes.push_back({SlotHolder(options, id, kZone, {1}),
                       SlotAllocator(options, id, kZone, {1})});
    }
    for (size_t m = 0; m < ids.size(); ++m) {
      SetMembers(m, ids);
      Perform(m, nodes[m].holder.SetPool(now, kPool, host_slots));
      Perform(m, nodes[m].allocator.SetPool(now, kPool, host_slots));
    }
  }

  void SetMembers(size_t m, const std::vector<MemberId>& live) {
    Perform(m, nodes[m].holder.SetMembers(LocalTime(m), live));
    Perform(m, nodes[m].allocator.SetMembers(LocalTime(m), live));
  }

  void SetWanted(size_t m, uint32_t wanted) {
    Perform(m, nodes[m].holder.SetWanted(LocalTime(m), kPool, wanted));
  }

  // Advances the simulation by `time` in steps of 1 ms; calls `on_step` after
  // each.
  void RunFor(Duration time) {
    Time end = now + time;
    while (now < end) {
      now += Milliseconds(1);
      Deliver();
      for (size_t m = 0; m < nodes.size(); ++m) {
        if (nodes[m].dead)
          continue;
        Perform(m, nodes[m].holder.Tick(LocalTime(m)));
        Perform(m, nodes[m].allocator.Tick(LocalTime(m)));
      }
      if (on_step)
        on_step();
    }
  }

  // Returns the time by the member's clock. The clocks of successive members
  // run fast by 0, 1 and 2 times `drift_percent` in turn.
  Time LocalTime(size_t m) const {
    Duration since = now - kTimeZero;
    return now + since * static_cast<int64_t>(m % 3) * drift_percent / 100;
  }

  // Returns the slots of the whole pool that the member may use.
  uint32_t TotalShare(size_t m) const {
    uint32_t sum = 0;
    for (const HostSlots& host : host_slots)
      sum += nodes[m].holder.share(kPool, host.host);
    return sum;
  }

  // Returns the slots of the host that are in use if every running member uses
  // its whole share.
  uint32_t SumOfShares(const HostId& host) const {
    uint32_t sum = 0;
    for (const Node& node : nodes)
      sum += node.dead ? 0 : node.holder.share(kPool, host);
    return sum;
  }

  // Returns the index of the pool's allocator while all members are live.
  size_t AllocatorIndex() const {
    MemberId id = AllocatorOf(kPool, kZone, ids);
    return static_cast<size_t>(std::find(ids.begin(), ids.end(), id) -
                               ids.begin());
  }

  struct Node {
    SlotHolder holder;
    SlotAllocator allocator;
    bool dead = false;
    bool isolated = false;  // Exchanges no messages with other members.
  };
  struct Message {
    Time deliver_at;
    size_t from;
    MemberId to;
    std::variant<SlotDemand, SlotGrant> body;
  };

  Random random;
  Time now = kTimeZero + Seconds(10);
  int drift_percent = 0;
  double loss_probability = 0;
  double repeat_probability = 0;
  Duration max_delay = Milliseconds(2);  // The minimum delay is 1 ms.
  std::vector<HostSlots> host_slots;
  std::vector<MemberId> ids;
  std::vector<Node> nodes;
  std::vector<Message> messages;
  std::function<void()> on_step;

 private:
  void Perform(size_t m, const SlotActions& actions) {
    for (const SlotAction& action : actions) {
      if (const auto* demand = std::get_if<SendDemand>(&action))
        SendMessage(m, demand->to, demand->demand);
      if (const auto* grant = std::get_if<SendGrant>(&action))
        SendMessage(m, grant->to, grant->grant);
    }
  }

  template <typename Body>
  void SendMessage(size_t from, const MemberId& to, const Body& body) {
    int copies = random.Chance(loss_probability)     ? 0
                 : random.Chance(repeat_probability) ? 2
                                                     : 1;
    for (; copies > 0; --copies) {
      messages.push_back(
          {now + random.Between(Milliseconds(1), max_delay), from, to, body});
    }
  }

  void Deliver() {
    std::vector<Message> due;
    std::erase_if(messages, [&](const Message& message) {
      if (message.deliver_at > now)
        return false;
      due.push_back(message);
      return true;
    });
    for (const Message& message : due) {
      auto to = static_cast<size_t>(
          std::find(ids.begin(), ids.end(), message.to) - ids.begin());
      Node& node = nodes[to];
      if (node.dead || (to != message.from &&
                        (node.isolated || nodes[message.from].isolated)))
        continue;
      const MemberId& from = ids[message.from];
      if (const auto* demand = std::get_if<SlotDemand>(&message.body))
        Perform(to, node.allocator.HandleDemand(LocalTime(to), from, *demand));
      if (const auto* grant = std::get_if<SlotGrant>(&message.body))
        Perform(to, node.holder.HandleGrant(LocalTime(to), from, *grant));
    }
  }
};

}  // namespace radishmoor

#endif  // RADISHMOOR_SLOTS_TESTING_ZONE_SIM_H_
