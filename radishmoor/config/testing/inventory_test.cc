#include "radishmoor/config/inventory.h"

#include <rapidcheck.h>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

namespace radishmoor {
namespace {

std::string SiteFile(const std::string& name) {
  std::string here = __FILE__;
  std::ifstream file(here.substr(0, here.find("radishmoor/config/testing")) +
                     "sites/" + name);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string ErrorLines(const std::string& text) {
  std::string lines;
  for (const InventoryError& error : ParseInventory(text).errors)
    lines += error.str("f.json") + "\n";
  return lines;
}

std::string Host(const std::string& id,
                 const std::string& port,
                 const std::string& more = "") {
  return R"({"id":")" + id + R"(","zone":"z","rack":"r","pool":"p",)" +
         R"("address":"127.0.0.1:)" + port + R"(","cores":1,"memory_gb":1)" +
         more + "}";
}

std::string Document(const std::string& hosts, const std::string& pools) {
  return R"({"hosts":[)" + hosts + R"(],"pools":[)" + pools + "]}";
}

const char kPool[] = R"({"id":"p","max_unavailable":1})";

// Guards against example site files that an operator cannot apply.
TEST_CASE("the files of both sites are accepted") {
  for (const char* name : {"akwaaba.json", "nilehook.json"}) {
    INFO(name);
    InventoryResult result = ParseInventory(SiteFile(name));
    REQUIRE(result.errors.empty());
    REQUIRE(result.inventory->hosts.size() == 50);
    REQUIRE(result.inventory->pools.size() == 5);
    std::map<RackId, std::map<PoolId, int>> racks;
    for (const auto& [id, host] : result.inventory->hosts)
      REQUIRE(++racks[host.rack][host.pool] <= 1);
    InventoryResult again = ParseInventory(EncodeInventory(*result.inventory));
    REQUIRE(again.inventory == result.inventory);
  }
}

// Guards against reporting only the first error, so that an operator finds the
// next one only after fixing it.
TEST_CASE("all errors are reported with their path") {
  std::string lines = ErrorLines(Document(
      Host("a", "1") + "," + Host("a", "2") + "," + Host("b", "1") + "," +
          Host("c", "x", R"(,"slots":0,"cpu":3,"intent":"stop")") + "," +
          Host("d", "4", R"(,"accelerators":1.5,"connections":"9")") + ",7",
      std::string(kPool) + "," + kPool +
          R"(,{"id":"q","max_unavailable":0,"wave_limit":1},{"id":"a b"})"));
  for (const char* part :
       {"$.hosts[1].id: host a is already at $.hosts[0].id; ",
        "$.hosts[2].address: address 127.0.0.1:1 is already at ",
        "$.hosts[3].address: is not an address; write ip:port",
        "$.hosts[3].slots: 0 is out of range; write an integer from 1 to 1024",
        "$.hosts[3].cpu: unknown field; remove it; known fields are ",
        "$.hosts[3].intent: is not an intent; ",
        "$.hosts[4].accelerators: expected an integer, found a fraction; ",
        "$.hosts[4].connections: expected an integer, found a string; ",
        "$.hosts[5]: expected an object, found an integer; ",
        "$.pools[1].id: pool p is already at $.pools[0].id; ",
        "$.pools[2].wave_limit: 1 is above max_unavailable, 0; ",
        "$.pools[2].max_unavailable: pool q has 0 hosts that stay",
        "$.pools[3].id: is not a name; ",
        "$.pools[3].max_unavailable: the field is missing; add it"}) {
    INFO(part);
    INFO(lines);
    REQUIRE(lines.find(part) != std::string::npos);
  }
  REQUIRE(std::count(lines.begin(), lines.end(), '\n') == 14);
}

TEST_CASE("inconsistent references and budgets are errors") {
  auto lines = ErrorLines(Document(
      Host("a", "1") + "," + Host("b", "2", R"(,"intent":"retire")"), kPool));
  REQUIRE(lines ==
          "f.json: $.pools[0].max_unavailable: pool p has 1 hosts that stay "
          "and may lose 1; lower it to at most 0\n");
  REQUIRE(ErrorLines(Document(Host("a", "1"), "")) ==
          "f.json: $.hosts[0].pool: there is no pool p; add it to $.pools or "
          "correct the name\n");
  std::string other_zone = Host("b", "2");
  other_zone.replace(other_zone.find("\"z\""), 3, "\"y\"");
  lines = ErrorLines(Document(Host("a", "1") + "," + other_zone, kPool));
  REQUIRE(lines.find("rack r is in zone z for an earlier host") !=
          std::string::npos);
}

// Guards against silently using the last of several equal keys.
TEST_CASE("a repeated field is an error at any depth") {
  REQUIRE(ErrorLines(R"({"pools":[],"hosts":[],"pools":[]})") ==
          "f.json: $.pools: the field is given twice in one object; keep one "
          "of them\n");
  auto lines = ErrorLines(Document(
      Host("a", "1", R"(,"co\u0072es":2)") + "," + Host("b", "2"), kPool));
  REQUIRE(lines.find("$.hosts[0].cores: the field is given twice") !=
          std::string::npos);
}

TEST_CASE("syntax errors name line and column") {
  auto error = ParseInventory("{\n  \"hosts\": [,\n]}").errors.at(0);
  REQUIRE(error.line == 2);
  REQUIRE(error.column == 13);
  REQUIRE(error.str("f.json").starts_with("f.json:2:13: not valid JSON: "));
  REQUIRE(ParseInventory("").errors.size() == 1);
  REQUIRE(ParseInventory("{} {}").errors.size() == 1);
  REQUIRE(ParseInventory(std::string(100000, '[')).errors.size() == 1);
  REQUIRE(ErrorLines("{\"a\\nb\":1}").find("$.a?b: unknown") !=
          std::string::npos);
}

TEST_CASE("at most kMaxListedErrors errors are listed") {
  std::string hosts = "1";
  for (int i = 1; i < 1000; ++i)
    hosts += ",1";
  auto errors = ParseInventory(Document(hosts, "")).errors;
  REQUIRE(errors.size() == kMaxListedErrors + 1);
  REQUIRE(errors.back().problem == "800 more errors are not listed");
}

// Returns `text` with one to three random mutations: a range is removed, a byte
// is overwritten, or a range is copied to another position.
std::string Mutated(std::string text, uint64_t seed) {
  for (int n = 1 + static_cast<int>(seed % 3); n > 0; --n) {
    seed = seed * 6364136223846793005ull + 1442695040888963407ull;
    size_t at = (seed >> 20) % text.size();
    size_t length = 1 + (seed >> 50) % 40;
    size_t from = (seed >> 35) % text.size();
    if (seed % 3 == 0) {
      text.erase(at, length);
    } else if (seed % 3 == 1) {
      text[at] = "{}[]\",:0e-\\x\0"[(seed >> 8) % 13];
    } else {
      text.insert(at, text.substr(from, length));
    }
    if (text.empty())
      text = "{";
  }
  return text;
}

// Returns true if two hosts or two pools of the text have the same id, or two
// hosts the same address. Uses Boost.JSON's document type, independently of
// ParseInventory().
bool HasDuplicate(const std::string& text) {
  std::set<std::string> seen;
  auto document = boost::json::parse(text).as_object();
  for (const char* list : {"hosts", "pools"}) {
    for (const auto& value : document.at(list).as_array()) {
      const auto& o = value.as_object();
      if (!seen.insert(list + boost::json::serialize(o.at("id"))).second)
        return true;
      const auto* address = o.if_contains("address");
      if (address && !seen.insert(boost::json::serialize(*address)).second)
        return true;
    }
  }
  return false;
}

// Guards against a crash on a damaged file and against accepting a duplicate id
// or address from one.
TEST_CASE("mutated text is rejected or contains no duplicates") {
  const std::string site = SiteFile("nilehook.json");
  const std::string small =
      Document(Host("a", "1") + "," + Host("b", "2"), kPool);
  int accepted = 0;
  REQUIRE(rc::check([&](uint64_t seed) {
    for (const std::string& valid : {site, small}) {
      std::string text = Mutated(valid, seed);
      InventoryResult result = ParseInventory(text);
      RC_ASSERT(result.inventory.has_value() == result.errors.empty());
      if (!result.inventory)
        continue;
      ++accepted;
      RC_ASSERT(!HasDuplicate(text));
    }
  }));
  REQUIRE(accepted > 0);
}

}  // namespace
}  // namespace radishmoor
