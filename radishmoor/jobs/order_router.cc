#include "radishmoor/jobs/order_router.h"

#include <algorithm>
#include <utility>

#include "radishmoor/base/hash.h"

namespace radishmoor {
namespace {

// The rate of orders is measured over periods of this length.
constexpr Duration kRatePeriod = Milliseconds(250);
// Number of relays in each zone that share the servers of the zone.
constexpr size_t kRelaysPerZone = 2;
// An order waits this long for others to the same relay.
constexpr Duration kBatchDelay = Milliseconds(3);
// A batch of this size is sent at once.
constexpr size_t kMaxBatchBytes = 32 * 1024;
// Estimated size of an order without its texts.
constexpr size_t kOrderBytes = 100;
// An order counts as unanswered this long after it was routed, plus the time
// for which a poll may wait. The relay itself waits for 0.3 to 0.4 s.
constexpr Duration kAnswerTimeout = Milliseconds(700);
// A relay is silent if nothing was heard from it for this long while orders,
// other than polls, to at least kMinSilentOrders servers were waiting.
constexpr Duration kSilenceLimit = Milliseconds(450);
constexpr size_t kMinSilentOrders = 2;
constexpr Duration kAvoidTime = Seconds(5);
// A relay is avoided if it did not reach kMaxUnreached servers in a row, or at
// least kMinUnreached in a row and none for kUnreachedTime. While hosts move,
// some servers are not reached all the time.
constexpr size_t kMaxUnreached = 8;
constexpr size_t kMinUnreached = 3;
constexpr Duration kUnreachedTime = Milliseconds(400);
// A relay drops orders that it gets later than this after they were sent.
constexpr Duration kOrderValidity = Milliseconds(500);
// A reading of a relay's clock is used for this long; a new one comes with each
// batch of answers.
constexpr Duration kMaxClockAge = Seconds(10);
constexpr Duration kProbePeriod = Milliseconds(200);
// Orders to a server that the relay did not reach are sent directly this long.
constexpr Duration kDirectTime = Seconds(3);
// If this process runs late, answers may have arrived without being read. All
// timeouts are therefore extended by this multiple of the time by which it has
// been late lately, of which kLagDecay is kept at each tick.
constexpr int64_t kLagFactor = 2;
constexpr double kLagDecay = 0.9;
constexpr Duration kMaxLag = Seconds(2);
// Period of the checks for lost orders.
constexpr Duration kCheckPeriod = Milliseconds(50);

size_t BytesOf(const OrderToServer& order) {
  const auto* start = std::get_if<StartRun>(&order.order);
  return kOrderBytes + (start == nullptr
                            ? 0
                            : start->payload.size() + start->checkpoint.size() +
                                  start->ticket.size());
}

bool IsPoll(const OrderToServer& order) {
  return std::holds_alternative<PollServer>(order.order);
}

}  // namespace

void OrderRouter::SetRelays(std::span<const RelayCandidate> candidates) {
  std::set<MemberId> live;
  std::map<ZoneId, std::vector<const RelayCandidate*>> zones;
  for (const RelayCandidate& candidate : candidates) {
    live.insert(candidate.node);
    zones[candidate.zone].push_back(&candidate);
    relays_[candidate.node].process = candidate;
  }
  std::erase_if(relays_, [&live](const auto& entry) {
    return !live.contains(entry.first) && entry.second.waiting.empty();
  });
  by_zone_.clear();
  for (auto& [zone, processes] : zones) {
    // Processes with larger shares first, in an order of this owner's own.
    std::sort(processes.begin(), processes.end(),
              [this](const RelayCandidate* a, const RelayCandidate* b) {
                if (a->capacity != b->capacity)
                  return a->capacity > b->capacity;
                return RendezvousWeight(options_.own_name.str(),
                                        a->node.str()) >
                       RendezvousWeight(options_.own_name.str(), b->node.str());
              });
    for (const RelayCandidate* process : processes)
      by_zone_[zone].push_back(process->node);
  }
}

void OrderRouter::CountOrder(Time now) {
  if (now - period_began_at_ >= kRatePeriod) {
    // A period without orders ends relaying as well.
    bool consecutive = now - period_began_at_ < 2 * kRatePeriod;
    double rate =
        consecutive ? orders_in_period_ / ToSeconds(now - period_began_at_) : 0;
    active_ = rate >= (active_ ? options_.stop_orders_per_second
                               : options_.start_orders_per_second);
    period_began_at_ = now;
    orders_in_period_ = 0;
  }
  ++orders_in_period_;
}

OrderRouter::Relay* OrderRouter::RelayFor(Time now,
                                          const ServerId& server,
                                          const ZoneId& zone) {
  auto processes = by_zone_.find(zone);
  if (processes == by_zone_.end())
    return nullptr;
  Relay* best = nullptr;
  uint64_t best_weight = 0;
  size_t usable = 0;
  for (const MemberId& node : processes->second) {
    Relay& relay = relays_.at(node);
    if (now < relay.avoided_until)
      continue;
    uint64_t weight = RendezvousWeight(server.str(), node.str());
    if (best == nullptr || weight > best_weight) {
      best = &relay;
      best_weight = weight;
    }
    if (++usable == kRelaysPerZone)
      break;
  }
  return best;
}

bool OrderRouter::Route(Time now,
                        const OrderToServer& order,
                        const ZoneId& zone) {
  CountOrder(now);
  if (!active_)
    return false;
  auto direct = direct_until_.find(order.server);
  if (direct != direct_until_.end()) {
    if (now < direct->second)
      return false;
    direct_until_.erase(direct);
  }
  Relay* relay = RelayFor(now, order.server, zone);
  if (relay == nullptr)
    return false;
  if (!KnowsClock(now, *relay)) {
    relay->probe_wanted = true;
    next_send_at_ = std::min(next_send_at_, relay->next_probe_at);
    return false;
  }
  const auto* server_poll = std::get_if<PollServer>(&order.order);
  Duration wait = server_poll == nullptr ? Duration::zero() : server_poll->wait;
  orders_[order.tag] = {relay->process.node, order.server,
                        now + kAnswerTimeout + wait};
  if (!IsPoll(order))
    relay->waiting[order.tag] = now;
  if (relay->last_reached_at == Time{})
    relay->last_reached_at = now;
  if (relay->batch.orders.empty())
    relay->batch_due = now + kBatchDelay;
  relay->batch.orders.push_back(order);
  relay->batch_bytes += BytesOf(order);
  if (relay->batch_bytes >= kMaxBatchBytes)
    relay->batch_due = now;
  next_send_at_ = std::min(next_send_at_, relay->batch_due);
  ++relayed_orders_;
  return true;
}

void OrderRouter::RecordOutcome(Time now,
                                Relay& relay,
                                const ServerReply& reply) {
  bool reached =
      reply.outcome != OrderOutcome::kNotSent && !IsUnanswered(reply.outcome);
  if (reached) {
    relay.last_reached_at = now;
    relay.unreached.clear();
    return;
  }
  direct_until_[reply.server] = now + kDirectTime;
  relay.unreached.insert(reply.server);
  if (relay.unreached.size() >= kMaxUnreached ||
      (relay.unreached.size() >= kMinUnreached &&
       now - relay.last_reached_at >= kUnreachedTime))
    Avoid(now, relay, "servers-not-reached");
}

void OrderRouter::Avoid(Time now, Relay& relay, std::string_view reason) {
  relay.avoided_until = now + kAvoidTime;
  relay.last_reached_at = Time{};
  relay.unreached.clear();
  avoided_.emplace_back(relay.process.node, reason);
}

std::vector<ServerReply> OrderRouter::OnReplies(Time now,
                                                const MemberId& from,
                                                const ReplyBatch& batch) {
  std::vector<ServerReply> replies;
  auto it = relays_.find(from);
  if (it == relays_.end() || batch.session != options_.session)
    return replies;
  Relay& relay = it->second;
  relay.last_heard_at = now;
  relay.clock = batch.clock;
  relay.clock_at = now;
  for (const ServerReply& reply : batch.replies) {
    auto order = orders_.find(reply.tag);
    if (order == orders_.end() || order->second.relay != from)
      continue;
    orders_.erase(order);
    relay.waiting.erase(reply.tag);
    RecordOutcome(now, relay, reply);
    replies.push_back(reply);
  }
  return replies;
}

bool OrderRouter::KnowsClock(Time now, const Relay& relay) {
  return relay.clock && now - relay.clock_at < kMaxClockAge;
}

bool OrderRouter::IsSilent(Time now, const Relay& relay) const {
  Duration limit = kSilenceLimit + kLagFactor * lag_;
  if (relay.waiting.size() < kMinSilentOrders ||
      now - relay.last_heard_at < limit)
    return false;
  return std::count_if(relay.waiting.begin(), relay.waiting.end(),
                       [now, limit](const auto& entry) {
                         return now - entry.second >= limit;
                       }) >= static_cast<std::ptrdiff_t>(kMinSilentOrders);
}

void OrderRouter::ObserveLag(Duration lag) {
  lag_ = std::max(lag_, std::min(lag, kMaxLag));
}

std::vector<ServerReply> OrderRouter::TakeLost(Time now) {
  std::vector<ServerReply> lost;
  if (orders_.empty())
    return lost;
  if (next_wake_ < now)
    ObserveLag(now - next_wake_);
  if (now < next_check_at_)
    return lost;
  next_check_at_ = now + kCheckPeriod;
  Time deadline = now - kLagFactor * lag_;
  lag_ = Duration(
      static_cast<int64_t>(kLagDecay * static_cast<double>(lag_.count())));
  std::set<MemberId> silent;
  for (auto& [node, relay] : relays_) {
    if (IsSilent(now, relay))
      silent.insert(node);
  }
  for (auto it = orders_.begin(); it != orders_.end();) {
    const RoutedOrder& order = it->second;
    if (deadline < order.lost_at && !silent.contains(order.relay)) {
      ++it;
      continue;
    }
    ServerReply reply;
    reply.tag = it->first;
    reply.server = order.server;
    lost.push_back(std::move(reply));
    direct_until_[order.server] = now + kDirectTime;
    if (auto relay = relays_.find(order.relay); relay != relays_.end())
      relay->second.waiting.erase(it->first);
    it = orders_.erase(it);
  }
  for (const MemberId& node : silent)
    Avoid(now, relays_.at(node), "silent");
  // Servers that have left are not routed to again.
  std::erase_if(direct_until_,
                [now](const auto& entry) { return now >= entry.second; });
  return lost;
}

void OrderRouter::Tick(Time now, Outbox& outbox) {
  if (now >= next_send_at_)
    SendDue(now, outbox);
  next_wake_ =
      std::min(next_send_at_, orders_.empty() ? kTimeMax : next_check_at_);
  for (const auto& [node, reason] : std::exchange(avoided_, {}))
    outbox.LogDecision("relay-avoided",
                       {{"relay", node.str()}, {"reason", reason}});
}

void OrderRouter::SendDue(Time now, Outbox& outbox) {
  next_send_at_ = kTimeMax;
  for (auto& [node, relay] : relays_) {
    if (relay.probe_wanted && now < relay.next_probe_at)
      next_send_at_ = std::min(next_send_at_, relay.next_probe_at);
    if (relay.probe_wanted && now >= relay.next_probe_at) {
      relay.probe_wanted = false;
      relay.next_probe_at = now + kProbePeriod;
      outbox.SendToPeer(node, relay.process.address,
                        OrderBatch{options_.session, {}, {}});
    }
    if (relay.batch.orders.empty())
      continue;
    if (now < relay.batch_due) {
      next_send_at_ = std::min(next_send_at_, relay.batch_due);
      continue;
    }
    relay.batch.session = options_.session;
    // The reading was older when it arrived, so that the estimate of the
    // relay's clock is not ahead.
    relay.batch.valid_until =
        *relay.clock + (now - relay.clock_at) + kOrderValidity;
    outbox.SendToPeer(node, relay.process.address,
                      std::exchange(relay.batch, {}));
    relay.batch_bytes = 0;
  }
}

}  // namespace radishmoor
