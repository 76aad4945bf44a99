#include "radishmoor/ctl/job_explanation.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace radishmoor {
namespace {

namespace json = boost::json;

struct LogLine {
  std::string time;
  std::string event;
  json::object fields;
};

std::string Text(const json::object& fields, std::string_view key) {
  const json::value* value = fields.if_contains(key);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

int64_t Number(const json::object& fields, std::string_view key) {
  const json::value* value = fields.if_contains(key);
  return value != nullptr && value->is_int64() ? value->get_int64() : 0;
}

std::optional<LogLine> ParseLine(std::string_view line) {
  size_t begin = line.find('{');
  if (begin == std::string_view::npos)
    return std::nullopt;
  boost::system::error_code error;
  json::value parsed = json::parse(line.substr(begin), error);
  if (error || !parsed.is_object())
    return std::nullopt;
  LogLine result;
  result.fields = std::move(parsed.get_object());
  result.time = Text(result.fields, "time");
  result.event = Text(result.fields, "event");
  if (result.event.empty())
    return std::nullopt;
  return result;
}

std::string FormatLine(const LogLine& line) {
  std::string text = line.time + " " + line.event;
  for (const auto& [key, value] : line.fields) {
    if (key == "time" || key == "event" || key == "level")
      continue;
    text += " " + std::string(key) + "=";
    text += value.is_string() ? std::string(value.get_string())
                              : json::serialize(value);
  }
  return text + "\n";
}

// Collects the facts about one job from its log lines and words the conclusion.
class JobFindings {
 public:
  void Add(const LogLine& line) {
    const json::object& f = line.fields;
    if (line.event == "call-refused") {
      refusal_ = "A call was refused as " + Text(f, "outcome") + ": " +
                 Text(f, "reason") + ", by configuration " +
                 std::to_string(Number(f, "config")) + ".";
    } else if (line.event == "job-stored") {
      stored_ = true;
    } else if (line.event == "run-started") {
      if (Number(f, "waited_ms") > longest_wait_) {
        longest_wait_ = Number(f, "waited_ms");
        waited_task_ = Text(f, "task");
        free_cpu_ = Number(f, "free_cpu");
      }
    } else if (line.event == "run-over") {
      AddEnd(f);
    } else if (line.event == "job-completed") {
      completed_ = true;
      late_ms_ = Number(f, "late_ms");
      took_ms_ = Number(f, "took_ms");
    } else if (line.event == "job-failed") {
      failed_ = "The job failed: task " + Text(f, "task") + " failed " +
                std::to_string(Number(f, "failures")) +
                " times, the limit is " + std::to_string(Number(f, "limit")) +
                ".";
    } else if (line.event == "job-cancelled") {
      cancelled_ = true;
    }
  }

  std::string Conclusion() const {
    std::string text;
    if (!stored_ && !refusal_.empty())
      text += refusal_ + " No line says that the job was stored.\n";
    else if (!refusal_.empty())
      text += refusal_ + " Another call of the job was accepted.\n";
    if (!failed_.empty()) {
      text += failed_ + "\n";
      text += failure_servers_.size() > 1
                  ? "Its tasks failed on several servers, so the job itself is "
                    "the likely cause.\n"
                  : "Its tasks failed on one server; look for its "
                    "server-held-back lines.\n";
    } else if (cancelled_) {
      text += "The job was cancelled.\n";
    } else if (completed_) {
      text += "The job was completed after " + std::to_string(took_ms_) +
              " ms, " + std::to_string(late_ms_ < 0 ? -late_ms_ : late_ms_) +
              (late_ms_ > 0 ? " ms late.\n" : " ms before its objective.\n");
    } else if (stored_) {
      text += "No line shows the end of the job.\n";
    }
    if (longest_wait_ > 0) {
      text += "The longest wait for a server was " +
              std::to_string(longest_wait_) + " ms, of task " + waited_task_ +
              "; the server had " + std::to_string(free_cpu_) +
              " thousandths of a core free after its start.\n";
    }
    if (longest_run_ > 0) {
      text += "The longest run took " + std::to_string(longest_run_) +
              " ms, of task " + longest_task_ + ".\n";
    }
    for (const auto& [reason, count] : ends_) {
      if (reason != "done")
        text += std::to_string(count) + " runs ended as " + reason + ".\n";
    }
    return text.empty() ? "The logs do not show what happened to the job.\n"
                        : text;
  }

 private:
  void AddEnd(const json::object& f) {
    std::string reason = Text(f, "reason");
    ++ends_[reason];
    if (reason == "failed")
      failure_servers_.insert(Text(f, "server"));
    if (Number(f, "ran_ms") > longest_run_) {
      longest_run_ = Number(f, "ran_ms");
      longest_task_ = Text(f, "task");
    }
  }

  std::string refusal_;
  std::string failed_;
  bool stored_ = false;
  bool completed_ = false;
  bool cancelled_ = false;
  int64_t took_ms_ = 0;
  int64_t late_ms_ = 0;
  int64_t longest_wait_ = 0;
  std::string waited_task_;
  int64_t free_cpu_ = 0;
  int64_t longest_run_ = 0;
  std::string longest_task_;
  std::map<std::string, int> ends_;
  std::set<std::string> failure_servers_;
};

}  // namespace

JobExplanation ExplainJob(std::string_view job, std::istream& logs) {
  JobExplanation result;
  std::vector<LogLine> lines;
  // Matches the id of the job and the ids of its tasks, which begin with it.
  std::string name = "\"" + std::string(job);
  std::string text;
  while (std::getline(logs, text)) {
    if (text.find(name) == std::string::npos)
      continue;
    ++result.matching_lines;
    std::optional<LogLine> line = ParseLine(text);
    if (!line) {
      ++result.unreadable_lines;
    } else if (lines.size() == kMaxExplainedLines) {
      result.truncated = true;
    } else {
      lines.push_back(std::move(*line));
    }
  }
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
  JobFindings findings;
  for (const LogLine& line : lines) {
    findings.Add(line);
    result.text += FormatLine(line);
  }
  result.text += "\n" + findings.Conclusion();
  return result;
}

}  // namespace radishmoor
