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
constexpr Duration kNextRequestDelay = Milliseconds(500);

}  // namespace

std::map<ServerId, std::string> PlacementAdviceCache::GetOrRequestTickets(
    Time now,
    const TaskId& task,
    std::span<const ServerId> servers,
    Outbox& outbox) {
  StepKey key{task.job, task.occurrence, task.step};
  StepAdvice& advice = steps_[key];
  if (!advice.tickets.empty() && now + kMinTicketValidity < advice.valid_until)
    return advice.tickets;
  if (advice.request_tag != 0 || now < advice.next_request_at ||
      servers.empty())
    return {};
  PlacementAdviceRequest request;
  request.job = task.job;
  request.occurrence = task.occurrence;
  request.step = task.step;
  request.servers.assign(
      servers.begin(),
      servers.begin() + static_cast<std::ptrdiff_t>(
                            std::min(servers.size(), kMaxServersPerRequest)));
  advice.tickets.clear();
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
  return ticket == step->second.tickets.end() ? std::string() : ticket->second;
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
  // A step for which no server was admitted is requested again, since other
  // servers may have joined by then.
  advice.next_request_at = now + kNextRequestDelay;
  if (!reply.answered)
    return true;
  advice.valid_until = now + reply.valid;
  for (const AdmittedServer& admitted : reply.admitted)
    advice.tickets[admitted.server] = admitted.ticket;
  return true;
}

void PlacementAdviceCache::Forget(const JobId& job) {
  std::erase_if(steps_,
                [&job](const auto& entry) { return entry.first.job == job; });
}

}  // namespace radishmoor
