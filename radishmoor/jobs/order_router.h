// Decides which orders of a pool's owner another process sends to the backend
// servers on its behalf, and which process that is (the relay).
//
//   OrderRouter router({.own_name = name, .session = incarnation});
//   router.SetRelays(relays);                        // The live processes.
//   if (!router.Route(now, order, zone)) ...         // Send it directly.
//   router.Tick(now, outbox);                        // Sends due batches.
//   for (ServerReply& reply : router.OnReplies(now, from, batch)) ...
//   for (ServerReply& reply : router.TakeLost(now)) ...
//
// Designed for the owner of a pool of hundreds of servers at the peak of its
// queue: several thousand orders a second, each of which costs an HTTP exchange
// when sent directly, most of what the owner does. A relay in the servers' zone
// takes them in batches. Below a rate of orders that any process can carry,
// all orders are sent directly, since a relay adds some milliseconds.
//
// Orders whose relay is silent, or reports that it did not reach the server,
// are reported as unanswered or not sent; further orders to the server are sent
// directly for some time, and a relay that is silent, or reaches none of
// several servers for some time, is avoided.

#ifndef RADISHMOOR_JOBS_ORDER_ROUTER_H_
#define RADISHMOOR_JOBS_ORDER_ROUTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "radishmoor/jobs/outbox.h"

namespace radishmoor {

// A process that may relay orders.
struct RelayCandidate {
  MemberId node;
  std::string address;
  ZoneId zone;
  uint32_t capacity = 0;  // Processor share in thousandths of a core.
};

struct OrderRouterOptions {
  MemberId own_name;
  uint64_t session = 0;  // Incarnation of this process.
  // Orders are relayed from the first rate on, and sent directly again below
  // the second one. A direct order takes about 0.2 ms of a core.
  double start_orders_per_second = 400;
  double stop_orders_per_second = 160;
};

class OrderRouter {
 public:
  explicit OrderRouter(OrderRouterOptions options)
      : options_(std::move(options)) {}

  // Replaces the list of processes that may relay, without this one.
  void SetRelays(std::span<const RelayCandidate> candidates);

  // Adds the order to the batch for a relay. Returns false if it has to be sent
  // directly. `zone` is that of the server.
  bool Route(Time now, const OrderToServer& order, const ZoneId& zone);

  // Returns the answers of a batch to orders that were routed to `from` and are
  // still waited for.
  std::vector<ServerReply> OnReplies(Time now,
                                     const MemberId& from,
                                     const ReplyBatch& batch);

  // Returns answers for orders whose relay did not answer in time.
  std::vector<ServerReply> TakeLost(Time now);

  // Records how late this process's event loop runs.
  void ObserveLag(Duration lag);

  // Sends the batches that are due. Takes constant time unless one is.
  void Tick(Time now, Outbox& outbox);
  Time next_wake() const { return next_wake_; }

  bool active() const { return active_; }
  uint64_t relayed_orders() const { return relayed_orders_; }

 private:
  struct Relay {
    RelayCandidate process;
    OrderBatch batch;
    size_t batch_bytes = 0;
    Time batch_due;
    // Tags of the orders that wait for an answer, with the time of sending.
    std::map<uint64_t, Time> waiting;
    Time last_heard_at;
    // Last reading of its clock, and when it arrived.
    std::optional<Duration> clock;
    Time clock_at;
    bool probe_wanted = false;
    Time next_probe_at;
    // When it last reached a server or got its first order, and the servers
    // that it did not reach since then.
    Time last_reached_at;
    std::set<ServerId> unreached;
    Time avoided_until;
  };
  struct RoutedOrder {
    MemberId relay;
    ServerId server;
    Time lost_at;  // The order counts as unanswered from then on.
  };

  void CountOrder(Time now);
  // Sends due batches and probes.
  void SendDue(Time now, Outbox& outbox);
  // Returns the relay for the server, or null if there is none.
  Relay* RelayFor(Time now, const ServerId& server, const ZoneId& zone);
  void RecordOutcome(Time now, Relay& relay, const ServerReply& reply);
  void Avoid(Time now, Relay& relay, std::string_view reason);
  bool IsSilent(Time now, const Relay& relay) const;
  static bool KnowsClock(Time now, const Relay& relay);

  OrderRouterOptions options_;
  std::map<MemberId, Relay> relays_;
  // The relays of each zone that this process uses, by falling preference.
  std::map<ZoneId, std::vector<MemberId>> by_zone_;
  std::unordered_map<uint64_t, RoutedOrder> orders_;  // By tag.
  // Servers that get their orders directly until the given time.
  std::map<ServerId, Time> direct_until_;
  bool active_ = false;
  // Orders in the current period, and when it began.
  uint32_t orders_in_period_ = 0;
  Time period_began_at_;
  // How late this process has run its work lately.
  Duration lag_{};
  Time next_check_at_;
  // When the next batch or probe is due.
  Time next_send_at_ = kTimeMax;
  uint64_t relayed_orders_ = 0;
  std::vector<std::pair<MemberId, std::string>> avoided_;  // To be logged.
  Time next_wake_ = kTimeMax;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_ORDER_ROUTER_H_
