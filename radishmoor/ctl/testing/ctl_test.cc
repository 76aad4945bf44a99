#include "radishmoor/ctl/ctl.h"

#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include "radishmoor/config/inventory.h"
#include "radishmoor/membership/member.h"
#include "radishmoor/ops/timeline_json.h"
#include "radishmoor/store/memory_table.h"

namespace radishmoor {
namespace {

std::string SitePath(const std::string& name) {
  std::string here = __FILE__;
  return here.substr(0, here.find("radishmoor/ctl/testing")) + "sites/" + name;
}

// A store, admin servers, and the output of the last command.
struct Fixture {
  MemoryTable table;
  bool store_down = false;
  int lost_commits = 0;  // Number of following commit requests that are lost.
  std::map<std::string, std::string> admin_pages;  // By address and path.
  int connects = 0;  // Number of connections to the platform.
  std::string out;
  std::string err;

  StoreReply Store(const StoreRequest& request) {
    if (store_down)
      return UnavailableReply{"connection refused"};
    if (std::holds_alternative<CommitRows>(request) && lost_commits > 0) {
      --lost_commits;
      return UnknownReply{"timeout"};
    }
    return table.Handle(request);
  }

  int Run(std::vector<std::string> args) {
    args.insert(args.begin(),
                {"radishmoorctl", "--platform-address", "127.0.0.1:9"});
    std::vector<const char*> argv;
    for (const std::string& arg : args)
      argv.push_back(arg.c_str());
    std::ostringstream out_stream;
    std::ostringstream err_stream;
    int code = RunCtl(
        static_cast<int>(argv.size()), argv.data(), nullptr,
        [this](const CtlSettings&) {
          ++connects;
          return CtlIo{
              [this](const StoreRequest& request) { return Store(request); },
              [this](const std::string& address,
                     const std::string& path) -> std::optional<std::string> {
                auto it = admin_pages.find(address + path);
                if (it == admin_pages.end())
                  return std::nullopt;
                return it->second;
              },
              [] { return uint64_t{41}; }};
        },
        out_stream, err_stream);
    out = out_stream.str();
    err = err_stream.str();
    return code;
  }

  void PutRow(const std::string& key, const std::string& value) {
    table.Handle(CommitRows{{{1}, {}, {{key, value}}}});
  }
};

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

// Guards against a command that connects to the platform before its command
// line, settings and file have been checked.
TEST_CASE("usage errors exit with 2 and open no connection") {
  Fixture fixture;
  for (const std::vector<std::string>& args :
       std::vector<std::vector<std::string>>{{},
                                             {"destroy"},
                                             {"plan"},
                                             {"show", "racks"},
                                             {"status", "now"},
                                             {"apply", "/no/such/file"},
                                             {"--jsn", "status"}}) {
    REQUIRE(fixture.Run(args) == kCtlUsage);
    REQUIRE(!fixture.err.empty());
  }
  REQUIRE(fixture.connects == 0);
  REQUIRE(fixture.Run({"--help"}) == 0);
  REQUIRE(Contains(fixture.out, "Examples:"));
}

// Guards against a file error without its position.
TEST_CASE("errors in an invalid inventory report the file and the JSON path") {
  auto path = std::filesystem::temp_directory_path() / "radishmoor_ctl_test";
  std::ofstream(path) << R"({"hosts":[{}],"pools":[]})";
  Fixture fixture;
  REQUIRE(fixture.Run({"apply", path.string()}) == kCtlRefused);
  REQUIRE(Contains(fixture.err, path.string() +
                                    ": $.hosts[0].zone: the field is missing; "
                                    "add it\n"));
  std::filesystem::remove(path);
  REQUIRE(fixture.connects == 0);
}

TEST_CASE("plan, apply, drain, retire and show print their results") {
  Fixture fixture;
  std::string site = SitePath("nilehook.json");
  REQUIRE(fixture.Run({"plan", site}) == 0);
  REQUIRE(Contains(fixture.out, "+ host nh-quoting-01: zone cairo-a"));
  REQUIRE(fixture.Run({"apply", site}) == 0);
  REQUIRE(Contains(fixture.out, "Applied as version 1\n"));
  REQUIRE(fixture.Run({"--operation", "5", "apply", site}) == 0);
  REQUIRE(Contains(fixture.out, "No change; version 1\n"));
  REQUIRE(fixture.Run({"--operation", "6", "drain", "nh-billing-02"}) == 0);
  REQUIRE(Contains(fixture.out, "~ host nh-billing-02: intent serve -> drain"));
  REQUIRE(fixture.Run({"--operation", "7", "drain", "nh-billing-99"}) ==
          kCtlRefused);
  REQUIRE(Contains(fixture.out, "there is no host nh-billing-99"));
  REQUIRE(fixture.Run({"--operation", "8", "--expect-version", "1", "retire",
                       "nh-billing-03"}) == kCtlRefused);
  REQUIRE(Contains(fixture.err, "~ host nh-billing-02: intent serve -> drain"));
  REQUIRE(Contains(fixture.err, "--expect-version 2"));
  REQUIRE(fixture.Run(
              {"--operation", "9", "--json", "retire", "nh-billing-03"}) == 0);
  auto result = boost::json::parse(fixture.out).as_object();
  REQUIRE(result.at("result").as_string() == "applied");
  REQUIRE(result.at("version").to_number<int>() == 3);
  REQUIRE(fixture.Run({"show", "pools"}) == 0);
  REQUIRE(Contains(fixture.out, "billing   10     10"));
  REQUIRE(fixture.Run({"show", "hosts"}) == 0);
  REQUIRE(Contains(fixture.out, "127.0.0.1:20050"));
  REQUIRE(fixture.Run({"show", "config"}) == 0);
  REQUIRE(Contains(fixture.out, "Version: 3\n"));
  // The JSON output of show config is a valid inventory.
  REQUIRE(fixture.Run({"--json", "show", "config"}) == 0);
  REQUIRE(ParseInventory(fixture.out).inventory->hosts.size() == 50);
}

// Guards against exit codes that let a script take a lost answer for a refusal
// or an outage for a success.
TEST_CASE(
    "exit codes distinguish an unreachable store from an unknown outcome") {
  Fixture fixture;
  std::string site = SitePath("akwaaba.json");
  fixture.lost_commits = 3;
  REQUIRE(fixture.Run({"apply", site}) == kCtlUnknown);
  REQUIRE(Contains(fixture.err, "--operation 42"));
  REQUIRE(fixture.Run({"--operation", "42", "apply", site}) == 0);
  REQUIRE(fixture.Run({"--operation", "42", "apply", site}) == 0);
  REQUIRE(fixture.out == "Applied as version 1\n");
  fixture.store_down = true;
  for (const char* command : {"status", "timeline"})
    REQUIRE(fixture.Run({command}) == kCtlUnreachable);
  REQUIRE(fixture.Run({"apply", site}) == kCtlUnreachable);
  REQUIRE(Contains(fixture.err, "connection refused"));
  fixture.store_down = false;
  fixture.PutRow(kConfigHeadKey, "garbage");
  REQUIRE(fixture.Run({"status"}) == kCtlUnreachable);
}

std::string MemberRow(const char* id,
                      uint64_t incarnation,
                      const char* admin_address,
                      std::vector<HostId> busy = {}) {
  MemberRecord record;
  record.id = MemberId(id);
  record.incarnation = {incarnation};
  record.zone = ZoneId("accra-hall");
  record.addresses = {"127.0.0.1:9", admin_address};
  record.busy_hosts = std::move(busy);
  return EncodeMember(record);
}

// Guards against one undecodable row that prevents the others from being shown.
TEST_CASE("status shows the version in force of each process") {
  Fixture fixture;
  fixture.Run({"apply", SitePath("akwaaba.json")});
  fixture.PutRow("member/e1", MemberRow("e1", 7, "127.0.0.1:1",
                                        {HostId("w-1"), HostId("w-2")}));
  fixture.PutRow("member/e2", "{\"in_force\":\"\x1b[2J\"}");
  REQUIRE(fixture.Run({"status"}) == 0);
  REQUIRE(Contains(fixture.out,
                   "e1      entry           accra-hall  7            0         "
                   "1       w-1 w-2  127.0.0.1:1\n"));
  REQUIRE(Contains(fixture.out, "e2      unreadable row"));
  REQUIRE(fixture.Run({"--json", "status"}) == 0);
  auto members = boost::json::parse(fixture.out).at("members").as_array();
  REQUIRE(members.at(0).at("busy").as_array().size() == 2);
}

// Guards against a member row of an ended process that blocks drains forever,
// and against an error for a row that does not exist.
TEST_CASE("forget removes a member row and accepts a missing one") {
  Fixture fixture;
  fixture.PutRow("member/e1", MemberRow("e1", 7, "127.0.0.1:1"));
  REQUIRE(fixture.Run({"forget", "e1"}) == 0);
  REQUIRE(fixture.Run({"--json", "status"}) == 0);
  REQUIRE_FALSE(Contains(fixture.out, "e1"));
  REQUIRE(fixture.Run({"forget", "e1"}) == 0);
  REQUIRE(Contains(fixture.out, "nothing to do"));
}

TimelineEvent Event(uint64_t sequence, int64_t wall, const char* host) {
  return {.sequence = sequence,
          .stamp = {wall, 0},
          .kind = EventKind::kHostDraining,
          .request = {sequence},
          .host = HostId(host)};
}

// Guards against events that appear twice or in the wrong order, and against
// missing events of processes that have ended.
TEST_CASE("timeline merges events of rings and stored batches") {
  Fixture fixture;
  fixture.PutRow("member/a", MemberRow("a", 2, "127.0.0.1:1"));
  fixture.PutRow("member/b", MemberRow("b", 1, "127.0.0.1:2"));
  MemberId a("a");
  MemberId c("c");
  fixture.admin_pages["127.0.0.1:1/timeline"] =
      EncodeTimeline({a, {2}, 0, {Event(1, 30, "h1"), Event(2, 50, "h2")}});
  auto put_batch = [&](const TimelineBatch& batch) {
    fixture.table.Handle(PutObject{TimelineKey(batch.member, batch.incarnation,
                                               batch.events.back().sequence),
                                   EncodeTimeline(batch)});
  };
  put_batch({a, {1}, 0, {Event(1, 10, "h1")}});
  put_batch({a, {2}, 0, {Event(1, 30, "h1")}});
  put_batch({c, {1}, 4, {Event(1, 40, "h1")}});
  fixture.table.Handle(PutObject{"timeline/c/1/2", "garbage"});
  REQUIRE(fixture.Run({"--json", "timeline"}) == 0);
  std::vector<int> walls;
  auto document = boost::json::parse(fixture.out);
  for (const auto& event : document.at("events").as_array())
    walls.push_back(event.at("wall").to_number<int>());
  REQUIRE(walls == std::vector<int>{10, 30, 40, 50});
  REQUIRE(Contains(fixture.err, "b: its admin server does not answer"));
  REQUIRE(Contains(fixture.err, "c: 4 events were overwritten"));
  REQUIRE(Contains(fixture.err, "timeline/c/1/2: cannot decode"));
  REQUIRE(fixture.Run({"timeline", "--host", "h2"}) == 0);
  REQUIRE(Contains(fixture.out,
                   "1970-01-01T00:00:00.050Z  0        a       host-draining"));
  REQUIRE(std::count(fixture.out.begin(), fixture.out.end(), '\n') == 2);
  REQUIRE(fixture.Run({"timeline", "--request", "2"}) == 0);
  REQUIRE(std::count(fixture.out.begin(), fixture.out.end(), '\n') == 2);
}

// Guards against a command that reads all batches of a long-running site.
TEST_CASE("only the latest batches of a member are read") {
  Fixture fixture;
  MemberId a("a");
  for (uint64_t n = 1; n <= kMaxBatchesPerMember + 5; ++n) {
    fixture.table.Handle(
        PutObject{TimelineKey(a, {1}, n),
                  EncodeTimeline({a, {1}, 0, {Event(n, 1000, "h")}})});
  }
  REQUIRE(fixture.Run({"--json", "timeline"}) == 0);
  auto events = boost::json::parse(fixture.out).at("events").as_array();
  REQUIRE(events.size() == kMaxBatchesPerMember);
  REQUIRE(events.at(0).at("sequence").to_number<int>() == 6);
  REQUIRE(Contains(fixture.err, "5 older batches were not read"));
}

// Guards against a command that needs the platform although it only reads a
// file.
TEST_CASE("explain reads a log file and opens no connection", "[ctl]") {
  Fixture fixture;
  REQUIRE(fixture.Run({"explain", "d6ed3325345ee648", "/nonexistent"}) ==
          kCtlUsage);
  auto path = std::filesystem::temp_directory_path() /
              ("explain-" + std::to_string(::getpid()) + ".log");
  std::ofstream(path) << R"({"time":"1","event":"job-stored",)"
                      << R"("job":"d6ed3325345ee648"})"
                      << "\n";
  REQUIRE(fixture.Run({"explain", "d6ed3325345ee648", path.string()}) ==
          kCtlDone);
  REQUIRE(Contains(fixture.out, "job-stored"));
  REQUIRE(fixture.Run({"explain", "0000000000000000", path.string()}) ==
          kCtlRefused);
  std::filesystem::remove(path);
  REQUIRE(fixture.connects == 0);
}

// Guards against reporting that a process owns no pool when it did not answer.
TEST_CASE("jobs shows the pools of one scheduler process", "[ctl]") {
  Fixture fixture;
  fixture.admin_pages["10.0.0.1:7/pools"] = "pool p token=3\n";
  fixture.admin_pages["10.0.0.2:7/pools"] = "";
  REQUIRE(fixture.Run({"jobs", "10.0.0.1:7"}) == kCtlDone);
  REQUIRE(fixture.out == "pool p token=3\n");
  REQUIRE(fixture.Run({"jobs", "10.0.0.2:7"}) == kCtlDone);
  REQUIRE(Contains(fixture.out, "owns no pool"));
  REQUIRE(fixture.Run({"jobs", "10.0.0.3:7"}) == kCtlUnreachable);
}

}  // namespace
}  // namespace radishmoor
