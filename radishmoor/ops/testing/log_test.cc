#include "radishmoor/ops/log.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <sstream>

namespace radishmoor {
namespace {

// Returns what is written for a line below the level and a line with `fields`.
std::string LogOnce(LogFormat format, std::initializer_list<LogField> fields) {
  auto stream = std::make_shared<std::ostringstream>();
  StartLog({.format = format, .level = LogLevel::kInfo, .stream = stream});
  Log(LogLevel::kDebug, "hidden");
  LogInfo("peer-lost", fields);
  return stream->str();
}

// Guards against values from outside that forge a log line or a field.
TEST_CASE("a value never starts a new line or a new field") {
  std::string line = LogOnce(
      LogFormat::kKeyValue,
      {{"peer", "a\nlevel=error x=1"}, {"n", 3}, {"ok", true}, {"id", "w-1"}});
  REQUIRE(line.find('\n') == line.size() - 1);
  REQUIRE(line.find("level=info event=peer-lost "
                    "peer=\"a\\nlevel=error x=1\" n=3 ok=true id=w-1") !=
          std::string::npos);
  REQUIRE(line.starts_with("time=2"));
}

// Guards against JSON lines that a log shipper cannot parse, and against lines
// below the level that are written.
TEST_CASE("a JSON line parses and keeps the types of its fields") {
  std::string line =
      LogOnce(LogFormat::kJson, {{"peer", "a\"b"}, {"n", uint64_t{18}}});
  auto object = boost::json::parse(line).as_object();
  REQUIRE(object.at("event").as_string() == "peer-lost");
  REQUIRE(object.at("level").as_string() == "info");
  REQUIRE(object.at("peer").as_string() == "a\"b");
  REQUIRE(object.at("n").to_number<int>() == 18);
  REQUIRE(object.contains("time"));
}

}  // namespace
}  // namespace radishmoor
