#include "radishmoor/ctl/members.h"

#include <boost/json.hpp>
#include <exception>
#include <utility>

#include "radishmoor/ctl/text_table.h"

namespace radishmoor {
namespace {

namespace json = boost::json;

constexpr char kMemberPrefix[] = "member/";
constexpr uint32_t kScanLimit = 1000;

std::string Text(const json::object& o, const char* key) {
  const json::value* value = o.if_contains(key);
  return value == nullptr ? "" : std::string(value->as_string());
}

uint64_t Number(const json::object& o, const char* key) {
  const json::value* value = o.if_contains(key);
  return value == nullptr ? 0 : value->to_number<uint64_t>();
}

MemberStatus Decode(const Row& row) {
  MemberStatus member;
  member.id = MemberId(row.key.substr(sizeof(kMemberPrefix) - 1));
  try {
    const json::value document = json::parse(row.value);
    const json::object& o = document.as_object();
    MemberStatus read = member;
    read.incarnation = {Number(o, "incarnation")};
    read.role = Text(o, "role");
    read.zone = ZoneId(Text(o, "zone"));
    read.admin_address = Text(o, "admin_address");
    read.in_force = Number(o, "in_force");
    if (const json::value* busy = o.if_contains("busy")) {
      for (const json::value& host : busy->as_array())
        read.busy.emplace_back(host.as_string());
    }
    return read;
  } catch (const std::exception&) {
    // One row of another format must not hide the others.
    member.readable = false;
    return member;
  }
}

std::string LagText(const MemberStatus& member, ConfigVersion head) {
  return std::to_string(head > member.in_force ? head - member.in_force : 0);
}

}  // namespace

std::vector<MemberStatus> ReadMembers(const StoreExecutor& store) {
  std::vector<MemberStatus> members;
  std::string after;
  while (true) {
    StoreReply reply = store(ScanRows{kMemberPrefix, after, kScanLimit});
    const auto* rows = std::get_if<RowsReply>(&reply);
    if (rows == nullptr)
      throw ConfigUnavailableError("the rows of the members cannot be read");
    for (const Row& row : rows->rows)
      members.push_back(Decode(row));
    if (rows->rows.size() < kScanLimit)
      return members;
    after = rows->rows.back().key;
  }
}

std::string MembersText(const std::vector<MemberStatus>& members,
                        ConfigVersion head) {
  TextTable table({"member", "role", "zone", "incarnation", "in force",
                   "behind", "busy", "admin address"});
  for (const MemberStatus& m : members) {
    if (!m.readable) {
      table.Add({m.id.str(), "unreadable row"});
      continue;
    }
    std::string busy;
    for (const std::string& host : m.busy)
      busy += (busy.empty() ? "" : " ") + host;
    table.Add({m.id.str(), m.role, m.zone.str(),
               std::to_string(m.incarnation.value), std::to_string(m.in_force),
               LagText(m, head), busy, m.admin_address});
  }
  return "Accepted version: " + std::to_string(head) + "\n" + table.str();
}

std::string MembersJson(const std::vector<MemberStatus>& members,
                        ConfigVersion head) {
  json::array list;
  for (const MemberStatus& m : members) {
    json::array busy;
    for (const std::string& host : m.busy)
      busy.push_back(json::value(host));
    list.push_back(json::object{{"id", m.id.str()},
                                {"readable", m.readable},
                                {"incarnation", m.incarnation.value},
                                {"role", m.role},
                                {"zone", m.zone.str()},
                                {"admin_address", m.admin_address},
                                {"in_force", m.in_force},
                                {"busy", busy}});
  }
  return json::serialize(json::object{{"version", head}, {"members", list}});
}

}  // namespace radishmoor
