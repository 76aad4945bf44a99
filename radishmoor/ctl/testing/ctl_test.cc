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

std::string Site(const std::string& name) {
  std::string here = __FILE__;
  return here.substr(0, here.find("radishmoor/ctl/testing")) + "sites/" + name;
}

// A site with a store and admin servers, and the output of the last command.
struct Fixture {
  MemoryTable table;
  bool store_down = false;
  int lost_commits = 0;  // Answers of the next commits that are lost.
  std::map<std::string, std::string> admin;
  int connects = 0;
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
                auto it = admin.find(address + path);
                if (it == admin.end())
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

  void Put(const std::string& key, const std::string& value) {
    table.Handle(CommitRows{{{1}, {}, {{key, value}}}});
  }
};

bool Has(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

// Guards against a command that touches the platform before its own form, its
// settings and its file are known to be right.
TEST_CASE("usage errors exit with 2 and open no connection") {
  Fixture f;
  for (const std::vector<std::string>& args :
       std::vector<std::vector<std::string>>{{},
                                             {"destroy"},
                                             {"plan"},
                                             {"show", "racks"},
                                             {"status", "now"},
                                             {"apply", "/no/such/file"},
                                             {"--jsn", "status"}}) {
    REQUIRE(f.Run(args) == kCtlUsage);
    REQUIRE(!f.err.empty());
  }
  REQUIRE(f.connects == 0);
  REQUIRE(f.Run({"--help"}) == 0);
  REQUIRE(Has(f.out, "Examples:"));
}

// Guards against an error in a file that an operator cannot find.
TEST_CASE("a faulty file is refused with file and path") {
  auto path = std::filesystem::temp_directory_path() / "radishmoor_ctl_test";
  std::ofstream(path) << R"({"hosts":[{}],"pools":[]})";
  Fixture f;
  REQUIRE(f.Run({"apply", path.string()}) == kCtlRefused);
  REQUIRE(Has(f.err, path.string() + ": $.hosts[0].zone: the field is missing; "
                                     "add it\n"));
  std::filesystem::remove(path);
  REQUIRE(f.connects == 0);
}

TEST_CASE("plan, apply, drain, retire and show") {
  Fixture f;
  std::string site = Site("nilehook.json");
  REQUIRE(f.Run({"plan", site}) == 0);
  REQUIRE(Has(f.out, "+ host nh-quoting-01: zone cairo-a"));
  REQUIRE(f.Run({"apply", site}) == 0);
  REQUIRE(Has(f.out, "Applied as version 1\n"));
  REQUIRE(f.Run({"--operation", "5", "apply", site}) == 0);
  REQUIRE(Has(f.out, "No change; version 1\n"));
  REQUIRE(f.Run({"--operation", "6", "drain", "nh-billing-02"}) == 0);
  REQUIRE(Has(f.out, "~ host nh-billing-02: intent serve -> drain"));
  REQUIRE(f.Run({"--operation", "7", "drain", "nh-billing-99"}) == kCtlRefused);
  REQUIRE(Has(f.out, "there is no host nh-billing-99"));
  REQUIRE(f.Run({"--operation", "8", "--expect-version", "1", "retire",
                 "nh-billing-03"}) == kCtlRefused);
  REQUIRE(Has(f.err, "~ host nh-billing-02: intent serve -> drain"));
  REQUIRE(Has(f.err, "--expect-version 2"));
  REQUIRE(f.Run({"--operation", "9", "--json", "retire", "nh-billing-03"}) ==
          0);
  auto result = boost::json::parse(f.out).as_object();
  REQUIRE(result.at("result").as_string() == "applied");
  REQUIRE(result.at("version").to_number<int>() == 3);
  REQUIRE(f.Run({"show", "pools"}) == 0);
  REQUIRE(Has(f.out, "billing   10     10"));
  REQUIRE(f.Run({"show", "hosts"}) == 0);
  REQUIRE(Has(f.out, "127.0.0.1:20050"));
  REQUIRE(f.Run({"show", "config"}) == 0);
  REQUIRE(Has(f.out, "Version: 3\n"));
  // What is shown can be applied again.
  REQUIRE(f.Run({"--json", "show", "config"}) == 0);
  REQUIRE(ParseInventory(f.out).inventory->hosts.size() == 50);
}

// Guards against a script that takes a lost answer for a refusal, or an outage
// for a success.
TEST_CASE("exit codes tell unreachable from unknown") {
  Fixture f;
  std::string site = Site("akwaaba.json");
  f.lost_commits = 3;
  REQUIRE(f.Run({"apply", site}) == kCtlUnknown);
  REQUIRE(Has(f.err, "--operation 42"));
  REQUIRE(f.Run({"--operation", "42", "apply", site}) == 0);
  REQUIRE(f.Run({"--operation", "42", "apply", site}) == 0);
  REQUIRE(f.out == "Applied as version 1\n");
  f.store_down = true;
  for (const char* command : {"status", "timeline"})
    REQUIRE(f.Run({command}) == kCtlUnreachable);
  REQUIRE(f.Run({"apply", site}) == kCtlUnreachable);
  REQUIRE(Has(f.err, "connection refused"));
  f.store_down = false;
  f.Put(kConfigHeadKey, "garbage");
  REQUIRE(f.Run({"status"}) == kCtlUnreachable);
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

// Guards against one foreign row that hides all processes.
TEST_CASE("status shows the version in force of each process") {
  Fixture f;
  f.Run({"apply", Site("akwaaba.json")});
  f.Put("member/e1",
        MemberRow("e1", 7, "127.0.0.1:1", {HostId("w-1"), HostId("w-2")}));
  f.Put("member/e2", "{\"in_force\":\"\x1b[2J\"}");
  REQUIRE(f.Run({"status"}) == 0);
  REQUIRE(Has(f.out,
              "e1      entry           accra-hall  7            0         "
              "1       w-1 w-2  127.0.0.1:1\n"));
  REQUIRE(Has(f.out, "e2      unreadable row"));
  REQUIRE(f.Run({"--json", "status"}) == 0);
  auto members = boost::json::parse(f.out).at("members").as_array();
  REQUIRE(members.at(0).at("busy").as_array().size() == 2);
}

// Guards against a row of an ended process that blocks drains for good, and
// against the removal of one that a running process has just renewed.
TEST_CASE("forget removes a member row only as it was read") {
  Fixture f;
  f.Put("member/e1", MemberRow("e1", 7, "127.0.0.1:1"));
  REQUIRE(f.Run({"forget", "e1"}) == 0);
  REQUIRE(f.Run({"--json", "status"}) == 0);
  REQUIRE_FALSE(Has(f.out, "e1"));
  REQUIRE(f.Run({"forget", "e1"}) == 0);
  REQUIRE(Has(f.out, "nothing to do"));
}

TimelineEvent Event(uint64_t sequence, int64_t wall, const char* host) {
  return {.sequence = sequence,
          .stamp = {wall, 0},
          .kind = EventKind::kHostDraining,
          .request = {sequence},
          .host = HostId(host)};
}

// Guards against events that appear twice, in the wrong order or not at all
// after a process has ended.
TEST_CASE("timeline merges rings and batches") {
  Fixture f;
  f.Put("member/a", MemberRow("a", 2, "127.0.0.1:1"));
  f.Put("member/b", MemberRow("b", 1, "127.0.0.1:2"));
  MemberId a("a");
  MemberId c("c");
  f.admin["127.0.0.1:1/timeline"] =
      EncodeTimeline({a, {2}, 0, {Event(1, 30, "h1"), Event(2, 50, "h2")}});
  auto put_batch = [&](const TimelineBatch& batch) {
    f.table.Handle(PutObject{TimelineKey(batch.member, batch.incarnation,
                                         batch.events.back().sequence),
                             EncodeTimeline(batch)});
  };
  put_batch({a, {1}, 0, {Event(1, 10, "h1")}});
  put_batch({a, {2}, 0, {Event(1, 30, "h1")}});
  put_batch({c, {1}, 4, {Event(1, 40, "h1")}});
  f.table.Handle(PutObject{"timeline/c/1/2", "garbage"});
  REQUIRE(f.Run({"--json", "timeline"}) == 0);
  std::vector<int> walls;
  auto document = boost::json::parse(f.out);
  for (const auto& event : document.at("events").as_array())
    walls.push_back(event.at("wall").to_number<int>());
  REQUIRE(walls == std::vector<int>{10, 30, 40, 50});
  REQUIRE(Has(f.err, "b: its admin server does not answer"));
  REQUIRE(Has(f.err, "c: 4 events were overwritten"));
  REQUIRE(Has(f.err, "timeline/c/1/2: cannot decode"));
  REQUIRE(f.Run({"timeline", "--host", "h2"}) == 0);
  REQUIRE(
      Has(f.out, "1970-01-01T00:00:00.050Z  0        a       host-draining"));
  REQUIRE(std::count(f.out.begin(), f.out.end(), '\n') == 2);
  REQUIRE(f.Run({"timeline", "--request", "2"}) == 0);
  REQUIRE(std::count(f.out.begin(), f.out.end(), '\n') == 2);
}

// Guards against a command that reads every batch of a long-running site.
TEST_CASE("only the latest batches of a member are read") {
  Fixture f;
  MemberId a("a");
  for (uint64_t n = 1; n <= kBatchesPerMember + 5; ++n) {
    f.table.Handle(
        PutObject{TimelineKey(a, {1}, n),
                  EncodeTimeline({a, {1}, 0, {Event(n, 1000, "h")}})});
  }
  REQUIRE(f.Run({"--json", "timeline"}) == 0);
  auto events = boost::json::parse(f.out).at("events").as_array();
  REQUIRE(events.size() == kBatchesPerMember);
  REQUIRE(events.at(0).at("sequence").to_number<int>() == 6);
  REQUIRE(Has(f.err, "5 older batches were not read"));
}

// Guards against a command that needs the platform to read a file of logs.
TEST_CASE("explain reads a file and opens no connection", "[ctl]") {
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
  REQUIRE(Has(fixture.out, "job-stored"));
  REQUIRE(fixture.Run({"explain", "0000000000000000", path.string()}) ==
          kCtlRefused);
  std::filesystem::remove(path);
  REQUIRE(fixture.connects == 0);
}

// Guards against a page of the job scheduler that is shown for a process that
// did not answer.
TEST_CASE("jobs shows the pools of one process", "[ctl]") {
  Fixture fixture;
  fixture.admin["10.0.0.1:7/pools"] = "pool p token=3\n";
  fixture.admin["10.0.0.2:7/pools"] = "";
  REQUIRE(fixture.Run({"jobs", "10.0.0.1:7"}) == kCtlDone);
  REQUIRE(fixture.out == "pool p token=3\n");
  REQUIRE(fixture.Run({"jobs", "10.0.0.2:7"}) == kCtlDone);
  REQUIRE(Has(fixture.out, "owns no pool"));
  REQUIRE(fixture.Run({"jobs", "10.0.0.3:7"}) == kCtlUnreachable);
}

}  // namespace
}  // namespace radishmoor
