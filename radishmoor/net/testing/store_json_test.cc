#include "radishmoor/net/store_json.h"

#include <catch2/catch.hpp>

namespace radishmoor {
namespace {

Transaction SampleTransaction(const std::string& value) {
  Transaction transaction;
  transaction.operation = {0xffff'ffff'ffff'fff0ull};
  transaction.expects = {{"claim/a", 7}, {"b", 0}};
  transaction.writes = {{"claim/a", value, false}, {"b", "", true}};
  return transaction;
}

// Guards against commits that the platform refuses because it cannot parse
// them: the answers stored in claim rows are arbitrary bytes, JSON strings are
// not.
TEST_CASE("row values with any bytes survive encoding and decoding") {
  std::string value;
  for (int byte = 0; byte < 256; ++byte)
    value.push_back(static_cast<char>(byte));
  for (const std::string& v : {value, std::string("plain \"text\" \n\0", 14)}) {
    StoreRequest decoded = DecodeStoreRequest(
        EncodeStoreRequest(CommitRows{SampleTransaction(v)}));
    const Transaction& t = std::get<CommitRows>(decoded).transaction;
    REQUIRE(t.operation.value == 0xffff'ffff'ffff'fff0ull);
    REQUIRE(t.writes[0].value == v);
    REQUIRE(t.writes[1].remove);
    REQUIRE(t.expects[0].version == 7);
    ReadRows read{{"claim/a"}};
    StoreReply reply = DecodeStoreReply(
        read, EncodeStoreReply(RowsReply{{Row{"claim/a", 9, v}}}));
    REQUIRE(std::get<RowsReply>(reply).rows[0] == Row{"claim/a", 9, v});
  }
}

// Guards against a refusal without effect that is decoded as an unknown
// outcome, or the reverse.
TEST_CASE("store replies decode to the type that was encoded") {
  CommitRows commit{SampleTransaction("x")};
  StoreReply conflict = DecodeStoreReply(
      commit, EncodeStoreReply(ConflictReply{{{"b", 3, "y"}}}));
  REQUIRE(std::get<ConflictReply>(conflict).rows[0].version == 3);
  StoreReply down =
      DecodeStoreReply(commit, EncodeStoreReply(UnavailableReply{"down"}));
  REQUIRE(std::holds_alternative<UnavailableReply>(down));
  REQUIRE_THROWS_AS(DecodeStoreReply(commit, HttpResponse{200, {}, "{"}),
                    StoreFormatError);
  StoreReply absent =
      DecodeStoreReply(ReadObject{"k"}, EncodeStoreReply(ObjectReply{}));
  REQUIRE_FALSE(std::get<ObjectReply>(absent).found);
  StoreReply hosts = DecodeStoreReply(
      ReadHostList{},
      EncodeStoreReply(HostListReply{{{"w", HostListState::kTerminated, 4}}}));
  REQUIRE(std::get<HostListReply>(hosts).hosts[0].instance == 4);
}

}  // namespace
}  // namespace radishmoor
