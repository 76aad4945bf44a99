// Explains from the scheduler processes' logs what happened to one job and why.
//
//   std::ifstream logs("all-processes.log");
//   JobExplanation explanation = ExplainJob("d6ed3325345ee648", logs);
//   std::cout << explanation.text;
//
// The logs of all processes may be concatenated in any order. Each line holds a
// JSON object, which may follow other text. Cost: one pass over the logs,
// memory for at most kMaxExplainedLines lines that name the job, and sorting
// them.

#ifndef RADISHMOOR_CTL_JOB_EXPLANATION_H_
#define RADISHMOOR_CTL_JOB_EXPLANATION_H_

#include <cstddef>
#include <istream>
#include <string>
#include <string_view>

namespace radishmoor {

// Maximum number of lines of a job that are shown and evaluated.
inline constexpr size_t kMaxExplainedLines = 20'000;

struct JobExplanation {
  size_t matching_lines = 0;    // Lines that name the job or one of its tasks.
  size_t unreadable_lines = 0;  // Matching lines without a valid JSON event.
  bool truncated = false;       // More than kMaxExplainedLines lines matched.
  std::string text;             // The lines ordered by time, then a conclusion.
};

// `job` is the job id. Reads `logs` to the end.
JobExplanation ExplainJob(std::string_view job, std::istream& logs);

}  // namespace radishmoor

#endif  // RADISHMOOR_CTL_JOB_EXPLANATION_H_
