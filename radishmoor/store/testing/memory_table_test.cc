#include "radishmoor/store/memory_table.h"

#include <catch2/catch.hpp>

namespace radishmoor {
namespace {

StoreReply Commit(MemoryTable& table,
                  std::vector<RowExpectation> expects,
                  std::vector<RowWrite> writes) {
  return table.Handle(CommitRows{{{1}, std::move(expects), std::move(writes)}});
}

Row ReadOne(MemoryTable& table, const std::string& key) {
  return std::get<RowsReply>(table.Handle(ReadRows{{key}})).rows.at(0);
}

// Guards against a transaction that takes effect partially.
TEST_CASE("a failed expectation leaves every row unchanged") {
  MemoryTable table;
  Commit(table, {}, {{"a", "1"}});
  StoreReply reply =
      Commit(table, {{"a", ReadOne(table, "a").version}, {"b", 9}},
             {{"a", "2"}, {"b", "2"}});
  auto conflict = std::get<ConflictReply>(reply);
  REQUIRE(conflict.rows.size() == 1);
  REQUIRE(conflict.rows[0].key == "b");
  REQUIRE(ReadOne(table, "a").value == "1");
  REQUIRE(ReadOne(table, "b").version == 0);
}

// Guards against a row that is removed and inserted again with an old version:
// the expectation of a stale writer would then match.
TEST_CASE("a row that is inserted again gets a larger version") {
  MemoryTable table;
  Commit(table, {{"a", 0}}, {{"a", "1"}});
  RowVersion first = ReadOne(table, "a").version;
  Commit(table, {}, {{"a", "", true}});
  Commit(table, {{"a", 0}}, {{"a", "1"}});
  REQUIRE(ReadOne(table, "a").version > first);
}

TEST_CASE("a scan returns the rows of a prefix page by page in key order") {
  MemoryTable table;
  Commit(table, {}, {{"p/1", "x"}, {"p/2", "x"}, {"p/3", "x"}, {"q", "x"}});
  auto first = std::get<RowsReply>(table.Handle(ScanRows{"p/", "", 2}));
  REQUIRE(first.rows.size() == 2);
  auto rest = std::get<RowsReply>(
      table.Handle(ScanRows{"p/", first.rows.back().key, 2}));
  REQUIRE(rest.rows.size() == 1);
  REQUIRE(rest.rows[0].key == "p/3");
}

}  // namespace
}  // namespace radishmoor
