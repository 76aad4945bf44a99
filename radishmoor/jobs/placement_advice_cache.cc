#include "radishmoor/jobs/placement_advice_cache.h"

#include <algorithm>
#include <utility>

namespace radishmoor {
namespace {

// The adviser accepts at most 100 servers in a request, and answers a request
// with fewer servers sooner.
constexpr size_t kMaxServersPerRequest = 30;
// Longest time that the adviser may need for the servers of a request, unless
// it needs longer for the request itself. At least one server is named.
constexpr Duration kMaxServersTime = Milliseconds(1000);
// Open requests of a pool, those included that wait in the AdviserQueue. With
// fewer, the adviser would be idle while the next plan is made.
constexpr size_t kMaxOpenRequests = 4;
// A ticket is used for a plan only while it stays valid for this long: the
// start is stored and sent within this time.
constexpr Duration kMinTicketValidity = Milliseconds(300);
// Time until a server that was not admitted is asked about again. It doubles
// each time.
constexpr Duration kFirstRecheckDelay = Seconds(10);
constexpr Duration kMaxRecheckDelay = Seconds(80);
// Weight of an observation in the moving average of the slowness.
constexpr double kSlownessWeight = 0.2;

size_t MaxServers(const AdviserPace& pace) {
  if (pace.per_server <= Duration::zero())
    return kMaxServersPerRequest;
  auto in_time = std::max(kMaxServersTime, pace.per_request) / pace.per_server;
  return static_cast<size_t>(
      std::clamp<int64_t>(in_time, 1, kMaxServersPerRequest));
}

}  // namespace

const PlacementAdviceCache::StepAdvice* PlacementAdviceCache::Find(
    const StepKey& key) const {
  auto step = steps_.find(key);
  return step == steps_.end() ? nullptr : &step->second;
}

bool PlacementAdviceCache::MayRequest(const StepKey& key) const {
  if (open_requests_.size() >= kMaxOpenRequests)
    return false;
  const StepAdvice* advice = Find(key);
  return advice == nullptr || advice->request_tag == 0;
}

bool PlacementAdviceCache::HasTickets(Time now, const StepKey& key) const {
  const StepAdvice* advice = Find(key);
  return advice != nullptr &&
         std::any_of(advice->tickets.begin(), advice->tickets.end(),
                     [now](const auto& entry) {
                       return now + kMinTicketValidity <
                              entry.second.valid_until;
                     });
}

bool PlacementAdviceCache::HasTicket(Time now,
                                     const StepKey& key,
                                     const ServerIncarnation& server) const {
  const StepAdvice* advice = Find(key);
  if (advice == nullptr)
    return false;
  auto ticket = advice->tickets.find(server.server);
  return ticket != advice->tickets.end() &&
         ticket->second.server_started_at == server.started_at &&
         now + kMinTicketValidity < ticket->second.valid_until;
}

bool PlacementAdviceCache::IsUnknown(Time now,
                                     const StepKey& key,
                                     const ServerIncarnation& server) const {
  const StepAdvice* advice = Find(key);
  if (advice == nullptr)
    return true;
  auto rejected = advice->rejected.find(server.server);
  bool is_rejected = rejected != advice->rejected.end() &&
                     rejected->second.server_started_at == server.started_at &&
                     now < rejected->second.recheck_at;
  return !is_rejected && !HasTicket(now, key, server);
}

void PlacementAdviceCache::Request(
    Time now,
    const StepKey& key,
    std::span<const ServerIncarnation> candidates,
    Time start_by,
    const AdviserPace& pace,
    Outbox& outbox) {
  StepAdvice& advice = steps_[key];
  size_t limit = MaxServers(pace);
  std::vector<ServerIncarnation> unknown;
  for (const ServerIncarnation& server : candidates) {
    if (unknown.size() == limit)
      break;
    if (IsUnknown(now, key, server))
      unknown.push_back(server);
  }
  advice.asked_about_all = unknown.empty();
  if (unknown.empty())
    return;
  PlacementAdviceRequest request;
  request.job = key.job;
  request.occurrence = key.occurrence;
  request.step = key.step;
  request.start_by = start_by;
  Duration expected_time =
      pace.per_request + pace.per_server * static_cast<int64_t>(unknown.size());
  request.expected_time = expected_time;
  for (const ServerIncarnation& server : unknown)
    request.servers.push_back(server.server);
  advice.requested = std::move(unknown);
  advice.request_tag = outbox.RequestAdvice(std::move(request));
  open_requests_[advice.request_tag] = {key, now, expected_time};
}

bool PlacementAdviceCache::IsWaiting(const StepKey& key) const {
  const StepAdvice* advice = Find(key);
  return advice == nullptr || !advice->asked_about_all;
}

Duration PlacementAdviceCache::RequestTime(const AdviserPace& pace) const {
  Duration stated = pace.per_request +
                    pace.per_server * static_cast<int64_t>(MaxServers(pace));
  return Duration(
      static_cast<int64_t>(static_cast<double>(stated.count()) * slowness_));
}

std::string PlacementAdviceCache::TicketFor(const TaskId& task,
                                            const ServerId& server) const {
  const StepAdvice* advice = Find({task.job, task.occurrence, task.step});
  if (advice == nullptr)
    return {};
  auto ticket = advice->tickets.find(server);
  return ticket == advice->tickets.end() ? std::string() : ticket->second.text;
}

void PlacementAdviceCache::Drop(const TaskId& task, const ServerId& server) {
  auto step = steps_.find({task.job, task.occurrence, task.step});
  if (step != steps_.end())
    step->second.tickets.erase(server);
}

bool PlacementAdviceCache::OnReply(Time now,
                                   const PlacementAdviceReply& reply) {
  auto requested = open_requests_.extract(reply.tag);
  if (requested.empty())
    return false;
  const OpenRequest& open = requested.mapped();
  if (reply.answered && open.expected_time > Duration::zero()) {
    double ratio =
        ToSeconds(now - std::max(open.requested_at, last_reply_at_)) /
        ToSeconds(open.expected_time);
    slowness_ =
        std::max(1.0, slowness_ + kSlownessWeight * (ratio - slowness_));
  }
  last_reply_at_ = now;
  auto step = steps_.find(open.step);
  if (step == steps_.end() || step->second.request_tag != reply.tag)
    return true;
  StepAdvice& advice = step->second;
  advice.request_tag = 0;
  if (!reply.answered)
    return true;
  std::map<ServerId, WallMillis> started_at;
  for (const ServerIncarnation& server : advice.requested) {
    started_at[server.server] = server.started_at;
    Rejection& rejection = advice.rejected[server.server];
    rejection.server_started_at = server.started_at;
    rejection.recheck_delay = std::clamp(2 * rejection.recheck_delay,
                                         kFirstRecheckDelay, kMaxRecheckDelay);
    rejection.recheck_at = now + rejection.recheck_delay;
    advice.tickets.erase(server.server);
  }
  for (const AdmittedServer& admitted : reply.admitted) {
    auto requested_server = started_at.find(admitted.server);
    if (requested_server == started_at.end())
      continue;
    advice.rejected.erase(admitted.server);
    advice.tickets[admitted.server] = {
        admitted.ticket, requested_server->second, now + reply.valid};
  }
  return true;
}

void PlacementAdviceCache::Forget(const JobId& job) {
  std::erase_if(steps_,
                [&job](const auto& entry) { return entry.first.job == job; });
}

}  // namespace radishmoor
