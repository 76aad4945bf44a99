#include "radishmoor/jobs/testing/simulated_adviser.h"

#include <algorithm>

namespace radishmoor {
namespace {

constexpr size_t kAdmittedEvery = 8;
// A repeated question about a server that was not admitted within this time is
// counted.
constexpr Duration kMinRecheckInterval = Seconds(5);

std::string StepName(const TaskId& task) {
  return task.job.str() + "." + std::to_string(task.occurrence) + "." +
         std::to_string(task.step);
}

std::string TicketName(const TaskId& task, const ServerId& server) {
  return "t-" + StepName(task) + "-" + server.str();
}

}  // namespace

bool SimulatedAdviser::Admits(const TaskId& task, size_t position) {
  size_t offset = task.step;
  for (char c : task.job.str())
    offset += static_cast<unsigned char>(c);
  return position != SIZE_MAX && (position + offset) % kAdmittedEvery == 0;
}

SimulatedAdviser::Result SimulatedAdviser::Request(
    Time now,
    const std::string& process,
    const PlacementAdviceRequest& request,
    const std::function<Place(const ServerId&)>& place_of) {
  std::deque<Time>& open = open_[process];
  while (!open.empty() && open.front() <= now)
    open.pop_front();
  Result result;
  result.answered_at = now;
  result.reply.tag = request.tag;
  if (open.size() > options_.max_waiting) {
    ++counts_.refused;
    return result;
  }
  ++counts_.answered;
  Time begins = open.empty() ? now : open.back();
  result.answered_at =
      begins + options_.per_request +
      options_.per_server * static_cast<int64_t>(request.servers.size());
  open.push_back(result.answered_at);
  result.reply.answered = true;
  result.reply.valid = options_.ticket_validity;
  TaskId task{request.job, request.occurrence, request.step, 0};
  for (const ServerId& server : request.servers) {
    Place place = place_of(server);
    if (Admits(task, place.position)) {
      std::string ticket = TicketName(task, server);
      tickets_[ticket] = {place.started_at,
                          result.answered_at + options_.ticket_validity};
      result.reply.admitted.push_back({server, ticket});
      continue;
    }
    auto [rejection, first] = rejections_.try_emplace(
        {process, StepName(task), server, place.started_at},
        result.answered_at);
    if (!first && now - rejection->second < kMinRecheckInterval)
      ++counts_.repeated;
    rejection->second = result.answered_at;
  }
  return result;
}

bool SimulatedAdviser::IsValidTicket(Time now,
                                     const TaskId& task,
                                     const ServerId& server,
                                     WallMillis server_started_at,
                                     const std::string& ticket) const {
  auto issued = tickets_.find(ticket);
  return ticket == TicketName(task, server) && issued != tickets_.end() &&
         issued->second.server_started_at == server_started_at &&
         now < issued->second.valid_until;
}

}  // namespace radishmoor
