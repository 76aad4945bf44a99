#include "radishmoor/jobs/placement_advice_cache.h"

#include <algorithm>
#include <utility>

namespace radishmoor {
namespace {

// The adviser takes at most 100 servers in a question; fewer are answered
// sooner.
constexpr size_t kMaxAsked = 30;
// A start is stored and sent within this time of its plan.
constexpr Duration kStartMargin = Milliseconds(300);
constexpr Duration kAskAgain = Milliseconds(500);

}  // namespace

std::map<ServerId, std::string> PlacementAdviceCache::Tickets(
    Time now,
    const TaskId& task,
    std::span<const ServerId> servers,
    Outbox& outbox) {
  StepKey key{task.job, task.occurrence, task.step};
  Advice& advice = steps_[key];
  if (!advice.tickets.empty() && now + kStartMargin < advice.valid_until)
    return advice.tickets;
  if (advice.tag != 0 || now < advice.ask_after || servers.empty())
    return {};
  PlacementAdviceRequest ask;
  ask.job = task.job;
  ask.occurrence = task.occurrence;
  ask.step = task.step;
  ask.servers.assign(servers.begin(),
                     servers.begin() + static_cast<std::ptrdiff_t>(std::min(
                                           servers.size(), kMaxAsked)));
  advice.tickets.clear();
  advice.tag = outbox.RequestAdvice(std::move(ask));
  asked_[advice.tag] = key;
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
  auto asked = asked_.extract(reply.tag);
  if (asked.empty())
    return false;
  auto step = steps_.find(asked.mapped());
  if (step == steps_.end())
    return true;
  Advice& advice = step->second;
  advice.tag = 0;
  // A step without admitted servers is asked for again: others may have come.
  advice.ask_after = now + kAskAgain;
  if (!reply.answered)
    return true;
  advice.valid_until = now + reply.valid;
  for (const AdmittedServer& admission : reply.admitted)
    advice.tickets[admission.server] = admission.ticket;
  return true;
}

void PlacementAdviceCache::Forget(const JobId& job) {
  std::erase_if(steps_,
                [&job](const auto& entry) { return entry.first.job == job; });
}

}  // namespace radishmoor
