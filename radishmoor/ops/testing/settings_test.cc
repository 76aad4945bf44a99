#include "radishmoor/ops/settings.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "radishmoor/ops/program_settings.h"

namespace radishmoor {
namespace {

ParseResult ParseSettings(const SettingsTable& table,
                          std::vector<const char*> args,
                          std::vector<const char*> environment = {}) {
  args.insert(args.begin(), "program");
  environment.push_back(nullptr);
  return table.Parse(static_cast<int>(args.size()), args.data(),
                     environment.data());
}

std::vector<const char*> EntryArgs(std::vector<const char*> more = {}) {
  std::vector<const char*> args{"--member-id",
                                "e1",
                                "--zone",
                                "z",
                                "--listen-address",
                                "127.0.0.1:0",
                                "--admin-address",
                                "127.0.0.1:0",
                                "--peer-address",
                                "127.0.0.1:0",
                                "--platform-address",
                                "127.0.0.1:9"};
  args.insert(args.end(), more.begin(), more.end());
  return args;
}

bool Contains(const std::vector<std::string>& lines, std::string_view text) {
  for (const std::string& line : lines) {
    if (line.find(text) != std::string::npos)
      return true;
  }
  return false;
}

// Guards against an operator who must start a program once for each error in
// its settings.
TEST_CASE("all errors are reported at once, one line each") {
  ParseResult result = ParseSettings(
      EntrySettingsTable(),
      {"--member-id", "a b", "--zonee", "z", "--grace-period-ms", "-1",
       "--listen-address", "localhost:1", "--log-format", "xml", "stray",
       "--admin-address", "127.0.0.1:70000", "--peer-address"},
      {"RADISHMOOR_LOG_LEVEL=loud", "RADISHMOOR_TYPO=1", "HOME=/"});
  REQUIRE(result.exit_code == 2);
  for (const char* part :
       {"--member-id: 'a b' is not valid", "'--zonee': unknown setting",
        "--grace-period-ms: '-1' is not valid, expected an integer from 0",
        "--listen-address: 'localhost:1'", "--log-format: 'xml'",
        "'stray': belongs to no setting", "--admin-address: '127.0.0.1:70000'",
        "--peer-address: needs a value", "--platform-address: missing",
        "--zone: missing", "RADISHMOOR_LOG_LEVEL: 'loud'",
        "'RADISHMOOR_TYPO': unknown environment variable"}) {
    INFO(part);
    REQUIRE(Contains(result.errors, part));
  }
  REQUIRE(result.errors.size() == 12);
}

// Guards against a flag that the environment of a service unit overrides.
TEST_CASE("a flag overrides its variable, which overrides the default") {
  auto with_variable = {"RADISHMOOR_GRACE_PERIOD_MS=5"};
  auto table = EntrySettingsTable();
  auto both =
      ParseSettings(table, EntryArgs({"--grace-period-ms=7"}), with_variable);
  REQUIRE(both.errors.empty());
  REQUIRE(EntrySettingsFrom(both.values).grace_period == Milliseconds(7));
  auto variable = ParseSettings(table, EntryArgs(), with_variable);
  REQUIRE(EntrySettingsFrom(variable.values).grace_period == Milliseconds(5));
  EntrySettings defaults =
      EntrySettingsFrom(ParseSettings(table, EntryArgs()).values);
  REQUIRE(defaults.grace_period == Milliseconds(10000));
  REQUIRE(defaults.max_caller_connections == 12000);
  REQUIRE(defaults.seed_peers.empty());
}

// Guards against settings that are valid one by one but cannot work together.
TEST_CASE("contradictions between settings are errors") {
  auto result = ParseSettings(
      EntrySettingsTable(),
      EntryArgs({"--zone", "y", "--seed-peers", "127.0.0.1:4,127.0.0.1:5,",
                 "--log-level", "debug", "--log-level", "debug"}));
  REQUIRE(Contains(result.errors, "--zone: given twice, as 'z' and 'y'"));
  REQUIRE(Contains(result.errors, "--seed-peers"));
  REQUIRE(result.errors.size() == 2);
  auto same = ParseSettings(
      ControlSettingsTable(),
      {"--member-id", "c1", "--zone", "z", "--admin-address", "127.0.0.1:7",
       "--peer-address", "127.0.0.1:7", "--platform-address", "127.0.0.1:9"});
  REQUIRE(same.errors.size() == 1);
  REQUIRE(Contains(same.errors, "both are 127.0.0.1:7"));
}

// Guards against a misspelt setting name in code that reads as an empty value.
TEST_CASE("accessors throw on an unknown name or another type") {
  auto values = ParseSettings(EntrySettingsTable(), EntryArgs()).values;
  REQUIRE_THROWS_AS(values.Integer("grace-period"), std::out_of_range);
  REQUIRE_THROWS_AS(values.Text("grace-period-ms"), std::logic_error);
  SettingsTable table("p", "");
  REQUIRE_THROWS_AS(table.Add({.name = "n",
                               .type = SettingType::kInteger,
                               .default_value = "9",
                               .max = 8}),
                    std::logic_error);
}

TEST_CASE("the flags --help and --check-settings set an exit code") {
  auto help = ParseSettings(EntrySettingsTable(), {"-h"});
  REQUIRE(help.exit_code == 0);
  REQUIRE(help.output.find("Examples:") != std::string::npos);
  auto check =
      ParseSettings(EntrySettingsTable(), EntryArgs({"--check-settings"}));
  REQUIRE(check.exit_code == 0);
  REQUIRE(check.output.find("zone=z (flag)") != std::string::npos);
  REQUIRE(ParseSettings(EntrySettingsTable(), {"--check-settings"}).exit_code ==
          2);
}

// Guards against documentation that differs from what the programs accept.
TEST_CASE("docs/settings.md is the generated text") {
  std::string root = std::string(__FILE__).substr(
      0, std::string(__FILE__).find("radishmoor/ops/testing"));
  std::ifstream file(root + "docs/settings.md");
  std::stringstream text;
  text << file.rdbuf();
  REQUIRE(text.str() == SettingsPage());
}

// Guards against command lines that make the parser library throw, or that are
// refused without an error message.
TEST_CASE("any command line without a required setting gives an error") {
  const std::vector<std::string> pieces{"-",
                                        "--",
                                        "--author",
                                        "--author=",
                                        "=",
                                        "-h=",
                                        "--log-level",
                                        "debug",
                                        "",
                                        "a",
                                        "--json",
                                        "\a",
                                        "-1",
                                        "--ignore_rest",
                                        "--author=--x",
                                        "--operation",
                                        "--check-settings",
                                        "--json=true",
                                        "127.0.0.1:1"};
  SettingsTable table = CtlSettingsTable();
  REQUIRE(rc::check([&](const std::vector<uint8_t>& choices) {
    std::vector<const char*> args;
    for (uint8_t choice : choices)
      args.push_back(pieces[choice % pieces.size()].c_str());
    ParseResult result = ParseSettings(table, args);
    RC_ASSERT(result.exit_code == 2);  // --platform-address is never given.
    RC_ASSERT(!result.errors.empty());
    for (const std::string& error : result.errors)
      RC_ASSERT(error.find_first_of("\n\a") == std::string::npos);
  }));
}

TEST_CASE("only an IP address with a port parses as an address") {
  REQUIRE(ParseSocketAddress("[::1]:80")->str() == "[::1]:80");
  REQUIRE(ParseSocketAddress("10.0.0.1:0")->port == 0);
  for (const char* bad : {"", ":1", "::1:80", "1.2.3:4", "1.2.3.4", "1.2.3.4:",
                          "1.2.3.4:65536", "1.2.3.4:+1", "[]:1", "a:1"}) {
    INFO(bad);
    REQUIRE(!ParseSocketAddress(bad));
  }
}

}  // namespace
}  // namespace radishmoor
