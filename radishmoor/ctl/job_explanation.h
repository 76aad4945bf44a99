// What the logs of the job scheduler's processes say of one job, in the order
// of time, and what became of it and why.
//
//   std::ifstream logs("all-processes.log");
//   JobExplanation explanation = ExplainJob("d6ed3325345ee648", logs);
//   std::cout << explanation.text;
//
// The logs of all processes may be joined in any order; each line holds a JSON
// object, with any text before it. Costs one pass, and memory for the job's own
// lines, kMaxExplainedLines at most.

#ifndef RADISHMOOR_CTL_JOB_EXPLANATION_H_
#define RADISHMOOR_CTL_JOB_EXPLANATION_H_

#include <cstddef>
#include <istream>
#include <string>
#include <string_view>

namespace radishmoor {

inline constexpr size_t kMaxExplainedLines = 20'000;

struct JobExplanation {
  size_t lines = 0;       // That name the job.
  size_t unreadable = 0;  // Of these, without a JSON object.
  bool cut = false;       // There were more lines than the limit.
  std::string text;
};

JobExplanation ExplainJob(std::string_view job, std::istream& logs);

}  // namespace radishmoor

#endif  // RADISHMOOR_CTL_JOB_EXPLANATION_H_
