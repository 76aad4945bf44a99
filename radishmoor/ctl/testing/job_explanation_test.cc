#include "radishmoor/ctl/job_explanation.h"

#include <catch2/catch.hpp>
#include <sstream>

namespace radishmoor {
namespace {

std::string Explain(const std::string& logs) {
  std::istringstream stream(logs);
  return ExplainJob("d6ed3325345ee648", stream).text;
}

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

// Guards against log lines of several processes that are shown in the wrong
// order and against an explanation without the longest wait.
TEST_CASE("a late job's explanation names its longest wait and how runs ended",
          "[explain]") {
  std::string text = Explain(
      R"(x {"time":"2026-01-01T00:00:09Z","event":"job-completed","job":"d6ed3325345ee648","took_ms":9000,"late_ms":1300}
{"time":"2026-01-01T00:00:01Z","event":"job-stored","job":"d6ed3325345ee648"}
{"time":"2026-01-01T00:00:05Z","event":"run-over","task":"d6ed3325345ee648.0.0.1","run":1,"server":"s1","reason":"lapsed","ran_ms":3100}
{"time":"2026-01-01T00:00:02Z","event":"run-started","task":"d6ed3325345ee648.0.0.1","run":1,"server":"s1","waited_ms":629,"free_cpu":200}
{"time":"2026-01-01T00:00:03Z","event":"job-stored","job":"ffffffffffffffff"}
)");
  REQUIRE(text.find("job-stored") < text.find("run-started"));
  REQUIRE(text.find("run-over") < text.find("job-completed"));
  REQUIRE_FALSE(Contains(text, "ffffffffffffffff"));
  REQUIRE(Contains(text, "1300 ms late"));
  REQUIRE(Contains(text, "629 ms, of task d6ed3325345ee648.0.0.1"));
  REQUIRE(Contains(text, "1 runs ended as lapsed"));
}

// Guards against presenting a refusal as final although another call of the job
// was accepted.
TEST_CASE("the explanation of a refused job names the reason", "[explain]") {
  std::string refused =
      R"({"time":"1","event":"call-refused","job":"d6ed3325345ee648","outcome":"not-accepted","reason":"store-lost","config":7}
)";
  REQUIRE(Contains(Explain(refused), "not-accepted: store-lost"));
  REQUIRE(Contains(Explain(refused), "No line says that the job was stored"));
  std::string stored =
      R"({"time":"2","event":"job-stored","job":"d6ed3325345ee648"}
)";
  REQUIRE(Contains(Explain(refused + stored), "Another call"));
}

// Guards against blaming the job for failures of one server, and the reverse.
TEST_CASE("the explanation of a failed job says whether several servers failed",
          "[explain]") {
  auto failure = [](const std::string& server) {
    return R"({"time":"1","event":"run-over","task":"d6ed3325345ee648.0.0.0","reason":"failed","server":")" +
           server + "\"}\n";
  };
  std::string end =
      R"({"time":"2","event":"job-failed","job":"d6ed3325345ee648","task":"d6ed3325345ee648.0.0.0","failures":2,"limit":2}
)";
  REQUIRE(
      Contains(Explain(failure("a") + failure("b") + end), "several servers"));
  REQUIRE(Contains(Explain(failure("a") + failure("a") + end), "one server"));
}

// Guards against a damaged line that stops the reading.
TEST_CASE("lines without valid JSON are counted", "[explain]") {
  std::istringstream logs(
      "\"d6ed3325345ee648 {\n{\"event\":\"job-stored\",\"job\":"
      "\"d6ed3325345ee648\"}\n");
  JobExplanation explanation = ExplainJob("d6ed3325345ee648", logs);
  REQUIRE(explanation.matching_lines == 2);
  REQUIRE(explanation.unreadable_lines == 1);
  REQUIRE(Contains(explanation.text, "No line shows the end"));
}

}  // namespace
}  // namespace radishmoor
