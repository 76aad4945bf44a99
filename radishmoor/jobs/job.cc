#include "radishmoor/jobs/job.h"

#include <charconv>
#include <string_view>

namespace radishmoor {
namespace {

bool ParseNumber(std::string_view text, uint32_t& value) {
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size();
}

// Returns true if the steps can be ordered so that each one comes after all
// steps that it names.
bool IsAcyclic(const std::vector<StepSpec>& steps) {
  std::vector<bool> ordered(steps.size(), false);
  for (size_t round = 0; round < steps.size(); ++round) {
    bool progress = false;
    for (size_t i = 0; i < steps.size(); ++i) {
      if (ordered[i])
        continue;
      bool ready = true;
      for (uint32_t predecessor : steps[i].after)
        ready = ready && ordered[predecessor];
      if (ready) {
        ordered[i] = true;
        progress = true;
      }
    }
    if (!progress)
      break;
  }
  for (bool is_ordered : ordered) {
    if (!is_ordered)
      return false;
  }
  return true;
}

}  // namespace

std::optional<std::string> CheckJob(const JobSpec& spec) {
  if (spec.payload.size() > kMaxPayloadBytes)
    return "the spec is longer than 4000 bytes";
  if (spec.steps.empty())
    return "the job has no steps";
  if (spec.steps.size() > kMaxSteps)
    return "the job has more than 64 steps";
  uint64_t tasks = 0;
  for (const StepSpec& step : spec.steps) {
    if (step.count == 0)
      return "a step has no tasks";
    tasks += step.count;
    if (step.request.cpu_millis < 0 || step.request.memory_mb < 0 ||
        step.request.gpus < 0)
      return "a step requests a negative amount";
    for (uint32_t predecessor : step.after) {
      if (predecessor >= spec.steps.size())
        return "a step comes after one that does not exist";
    }
  }
  if (tasks > kMaxTasksPerJob)
    return "the job has more than 4096 tasks";
  if (!IsAcyclic(spec.steps))
    return "the steps wait for each other";
  return std::nullopt;
}

std::string FormatTask(const TaskId& task) {
  return task.job.str() + "." + std::to_string(task.occurrence) + "." +
         std::to_string(task.step) + "." + std::to_string(task.index);
}

std::optional<TaskId> ParseTask(std::string_view text) {
  TaskId task;
  uint32_t* parts[] = {&task.index, &task.step, &task.occurrence};
  for (uint32_t* part : parts) {
    size_t dot = text.rfind('.');
    if (dot == std::string_view::npos ||
        !ParseNumber(text.substr(dot + 1), *part))
      return std::nullopt;
    text = text.substr(0, dot);
  }
  if (text.empty())
    return std::nullopt;
  task.job = JobId(text);
  return task;
}

}  // namespace radishmoor
