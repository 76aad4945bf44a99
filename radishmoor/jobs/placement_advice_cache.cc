#include "radishmoor/jobs/placement_advice_cache.h"

#include <algorithm>
#include <utility>

namespace radishmoor {
namespace {

// The adviser accepts at most 100 servers in a request, and answers a request
// with fewer servers sooner.
constexpr size_t kMaxServersPerRequest = 30;
// A ticket is used for a plan only while it stays valid for this long: the
// start is stored and sent within this time.
constexpr Duration kMinTicketValidity = Milliseconds(300);
// Time until a request is repeated that was not answered, or after which no
// server was left to ask about.
constexpr Duration kNextRequestDelay = Milliseconds(500);

}  // namespace

std::map<ServerId, std::string> PlacementAdviceCache::GetOrRequestTickets(
    Time now,
    const TaskId& task,
    std::span<const ServerId> servers,
    Outbox& outbox) {
  StepKey key{task.job, task.occurrence, task.step};
  StepAdvice& advice = steps_[key];
  std::map<ServerId, std::string> valid;
  std::vector<ServerId> unknown;
  for (const ServerId& server : servers) {
    auto ticket = advice.tickets.find(server);
    if (ticket != advice.tickets.end() &&
        now + kMinTicketValidity < ticket->second.valid_until)
      valid[server] = ticket->second.text;
    else if (!advice.refused.contains(server))
      unknown.push_back(server);
  }
  if (!valid.empty() || advice.request_tag != 0 || servers.empty() ||
      now < advice.next_request_at)
    return valid;
  if (unknown.empty()) {
    advice.refused.clear();
    unknown.assign(servers.begin(), servers.end());
  }
  // If this request leaves no server out, the next one has to wait, since its
  // answer will be the same.
  advice.next_request_at = unknown.size() <= kMaxServersPerRequest
                               ? now + kNextRequestDelay
                               : Time{};
  unknown.resize(std::min(unknown.size(), kMaxServersPerRequest));
  PlacementAdviceRequest request;
  request.job = task.job;
  request.occurrence = task.occurrence;
  request.step = task.step;
  request.servers = unknown;
  advice.requested = std::move(unknown);
  advice.request_tag = outbox.RequestAdvice(std::move(request));
  requested_steps_[advice.request_tag] = key;
  return {};
}

std::string PlacementAdviceCache::TicketFor(const TaskId& task,
                                            const ServerId& server) const {
  auto step = steps_.find({task.job, task.occurrence, task.step});
  if (step == steps_.end())
    return {};
  auto ticket = step->second.tickets.find(server);
  return ticket == step->second.tickets.end() ? std::string()
                                              : ticket->second.text;
}

void PlacementAdviceCache::Drop(const TaskId& task, const ServerId& server) {
  auto step = steps_.find({task.job, task.occurrence, task.step});
  if (step != steps_.end())
    step->second.tickets.erase(server);
}

bool PlacementAdviceCache::OnReply(Time now,
                                   const PlacementAdviceReply& reply) {
  auto requested = requested_steps_.extract(reply.tag);
  if (requested.empty())
    return false;
  auto step = steps_.find(requested.mapped());
  if (step == steps_.end())
    return true;
  StepAdvice& advice = step->second;
  advice.request_tag = 0;
  if (!reply.answered) {
    advice.next_request_at = now + kNextRequestDelay;
    return true;
  }
  advice.refused.insert(advice.requested.begin(), advice.requested.end());
  for (const AdmittedServer& admitted : reply.admitted) {
    advice.refused.erase(admitted.server);
    advice.tickets[admitted.server] = {admitted.ticket, now + reply.valid};
  }
  return true;
}

void PlacementAdviceCache::Forget(const JobId& job) {
  std::erase_if(steps_,
                [&job](const auto& entry) { return entry.first.job == job; });
}

}  // namespace radishmoor
