#include "radishmoor/net/store_json.h"

#include <algorithm>
#include <boost/algorithm/hex.hpp>
#include <boost/json.hpp>
#include <iterator>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace radishmoor {
namespace {

namespace json = boost::json;

constexpr std::string_view kObjectPath = "/object/";
constexpr std::string_view kObjectsPath = "/objects?prefix=";

HttpRequest MakePost(std::string target, const json::object& body) {
  return {"POST",
          std::move(target),
          {{"Content-Type", "application/json"}},
          json::serialize(body)};
}

HttpResponse MakeJsonResponse(unsigned status, const json::object& body) {
  return {
      status, {{"Content-Type", "application/json"}}, json::serialize(body)};
}

// Adds a row value to `object`. JSON strings must be valid UTF-8, which a value
// need not be: one with bytes outside ASCII goes as hexadecimal digits into
// "value_hex" instead of "value".
void AddRowValue(json::object& object, const std::string& value) {
  bool ascii = std::all_of(value.begin(), value.end(), [](char c) {
    return static_cast<unsigned char>(c) < 0x80;
  });
  if (ascii) {
    object["value"] = value;
    return;
  }
  std::string digits;
  boost::algorithm::hex_lower(value, std::back_inserter(digits));
  object["value_hex"] = digits;
}

std::string RowValueFromJson(const json::object& object) {
  const json::value* digits = object.if_contains("value_hex");
  if (digits == nullptr)
    return std::string(object.at("value").as_string());
  std::string value;
  boost::algorithm::unhex(std::string(digits->as_string()),
                          std::back_inserter(value));
  return value;
}

json::array RowsToJson(const std::vector<Row>& rows) {
  json::array array;
  for (const Row& row : rows) {
    json::object object{{"key", row.key}, {"version", row.version}};
    AddRowValue(object, row.value);
    array.push_back(std::move(object));
  }
  return array;
}

std::string Text(const json::value& value) {
  return std::string(value.as_string());
}

std::vector<Row> RowsFromJson(const json::object& object) {
  std::vector<Row> rows;
  for (const json::value& item : object.at("rows").as_array()) {
    const json::object& row = item.as_object();
    rows.push_back({Text(row.at("key")),
                    row.at("version").to_number<RowVersion>(),
                    RowValueFromJson(row)});
  }
  return rows;
}

json::object TransactionToJson(const Transaction& transaction) {
  json::array expects;
  for (const RowExpectation& e : transaction.expects)
    expects.push_back(json::object{{"key", e.key}, {"version", e.version}});
  json::array writes;
  for (const RowWrite& w : transaction.writes) {
    json::object object{{"key", w.key}, {"remove", w.remove}};
    AddRowValue(object, w.value);
    writes.push_back(std::move(object));
  }
  return {{"operation", transaction.operation.value},
          {"expects", std::move(expects)},
          {"writes", std::move(writes)}};
}

Transaction TransactionFromJson(const json::object& object) {
  Transaction transaction;
  transaction.operation = {object.at("operation").to_number<uint64_t>()};
  for (const json::value& item : object.at("expects").as_array()) {
    const json::object& e = item.as_object();
    transaction.expects.push_back(
        {Text(e.at("key")), e.at("version").to_number<RowVersion>()});
  }
  for (const json::value& item : object.at("writes").as_array()) {
    const json::object& w = item.as_object();
    transaction.writes.push_back(
        {Text(w.at("key")), RowValueFromJson(w), w.at("remove").as_bool()});
  }
  return transaction;
}

std::string_view HostListStateName(HostListState state) {
  switch (state) {
    case HostListState::kLive:
      return "live";
    case HostListState::kLeaving:
      return "leaving";
    case HostListState::kTerminated:
      return "terminated";
  }
  return "live";
}

HostListState HostListStateFromName(std::string_view name) {
  if (name == "live")
    return HostListState::kLive;
  if (name == "leaving")
    return HostListState::kLeaving;
  if (name == "terminated")
    return HostListState::kTerminated;
  throw StoreFormatError("unknown host state: " + std::string(name));
}

HostListReply HostListFromJson(const json::object& object) {
  HostListReply reply;
  for (const json::value& item : object.at("hosts").as_array()) {
    const json::object& host = item.as_object();
    reply.hosts.push_back({Text(host.at("name")),
                           HostListStateFromName(Text(host.at("state"))),
                           host.at("instance").to_number<uint64_t>()});
  }
  return reply;
}

StoreRequest DecodePost(const HttpRequest& request) {
  json::value parsed = json::parse(request.body);
  const json::object& body = parsed.as_object();
  if (request.target == "/table/read") {
    ReadRows read;
    for (const json::value& key : body.at("keys").as_array())
      read.keys.push_back(Text(key));
    return read;
  }
  if (request.target == "/table/scan") {
    return ScanRows{Text(body.at("prefix")), Text(body.at("after")),
                    body.at("limit").to_number<uint32_t>()};
  }
  if (request.target == "/table/commit")
    return CommitRows{TransactionFromJson(body)};
  throw StoreFormatError("no such target: " + request.target);
}

StoreReply DecodeSuccess(const StoreRequest& request,
                         const HttpResponse& response) {
  if (std::holds_alternative<PutObject>(request))
    return CommittedReply{};
  if (std::holds_alternative<ReadObject>(request))
    return ObjectReply{true, response.body};
  json::value parsed = json::parse(response.body);
  const json::object& body = parsed.as_object();
  if (std::holds_alternative<CommitRows>(request)) {
    CommittedReply reply;
    for (const json::value& version : body.at("versions").as_array())
      reply.versions.push_back(version.to_number<RowVersion>());
    return reply;
  }
  if (std::holds_alternative<ListObjects>(request)) {
    ObjectListReply reply;
    for (const json::value& key : body.at("keys").as_array())
      reply.keys.push_back(Text(key));
    return reply;
  }
  if (std::holds_alternative<ReadHostList>(request))
    return HostListFromJson(body);
  RowsReply reply{RowsFromJson(body)};
  const auto* scan = std::get_if<ScanRows>(&request);
  reply.more = scan != nullptr && reply.rows.size() >= scan->limit;
  return reply;
}

StoreReply DecodeReply(const StoreRequest& request,
                       const HttpResponse& response) {
  if (response.status == 503)
    return UnavailableReply{response.body};
  if (response.status == 409) {
    json::value parsed = json::parse(response.body);
    return ConflictReply{RowsFromJson(parsed.as_object())};
  }
  if (response.status == 404)
    return ObjectReply{};
  if (response.status != 200)
    throw StoreFormatError("unexpected HTTP status " +
                           std::to_string(response.status));
  return DecodeSuccess(request, response);
}

}  // namespace

HttpRequest EncodeStoreRequest(const StoreRequest& request) {
  return std::visit(
      [](const auto& r) -> HttpRequest {
        using T = std::decay_t<decltype(r)>;
        if constexpr (std::is_same_v<T, ReadRows>) {
          return MakePost(
              "/table/read",
              {{"keys", json::array(r.keys.begin(), r.keys.end())}});
        } else if constexpr (std::is_same_v<T, ScanRows>) {
          return MakePost(
              "/table/scan",
              {{"prefix", r.prefix}, {"after", r.after}, {"limit", r.limit}});
        } else if constexpr (std::is_same_v<T, CommitRows>) {
          return MakePost("/table/commit", TransactionToJson(r.transaction));
        } else if constexpr (std::is_same_v<T, PutObject>) {
          return {"PUT", std::string(kObjectPath) + r.key, {}, r.data};
        } else if constexpr (std::is_same_v<T, ReadObject>) {
          return {"GET", std::string(kObjectPath) + r.key, {}, ""};
        } else if constexpr (std::is_same_v<T, ListObjects>) {
          return {"GET", std::string(kObjectsPath) + r.prefix, {}, ""};
        } else {
          return {"GET", "/hosts", {}, ""};
        }
      },
      request);
}

StoreRequest DecodeStoreRequest(const HttpRequest& request) {
  std::string_view target = request.target;
  try {
    if (request.method == "POST")
      return DecodePost(request);
    if (request.method == "PUT" && target.starts_with(kObjectPath)) {
      return PutObject{std::string(target.substr(kObjectPath.size())),
                       request.body};
    }
    if (request.method == "GET" && target.starts_with(kObjectPath))
      return ReadObject{std::string(target.substr(kObjectPath.size()))};
    if (request.method == "GET" && target.starts_with(kObjectsPath))
      return ListObjects{std::string(target.substr(kObjectsPath.size()))};
    if (request.method == "GET" && target == "/hosts")
      return ReadHostList{};
  } catch (const StoreFormatError&) {
    throw;
  } catch (const std::exception& error) {
    throw StoreFormatError(error.what());
  }
  throw StoreFormatError("no such target: " + request.target);
}

HttpResponse EncodeStoreReply(const StoreReply& reply) {
  return std::visit(
      [](const auto& r) -> HttpResponse {
        using T = std::decay_t<decltype(r)>;
        if constexpr (std::is_same_v<T, RowsReply>) {
          return MakeJsonResponse(200, {{"rows", RowsToJson(r.rows)}});
        } else if constexpr (std::is_same_v<T, CommittedReply>) {
          return MakeJsonResponse(
              200, {{"versions",
                     json::array(r.versions.begin(), r.versions.end())}});
        } else if constexpr (std::is_same_v<T, ConflictReply>) {
          return MakeJsonResponse(409, {{"rows", RowsToJson(r.rows)}});
        } else if constexpr (std::is_same_v<T, ObjectReply>) {
          return {r.found ? 200u : 404u, {}, r.data};
        } else if constexpr (std::is_same_v<T, ObjectListReply>) {
          return MakeJsonResponse(
              200, {{"keys", json::array(r.keys.begin(), r.keys.end())}});
        } else if constexpr (std::is_same_v<T, HostListReply>) {
          json::array hosts;
          for (const HostListEntry& host : r.hosts) {
            hosts.push_back(
                json::object{{"name", host.name},
                             {"state", HostListStateName(host.state)},
                             {"instance", host.instance}});
          }
          return MakeJsonResponse(200, {{"hosts", std::move(hosts)}});
        } else {
          return {503, {}, r.reason};
        }
      },
      reply);
}

StoreReply DecodeStoreReply(const StoreRequest& request,
                            const HttpResponse& response) {
  try {
    return DecodeReply(request, response);
  } catch (const StoreFormatError&) {
    throw;
  } catch (const std::exception& error) {
    throw StoreFormatError(error.what());
  }
}

}  // namespace radishmoor
